package configuration

import (
	"slices"
	"time"
)

// Ground is the basis of a node's freshness. It holds until the next input changes it.
type Ground struct {
	// Always is true if no version can be accepted without this node.
	Always bool
	// AsOf is a time such that the node has every version accepted before it. It is zero if no
	// such time is known.
	AsOf time.Time
}

// Fresh reports whether the ground shows that the node is fresh at now.
func (g Ground) Fresh(now time.Time) bool { return g.Always || isRecent(g.AsOf, now) }

// Fresh reports whether the node has every version that was accepted before now - Bound.
func (s *State) Fresh(now time.Time) bool {
	return s.config != nil && s.Ground().Fresh(now)
}

// Ground returns the strongest ground for freshness that the inputs so far give.
func (s *State) Ground() Ground {
	if len(s.list.names) == 0 {
		return Ground{AsOf: s.covered.at}
	}
	others := s.list.majority()
	if s.vouches && s.list.has(s.self) {
		others--
	}
	if others == 0 {
		return Ground{Always: true}
	}
	agreed := s.agreementTimes(s.covered.at)
	if len(agreed) < others {
		return Ground{AsOf: s.covered.at}
	}
	return Ground{AsOf: agreed[others-1]}
}

// Report returns this node's answer to a peer's probe at now.
func (s *State) Report(now time.Time) Report {
	report := Report{Version: s.Version(), Vouches: s.vouches, Votes: s.votes(now)}
	newest := newer(s.covered, s.ahead)
	if isRecent(newest.at, now) {
		report.RowRead = true
		report.RowVersion = newest.version
		report.RowAge = age(newest.at, now)
	}
	return report
}

// updateVouches lets the node vouch once the evidence since its start shows that it has every
// version accepted before its start. It must be called after every input.
func (s *State) updateVouches() {
	if s.vouches {
		return
	}
	byRow := !s.covered.at.IsZero() && !s.covered.at.Before(s.started)
	byPeers := len(s.agreementTimes(s.started)) >= s.list.majority()
	s.vouches = byRow || byPeers
}

// agreementTimes returns when the other listed nodes that vouch were asked, if that was at
// since or later and they had the version in force here or an older one. The newest time is
// first.
func (s *State) agreementTimes(since time.Time) []time.Time {
	var times []time.Time
	for _, r := range s.reports {
		if r.supports(s.Version()) && !r.at.Before(since) {
			times = append(times, r.at)
		}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times
}

func isRecent(at, now time.Time) bool {
	return !at.IsZero() && age(at, now) <= Bound
}

// age returns the time from at to now by the monotonic clock or by the wall clock, whichever
// is greater.
func age(at, now time.Time) time.Duration {
	return max(now.Sub(at), now.Round(0).Sub(at.Round(0)))
}
