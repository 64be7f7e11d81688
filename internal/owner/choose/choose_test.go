package choose

import (
	"testing"
	"time"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/logpos"
	"crocusyoke/internal/target"

	"github.com/shoenig/test/must"
)

var token = logpos.Position{Term: 2, Index: 10}

// candidates returns a primary of term 2 and two replicas in that term. The data of the
// first replica covers token and is 10 ms old; the second replica lags behind token.
func candidates() []Candidate {
	c := func(name string, role target.Role, index uint64, age time.Duration) Candidate {
		return Candidate{
			Name: name, Domain: "a", StatusKnown: true, Role: role, Term: 2,
			Last: logpos.Position{Term: 2, Index: index}, Age: age, AgeKnown: true,
		}
	}
	return []Candidate{
		c("p", target.RolePrimary, 20, 0),
		c("r1", target.RoleReplica, 12, 10*time.Millisecond),
		c("r2", target.RoleReplica, 3, time.Second),
	}
}

func criteria(reads fleet.Reads) *Criteria {
	return &Criteria{
		Read:             true,
		Profile:          &fleet.Profile{Reads: reads, MaxAge: fleet.Duration(100 * time.Millisecond)},
		MinPosition:      token,
		MinPositionKnown: true,
		Domain:           "a",
		Term:             2,
	}
}

const (
	noneChosen     = -1
	primary        = 0
	freshReplica   = 1
	laggingReplica = 2
)

func TestChoose(t *testing.T) {
	session, age := fleet.ReadsSession, fleet.ReadsAge
	cases := []struct {
		name   string
		reads  fleet.Reads
		change func(q *Criteria, c []Candidate)
		want   int
	}{
		{"covering replica", session, func(*Criteria, []Candidate) {}, freshReplica},
		{"write", session, func(q *Criteria, _ []Candidate) { q.Read = false }, primary},
		{"primary-only policy", session, func(q *Criteria, _ []Candidate) { q.Policy = PrimaryOnly }, primary},
		{"primary-only profile", fleet.ReadsPrimary, func(*Criteria, []Candidate) {}, primary},
		{"unknown token", age, func(q *Criteria, _ []Candidate) { q.MinPositionKnown = false }, primary},
		{"no replica covers", session, func(_ *Criteria, c []Candidate) { c[freshReplica].Last.Index = 9 }, primary},
		{"leaving replica", session, func(_ *Criteria, c []Candidate) { c[freshReplica].Leaving = true }, primary},
		{"unseen replica", session, func(_ *Criteria, c []Candidate) { c[freshReplica].StatusKnown = false }, primary},
		{"replica of an older term", session, func(_ *Criteria, c []Candidate) {
			c[freshReplica].Term, c[freshReplica].Last = 1, logpos.Position{Term: 1, Index: 99}
		}, primary},
		{"replica with a deposed primary's log", session, func(q *Criteria, c []Candidate) {
			q.MinPosition = logpos.Position{Term: 1, Index: 5}
			c[freshReplica].Last = logpos.Position{Term: 1, Index: 99}
		}, primary},
		{"old replica", age, func(_ *Criteria, c []Candidate) { c[freshReplica].Age = 101 * time.Millisecond }, primary},
		{"replica of unknown age", age, func(_ *Criteria, c []Candidate) { c[freshReplica].AgeKnown = false }, primary},
		{"age does not excuse the token", age, func(_ *Criteria, c []Candidate) { c[freshReplica].Last.Index = 9 }, primary},
		{"busy replica", session, func(_ *Criteria, c []Candidate) { c[freshReplica].ExpectedWait = 50 * time.Millisecond }, primary},
		{"failing replica", session, func(_ *Criteria, c []Candidate) { c[freshReplica].ErrorShare = 0.9 }, primary},
		{"both cover, near domain", session, func(_ *Criteria, c []Candidate) {
			c[laggingReplica].Last = c[freshReplica].Last
			c[freshReplica].Domain = "b"
		}, laggingReplica},
		{"leaving primary", session, func(q *Criteria, c []Candidate) {
			q.Read = false
			c[primary].Leaving = true
		}, noneChosen},
		{"no primary, read goes on", age, func(q *Criteria, _ []Candidate) { q.Primary = -1 }, freshReplica},
		{"no primary, older term than the token's", age, func(q *Criteria, c []Candidate) {
			q.Primary = -1
			c[freshReplica].Term = 1
		}, noneChosen},
		{"no primary, write", session, func(q *Criteria, _ []Candidate) { q.Primary, q.Read = -1, false }, noneChosen},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			q, c := criteria(tc.reads), candidates()
			tc.change(q, c)
			answer := Choose(q, c)
			must.Eq(t, tc.want, answer.Target)
			must.Eq(t, tc.want > primary, answer.Replica)
			must.Eq(t, 0, answer.Wait)
		})
	}
}

func TestWaitsForReplicaThatCanCatchUp(t *testing.T) {
	q, c := criteria(fleet.ReadsSession), candidates()
	q.ReplicaWaitLeft = 20 * time.Millisecond
	q.Profile.MaxAge = 0
	c[freshReplica].Last.Index = 9
	must.Eq(t, q.ReplicaWaitLeft, Choose(q, c).Wait)
	c[freshReplica].Age = time.Minute
	must.Eq(t, primary, Choose(q, c).Target)
	c[freshReplica].Age = 0
	q.ReplicaWaitLeft = 0
	must.Eq(t, primary, Choose(q, c).Target)
}

func BenchmarkChoose(b *testing.B) {
	q, c := criteria(fleet.ReadsSession), candidates()
	b.ReportAllocs()
	for b.Loop() {
		Choose(q, c)
	}
}
