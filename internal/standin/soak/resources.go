package soak

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// memoryLimit is the memory of a VM in bytes, descriptorLimit how many descriptors it has.
	memoryLimit     = 284 << 20
	descriptorLimit = 4000
	// resourceInterval is the interval at which the memory and descriptors of nodes are read.
	resourceInterval = 500 * time.Millisecond
)

// watchResources judges what the nodes' processes hold until the run ends.
func (r *run) watchResources() {
	for !r.hasEnded() {
		for _, n := range r.members() {
			r.judgeResources(n)
		}
		time.Sleep(resourceInterval)
	}
}

// judgeResources judges the memory and descriptors of one node, if its process runs.
func (r *run) judgeResources(n *node) {
	pid := r.super.PID(n.name)
	memory, err := residentMemory(pid)
	if err != nil {
		return
	}
	descriptors, err := openDescriptors(pid)
	if err != nil {
		return
	}
	r.judge.countMost("MiB of memory of a node at most", int(memory>>20))
	r.judge.countMost("descriptors of a node at most", descriptors)
	r.judge.check(ruleResources, memory <= memoryLimit && descriptors <= descriptorLimit, "%s at %s: %d MiB, %d descriptors",
		n.name, time.Now().UTC().Format("15:04:05.000"), memory>>20, descriptors)
}

// residentMemory returns the resident memory of a process in bytes.
func residentMemory(pid int) (int64, error) {
	body, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, Error.Wrap(err)
	}
	fields := strings.Fields(string(body))
	if len(fields) < 2 {
		return 0, Error.New("/proc/%d/statm has too few fields", pid)
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), Error.Wrap(err)
}

// openDescriptors returns how many descriptors a process has open.
func openDescriptors(pid int) (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(entries), Error.Wrap(err)
}
