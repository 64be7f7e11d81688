package fleet

import (
	"fmt"
	"slices"
)

// IsWithdrawn reports whether t gets no new requests, because it is leaving or evacuated.
func (t *Target) IsWithdrawn() bool { return t.Leaving || t.Evacuated }

// MarkEvacuated sets the Evacuated field of every target by the EvacuatedDomains.
func (c *Config) MarkEvacuated() {
	for i := range c.Groups {
		for j := range c.Groups[i].Targets {
			t := &c.Groups[i].Targets[j]
			t.Evacuated = slices.Contains(c.EvacuatedDomains, t.Domain)
		}
	}
}

// HasDomain reports whether a target is in the failure domain called name.
func (c *Config) HasDomain(name string) bool {
	for i := range c.Groups {
		if slices.ContainsFunc(c.Groups[i].Targets, func(t Target) bool { return t.Domain == name }) {
			return true
		}
	}
	return false
}

// SetEvacuated adds the failure domain called name to the EvacuatedDomains, or removes it.
func (c *Config) SetEvacuated(name string, evacuated bool) {
	i, found := slices.BinarySearch(c.EvacuatedDomains, name)
	switch {
	case evacuated && !found:
		c.EvacuatedDomains = slices.Insert(c.EvacuatedDomains, i, name)
	case !evacuated && found:
		c.EvacuatedDomains = slices.Delete(c.EvacuatedDomains, i, i+1)
	}
}

// checkEvacuatedDomains checks the names only: a domain may be evacuated before it has a target.
func (v *validator) checkEvacuatedDomains() {
	names := map[string]bool{}
	for i, name := range v.config.EvacuatedDomains {
		v.checkName(fmt.Sprintf("evacuated_domains[%d]", i), name, names)
	}
}
