package configuration

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/platform"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// body returns the valid configuration that tests write as version.
func body(version uint64) []byte {
	return fmt.Appendf(nil, "token_secret = %q\n# %d\n", strings.Repeat("ab", 32), version)
}

func record(version uint64) Record {
	return Record{Body: platform.HashName(body(version))}
}

// putInForce puts version in force at s.
func putInForce(t *testing.T, s *State, version uint64) {
	t.Helper()
	_, err := s.OnBody(version, record(version), body(version))
	must.NoError(t, err)
}

func TestVersionNeverReverts(t *testing.T) {
	s := New("a", epoch)
	putInForce(t, s, 5)
	for _, version := range []uint64{4, 5} {
		_, err := s.OnBody(version, record(version), body(version))
		must.Error(t, err)
	}
	must.Eq(t, 5, s.Version())
	must.Eq(t, 2, s.Counts().Stale)
}

func TestCorruptOrInvalidBodyIsNotPublished(t *testing.T) {
	s := New("a", epoch)
	putInForce(t, s, 5)
	s.OnRowRead(6, record(6), epoch)

	_, err := s.OnBody(6, record(6), append(body(6), '#'))
	must.True(t, platform.ErrCorrupt.Has(err))
	must.Eq(t, Counts{Published: 1, Corrupt: 1}, s.Counts())
	must.True(t, s.NeedsFetch(), must.Sprint("other copies of the body may be intact"))

	invalid := []byte("token_secret = 'short'")
	_, err = s.OnBody(6, Record{Body: platform.HashName(invalid)}, invalid)
	must.ErrorContains(t, err, "token_secret")
	must.Eq(t, Counts{Published: 1, Corrupt: 1, Invalid: 1}, s.Counts())
	must.False(t, s.NeedsFetch())
	must.Eq(t, 5, s.Version())
}

// TestInvalidVersionLeavesPeersFresh checks that a version whose body no node can put in
// force does not make nodes stale: it is never accepted.
func TestInvalidVersionLeavesPeersFresh(t *testing.T) {
	s := New("a", epoch)
	s.SetListed([]string{"a", "b", "c"})
	putInForce(t, s, 5)
	s.OnRowRead(5, record(5), epoch)
	later := epoch.Add(10 * time.Second)
	s.OnRowRead(6, record(6), later)
	must.False(t, s.IsFresh(later))
	s.OnReport("b", Report{Version: 5, Vouches: true}, later)
	must.True(t, s.IsFresh(later))
}

func TestFreshEndsWithBound(t *testing.T) {
	s := New("a", epoch)
	s.SetListed([]string{"a", "b", "c"})
	putInForce(t, s, 1)
	must.False(t, s.IsFresh(epoch))
	s.OnRowRead(1, record(1), epoch)
	must.True(t, s.IsFresh(epoch.Add(FreshnessBound)))
	must.False(t, s.IsFresh(epoch.Add(FreshnessBound+1)))
}

// TestEvidenceAgesWhileVMIsSuspended checks that evidence ages by the wall clock: the
// monotonic clock may stand still while the VM is suspended.
func TestEvidenceAgesWhileVMIsSuspended(t *testing.T) {
	now := time.Now()
	s := New("a", now)
	putInForce(t, s, 1)
	s.OnRowRead(1, record(1), now)
	wall := now.Round(0).Add(time.Minute)
	must.False(t, s.IsFresh(wall))
}

func TestSingleNodeFleet(t *testing.T) {
	s := New("a", epoch)
	s.SetListed([]string{"a"})
	putInForce(t, s, 1)
	must.False(t, s.IsFresh(epoch), must.Sprint("nothing is known of what was accepted before the start"))
	s.OnRowRead(1, record(1), epoch)
	must.True(t, s.IsFresh(epoch.Add(time.Hour)), must.Sprint("nothing is accepted without this node"))
}

// TestStartDuringOutage checks that a node that starts during an outage gets its version and
// its freshness from peers.
func TestStartDuringOutage(t *testing.T) {
	s := New("d", epoch)
	s.SetListed([]string{"a", "b", "c"})
	at := epoch.Add(time.Second)
	s.OnReport("a", Report{Version: 7, Vouches: true}, at)
	fetch, due := s.NextFetch(at)
	must.True(t, due)
	must.Eq(t, Fetch{Version: 7, Node: "a"}, fetch)
	putInForce(t, s, 7)
	must.False(t, s.IsFresh(at), must.Sprint("one of three is no majority"))
	s.OnReport("b", Report{Version: 6, Vouches: true}, at)
	must.True(t, s.IsFresh(at))
}

