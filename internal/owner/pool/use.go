package pool

import (
	"time"

	"crocusyoke/internal/owner/pool/keep"
)

// Use is what a connection is wanted for.
type Use struct {
	Customer string
	// Priority orders requests that wait for a connection, the lowest first.
	Priority int
	// Weight is how much the use counts when a connection has to be closed; 0 means 1.
	Weight float64
}

// recordUse records that a connection was asked for. p.mu is held.
func (p *Pool) recordUse(now time.Time, use Use) {
	if p.options.MinIdle > 0 {
		return
	}
	weight := use.Weight
	if weight == 0 {
		weight = 1
	}
	p.history.Use(now, use.Customer, p.busy[use.Customer], weight)
}

// countBusy adds change to the number of customer's connections in use. p.mu is held.
func (p *Pool) countBusy(customer string, change int) {
	p.busy[customer] += change
	if p.busy[customer] == 0 {
		delete(p.busy, customer)
	}
}

// victim returns the index of the idle connection to close for a connection of customer, or -1 if
// there is none. p.mu is held.
func (p *Pool) victim(customer string) int {
	var candidates []keep.Candidate
	var indices []int
	for i, c := range p.idle {
		if c.customer != customer {
			candidates = append(candidates, keep.Candidate{Customer: c.customer, Busy: p.busy[c.customer]})
			indices = append(indices, i)
		}
	}
	v := p.history.Victim(p.options.Clock.Now(), candidates)
	if v < 0 {
		return -1
	}
	return indices[v]
}
