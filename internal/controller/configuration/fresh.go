package configuration

import (
	"slices"
	"time"
)

// FreshnessBasis is the evidence from which it follows until when a node is fresh. A node is
// fresh if it has every version that was accepted longer ago than FreshnessBound, where
// accepted means that a majority of the listed nodes had the version in force at the same
// time. A FreshnessBasis holds until the next input changes it.
type FreshnessBasis struct {
	// Always is true if no version can be accepted without this node, because this node is the
	// only listed one and vouches.
	Always bool
	// AsOf is a time such that the node has every version accepted before it. It is zero if no
	// such time is known.
	AsOf time.Time
}

// IsFresh reports whether the node is fresh at now on this basis.
func (b FreshnessBasis) IsFresh(now time.Time) bool { return b.Always || isRecent(b.AsOf, now) }

// IsFresh reports whether the node has every version that was accepted before now -
// FreshnessBound.
func (s *State) IsFresh(now time.Time) bool {
	return s.config != nil && s.FreshnessBasis().IsFresh(now)
}

// FreshnessBasis returns the strongest basis for freshness that the inputs so far give.
func (s *State) FreshnessBasis() FreshnessBasis {
	if len(s.list.names) == 0 {
		return FreshnessBasis{AsOf: s.currentRowRead.sentAt}
	}
	others := s.list.majority()
	if s.vouches && s.list.has(s.self) {
		others--
	}
	if others == 0 {
		return FreshnessBasis{Always: true}
	}
	agreed := s.agreementTimes(s.currentRowRead.sentAt)
	if len(agreed) < others {
		return FreshnessBasis{AsOf: s.currentRowRead.sentAt}
	}
	return FreshnessBasis{AsOf: agreed[others-1]}
}

// Report returns this node's answer to a peer's probe at now.
func (s *State) Report(now time.Time) Report {
	report := Report{Version: s.Version(), Vouches: s.vouches, Votes: s.votes(now)}
	newest := newer(s.currentRowRead, s.newerRowRead)
	if isRecent(newest.sentAt, now) {
		report.RowRead = true
		report.RowVersion = newest.version
		report.RowAge = age(newest.sentAt, now)
	}
	return report
}

// updateVouches sets vouches once evidence dated at or after this node's start shows that the
// node has every version accepted before its start. From then on, the node's answers count
// towards a majority (see the package comment). It must be called after every input.
func (s *State) updateVouches() {
	if s.vouches {
		return
	}
	byRow := !s.currentRowRead.sentAt.IsZero() && !s.currentRowRead.sentAt.Before(s.started)
	byPeers := len(s.agreementTimes(s.started)) >= s.list.majority()
	s.vouches = byRow || byPeers
}

// agreementTimes returns the times at which other listed nodes were asked, the newest time
// first. A node's time is included only if it is not before since, and if the node answered
// that it vouches and that it has the version in force here or an older one.
func (s *State) agreementTimes(since time.Time) []time.Time {
	var times []time.Time
	for _, r := range s.reports {
		if r.supports(s.Version()) && !r.askedAt.Before(since) {
			times = append(times, r.askedAt)
		}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times
}

func isRecent(at, now time.Time) bool {
	return !at.IsZero() && age(at, now) <= FreshnessBound
}

// age returns the time from at to now by the monotonic clock or by the wall clock, whichever
// is greater.
func age(at, now time.Time) time.Duration {
	return max(now.Sub(at), now.Round(0).Sub(at.Round(0)))
}
