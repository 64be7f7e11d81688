package membership

import (
	"slices"
	"time"

	"crocusyoke/internal/platform"
)

// SetListed applies a platform list whose read began at readAt. It ignores a list older than
// the last one.
func (c *Core) SetListed(vms []platform.VM, readAt time.Time) {
	if readAt.Before(c.listedAt) {
		return
	}
	c.listedAt = readAt
	c.generation++
	changed := false
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		listed[vm.Name] = true
		if vm.Name != c.self.Name {
			changed = c.upsertListed(vm, readAt) || changed
		}
	}
	c.selfCurrent = slices.Contains(vms, c.self)
	c.selfListed = listed[c.self.Name]
	c.names = slices.DeleteFunc(c.names, func(name string) bool { return !listed[name] })
	for name := range c.nodes {
		if !listed[name] {
			delete(c.nodes, name)
			changed = true
		}
	}
	if changed || c.cellCount == 0 {
		c.assignCells()
	}
}

// upsertListed adds or updates one listed node and reports whether it is new.
func (c *Core) upsertListed(vm platform.VM, now time.Time) bool {
	n := c.nodes[vm.Name]
	added := n == nil
	if added {
		n = &node{}
		c.nodes[vm.Name] = n
		at := c.rng.IntN(len(c.names) + 1)
		c.names = slices.Insert(c.names, at, vm.Name)
	}
	n.Name, n.Address, n.Domain = vm.Name, vm.Address, vm.Domain
	n.Fingerprint, n.Capacity = vm.Fingerprint, vm.Capacity
	if vm.State == platform.VMLeaving && n.State < Leaving {
		c.setState(n, n.incarnation, Leaving, now)
	}
	return added
}
