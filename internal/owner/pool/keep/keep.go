// Package keep decides which idle connection is closed when another customer needs a connection and the limit
// is reached.
//
// Invariant: the connection to close is one that was used least lately, where a use counts by how urgent it was and
// less the longer ago it is. A customer's connections are told apart by their rank: the first is used whenever the
// customer has a statement, the n-th only when n of them run at once, so a customer's last one may be worth less than
// the only one of a customer that sends less. What a customer used is remembered when it has no connection.
//
// The package starts no goroutines, takes no locks and reads no clock.
package keep

import (
	"math"
	"time"
)

const (
	// window is the time constant with which a use counts less.
	window = 10 * time.Second
	// maxRanks bounds the ranks of a customer that are told apart.
	maxRanks = 16
	// maxCustomers is the number of customers above which those are forgotten that hardly used any.
	maxCustomers = 1024
	// negligible is the use below which a customer may be forgotten.
	negligible = 0.01
)

// uses is the number of uses of a customer's connections by rank, as they counted at the time at.
type uses struct {
	at    time.Time
	ranks [maxRanks]float64
}

func (u *uses) decayed(now time.Time, rank int) float64 {
	return u.ranks[rank] * math.Exp(-max(0, now.Sub(u.at)).Seconds()/window.Seconds())
}

// History is what customers used lately. It must not be used by several goroutines at once.
type History struct {
	customers map[string]*uses
}

// New returns an empty History.
func New() *History { return &History{customers: make(map[string]*uses)} }

// Use records that a connection of customer was asked for at now, while others of it were in use. weight is how much
// the use counts.
func (h *History) Use(now time.Time, customer string, others int, weight float64) {
	u := h.customers[customer]
	if u == nil {
		h.forget(now)
		u = &uses{at: now}
		h.customers[customer] = u
	}
	factor := math.Exp(-max(0, now.Sub(u.at)).Seconds() / window.Seconds())
	for rank := range u.ranks {
		u.ranks[rank] *= factor
	}
	u.at = now
	u.ranks[min(others, maxRanks-1)] += weight
}

// Worth returns how much customer used its connection of the given rank lately, and any of a higher rank.
func (h *History) Worth(now time.Time, customer string, rank int) float64 {
	u := h.customers[customer]
	if u == nil {
		return 0
	}
	sum := 0.0
	for r := max(0, min(rank, maxRanks-1)); r < maxRanks; r++ {
		sum += u.decayed(now, r)
	}
	return sum
}

// forget drops customers that hardly used any connection lately, once there are many.
func (h *History) forget(now time.Time) {
	if len(h.customers) < maxCustomers {
		return
	}
	for customer := range h.customers {
		if h.Worth(now, customer, 0) < negligible {
			delete(h.customers, customer)
		}
	}
}

// Candidate is an idle connection of a customer.
type Candidate struct {
	Customer string
	// Busy is the number of the customer's connections that are in use.
	Busy int
}

// Victim returns the index of the connection to close of candidates, which are in order of last use, the longest-idle
// one first, or -1 if there are none.
func (h *History) Victim(now time.Time, candidates []Candidate) int {
	idle := make(map[string]int, len(candidates))
	for _, c := range candidates {
		idle[c.Customer]++
	}
	victim, least := -1, math.Inf(1)
	seen := make(map[string]bool, len(idle))
	for i, c := range candidates {
		if seen[c.Customer] {
			continue
		}
		seen[c.Customer] = true
		if worth := h.Worth(now, c.Customer, c.Busy+idle[c.Customer]-1); worth < least {
			victim, least = i, worth
		}
	}
	return victim
}