func TestRelayedEvidenceKeepsItsAge(t *testing.T) {
	s := New("a", epoch)
	putInForce(t, s, 1)
	at := epoch.Add(FreshnessBound)
	s.OnReport("b", Report{RowRead: true, RowVersion: 1, RowAge: FreshnessBound - time.Second}, at)
	must.True(t, s.IsFresh(at.Add(time.Second)))
	must.False(t, s.IsFresh(at.Add(time.Second+1)))
	must.Eq(t, FreshnessBound, s.Report(at.Add(time.Second)).RowAge)
}

func TestEvidenceFromBeforeStartDoesNotVouch(t *testing.T) {
	s := New("a", epoch)
	putInForce(t, s, 1)
	s.OnReport("b", Report{RowRead: true, RowVersion: 1, RowAge: time.Second}, epoch)
	must.True(t, s.IsFresh(epoch))
	must.False(t, s.Report(epoch).Vouches)
	s.OnReport("b", Report{RowRead: true, RowVersion: 1}, epoch)
	must.True(t, s.Report(epoch).Vouches)
}

func TestEvidenceOfNewerVersionCountsOnceInForce(t *testing.T) {
	s := New("a", epoch)
	s.OnRowRead(3, record(3), epoch)
	putInForce(t, s, 2)
	must.False(t, s.IsFresh(epoch))
	putInForce(t, s, 3)
	must.True(t, s.IsFresh(epoch))
}

func TestPeersWithNewerVersionDoNotCount(t *testing.T) {
	s := New("a", epoch)
	s.SetListed([]string{"a", "b", "c"})
	putInForce(t, s, 1)
	s.OnReport("b", Report{Version: 1, Vouches: true}, epoch)
	s.OnReport("c", Report{Version: 2, Vouches: true}, epoch)
	must.False(t, s.IsFresh(epoch))
	putInForce(t, s, 2)
	must.True(t, s.IsFresh(epoch))
}

func TestHalfOfTheNodesIsNoMajority(t *testing.T) {
	s := New("a", epoch)
	s.SetListed([]string{"a", "b", "c", "d"})
	putInForce(t, s, 1)
	s.OnRowRead(1, record(1), epoch)
	later := epoch.Add(time.Minute)
	s.OnReport("b", Report{Version: 1, Vouches: true}, later)
	must.False(t, s.IsFresh(later))
	s.OnReport("c", Report{Version: 1, Vouches: true}, later)
	must.True(t, s.IsFresh(later))
}

func TestMajorityIsAsOldAsItsOldestAnswer(t *testing.T) {
	s := New("x", epoch)
	s.SetListed([]string{"a", "b", "c", "d", "e"})
	putInForce(t, s, 1)
	for i, name := range []string{"a", "b", "c", "d"} {
		s.OnReport(name, Report{Version: 1, Vouches: true}, epoch.Add(time.Duration(i)*time.Second))
	}
	must.True(t, s.IsFresh(epoch.Add(time.Second+FreshnessBound)))
	must.False(t, s.IsFresh(epoch.Add(time.Second+FreshnessBound+1)))
}

func TestUnlistedNodesDoNotCount(t *testing.T) {
	s := New("a", epoch)
	s.SetListed([]string{"a", "b", "c"})
	putInForce(t, s, 1)
	for _, name := range []string{"x", "y", "z"} {
		s.OnReport(name, Report{Version: 1, Vouches: true}, epoch)
	}
	must.False(t, s.IsFresh(epoch))
	s.OnReport("b", Report{Version: 1, Vouches: true}, epoch)
	s.OnReport("c", Report{Version: 1, Vouches: true}, epoch)
	must.True(t, s.IsFresh(epoch))
	s.SetListed([]string{"a", "x", "y"})
	must.False(t, s.IsFresh(epoch), must.Sprint("b and c have left the list"))
}

func TestFetchAsksSourcesInTurn(t *testing.T) {
	s := New("a", epoch)
	s.SetListed([]string{"a", "b", "c"})
	s.OnReport("b", Report{Version: 3}, epoch)
	s.OnReport("c", Report{Version: 3}, epoch)
	s.OnRowRead(3, record(3), epoch)
	var asked []string
	for i := range 4 {
		at := epoch.Add(time.Duration(i) * RetryInterval)
		fetch, due := s.NextFetch(at)
		must.True(t, due)
		asked = append(asked, fetch.Node)
		_, early := s.NextFetch(at)
		must.False(t, early)
	}
	must.Eq(t, []string{"", "b", "c", ""}, asked)
}

func TestPollRateOfAllNodesIsBounded(t *testing.T) {
	for _, nodes := range []int{1, 6, 24, 200, 2100} {
		s := New("a", epoch)
		var names []string
		for i := range nodes {
			names = append(names, fmt.Sprint(i))
		}
		s.SetListed(names)
		for failures := range 5 {
			perSecond := float64(nodes) / s.PollWait(failures, 0).Seconds()
			must.LessEq(t, MaxReadsPerSecond, perSecond)
		}
	}
}
