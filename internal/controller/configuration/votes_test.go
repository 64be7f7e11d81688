package configuration

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// longAgo is a time so old that evidence from it does not count.
var longAgo = epoch.Add(-time.Minute)

// relayer returns node b of a, b, c, d and e. It has version 1, and answers of c and d, which
// vouch, and of e, which does not.
func relayer(t *testing.T) *State {
	t.Helper()
	s := New("b", epoch)
	s.SetListed([]string{"a", "b", "c", "d", "e"})
	putInForce(t, s, 1)
	s.OnReport("c", Report{Version: 1, Vouches: true}, epoch)
	s.OnReport("d", Report{Version: 1, Vouches: true}, epoch.Add(time.Second))
	s.OnReport("e", Report{Version: 1}, epoch)
	return s
}

// asker returns node a of the same list, which has version 1 and vouches.
func asker(t *testing.T) *State {
	t.Helper()
	s := New("a", longAgo)
	s.SetListed([]string{"e", "d", "c", "b", "a"})
	putInForce(t, s, 1)
	s.OnRowRead(1, record(1), longAgo)
	return s
}

func TestRelayedVotesMakeUpAMajority(t *testing.T) {
	at := epoch.Add(2 * time.Second)
	report := relayer(t).Report(at)
	must.False(t, report.Vouches)
	s := asker(t)
	s.OnReport("b", report, at)
	// c was asked 2 s ago, which is rounded up to 8 units of 256 ms.
	must.Eq(t, FreshnessBasis{AsOf: at.Add(-8 * voteAgeUnit)}, s.FreshnessBasis())
}

func TestInapplicableVotesAreIgnored(t *testing.T) {
	at := epoch.Add(2 * time.Second)
	for name, change := range map[string]func(s *State, r *Report){
		"another list":     func(s *State, _ *Report) { s.SetListed([]string{"a", "b", "c", "d", "f"}) },
		"a later version":  func(_ *State, r *Report) { r.Votes.Version = 2 },
		"too few ages":     func(_ *State, r *Report) { r.Votes.Ages = r.Votes.Ages[:2] },
		"too old":          func(_ *State, r *Report) { r.Votes.set(2, FreshnessBound) },
		"only one of them": func(_ *State, r *Report) { r.Votes.set(3, FreshnessBound) },
	} {
		t.Run(name, func(t *testing.T) {
			s := asker(t)
			report := relayer(t).Report(at)
			change(s, &report)
			s.OnReport("b", report, at)
			must.Eq(t, FreshnessBasis{AsOf: longAgo}, s.FreshnessBasis())
		})
	}
}

// TestRelayedOwnVoteIsIgnored checks that a node's answers from before its restart do not
// count for the node itself when peers relay them.
func TestRelayedOwnVoteIsIgnored(t *testing.T) {
	listed := []string{"a", "b", "c", "d", "e", "f", "g"}
	b := New("b", longAgo)
	b.SetListed(listed)
	putInForce(t, b, 1)
	b.OnRowRead(1, record(1), longAgo)
	for _, name := range []string{"a", "c", "d"} {
		b.OnReport(name, Report{Version: 1, Vouches: true}, epoch)
	}

	at := epoch.Add(time.Second)
	restarted := New("a", at)
	restarted.SetListed(listed)
	putInForce(t, restarted, 1)
	restarted.OnReport("b", b.Report(at), at)
	must.False(t, restarted.IsFresh(at), must.Sprint("b, c and d are no majority of seven"))
	restarted.OnReport("e", Report{Version: 1, Vouches: true}, at)
	must.True(t, restarted.IsFresh(at))
}

// TestVotesFromBeforeStartDoNotVouch checks that relayed answers from before a node's start
// do not let it vouch.
func TestVotesFromBeforeStartDoNotVouch(t *testing.T) {
	at := epoch.Add(time.Second)
	b := relayer(t)
	b.OnReport("e", Report{Version: 1, Vouches: true}, epoch.Add(1))
	s := New("x", at)
	s.SetListed([]string{"a", "b", "c", "d", "e"})
	putInForce(t, s, 1)
	s.OnReport("b", b.Report(at), at)
	must.True(t, s.IsFresh(at))
	must.False(t, s.vouches)
}

func TestVotesAreNotRelayedWhileStoreAnswers(t *testing.T) {
	s := relayer(t)
	s.OnRowRead(1, record(1), epoch)
	must.Nil(t, s.Report(epoch.Add(RelayVotesAfter-1)).Votes)
	must.NotNil(t, s.Report(epoch.Add(RelayVotesAfter)).Votes)
}
