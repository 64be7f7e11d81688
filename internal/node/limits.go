package node

import (
	"math"
	"runtime/debug"
	"syscall"

	"crocusyoke/internal/pgfront"
	"crocusyoke/internal/settings"
)

// reservedDescriptors is how many of the process's file descriptors are kept from callers, for files, operators, and
// connections to nodes, targets and the platform; at most half of them are.
const reservedDescriptors = 700

// connectionLimit returns the limit on callers' connections: that of the settings, or a lower one if the process has
// too few file descriptors for it.
func (n *Node) connectionLimit() int {
	limit := n.settings.Callers.MaxConnections
	var descriptors syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &descriptors); err != nil {
		return limit
	}
	allowed := callersDescriptors(descriptors.Cur)
	if allowed >= limit {
		return limit
	}
	_ = n.logger.Log("event", "connection limit lowered", "max_connections", limit, "descriptors", descriptors.Cur, "limit", allowed)
	return allowed
}

// callersDescriptors returns how many of so many file descriptors callers may take.
func callersDescriptors(descriptors uint64) int {
	total := int(min(descriptors, math.MaxInt32))
	return max(1, total-min(reservedDescriptors, total/2))
}

// limitMemory makes the Go runtime keep to the memory in the settings, and returns what the budgets of the callers'
// port are parts of.
func (n *Node) limitMemory() int {
	if memory := n.settings.Node.Memory; memory > 0 {
		debug.SetMemoryLimit(int64(memory))
		return memory
	}
	if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 {
		return int(max(limit, settings.MinMemory))
	}
	return pgfront.DefaultMemory
}
