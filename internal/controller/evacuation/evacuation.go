// Package evacuation keeps the set of evacuated failure domains, which the operator writes into the store as
// a row for each domain.
//
// Invariant: a domain is evacuated while its row exists. If a restore of the store has lost the row, the
// domain stays evacuated until its row was seen again and removed: a restore is no order to send requests
// there. A row that a restore has brought back evacuates its domain again, since it can't be told from a
// new one; the operator sees it in the store.
//
// The package starts no goroutines, takes no locks and reads no clock. The caller passes only states of the
// rows that are not older than the last one.
package evacuation

import (
	"maps"
	"slices"
	"strings"
)

// Set is a set of evacuated failure domains. The zero Set is empty.
type Set struct {
	// domains are never modified once Domains has returned them.
	domains []string
	// retained holds the domains whose rows a restore has lost.
	retained map[string]bool
	era      uint64
}

// Change is a domain that is evacuated now, or no more.
type Change struct {
	Domain    string
	Evacuated bool
	// Retained is true if the domain stays evacuated although its row is lost.
	Retained bool
}

// Domains returns the evacuated domains in order of their names. The caller must not modify them.
func (s *Set) Domains() []string { return s.domains }

// Apply replaces the set by the domains that have a row in the given era of the store, and those that are
// retained, and returns the changes in order of the names.
func (s *Set) Apply(era uint64, listed []string) []Change {
	next := make(map[string]bool, len(listed))
	for _, domain := range listed {
		next[domain] = true
		delete(s.retained, domain)
	}
	changes := s.retainLost(era, next)
	for domain := range s.retained {
		next[domain] = true
	}
	for _, domain := range s.domains {
		if !next[domain] {
			changes = append(changes, Change{Domain: domain})
		}
	}
	for domain := range next {
		if !slices.Contains(s.domains, domain) {
			changes = append(changes, Change{Domain: domain, Evacuated: true})
		}
	}
	s.domains = slices.Sorted(maps.Keys(next))
	slices.SortFunc(changes, compareDomains)
	return changes
}

// retainLost retains the domains without a row if era is a new one, and returns them.
func (s *Set) retainLost(era uint64, next map[string]bool) []Change {
	restored := era != s.era
	s.era = era
	if !restored {
		return nil
	}
	var changes []Change
	for _, domain := range s.domains {
		if next[domain] || s.retained[domain] {
			continue
		}
		if s.retained == nil {
			s.retained = make(map[string]bool)
		}
		s.retained[domain] = true
		changes = append(changes, Change{Domain: domain, Evacuated: true, Retained: true})
	}
	return changes
}

func compareDomains(a, b Change) int { return strings.Compare(a.Domain, b.Domain) }
