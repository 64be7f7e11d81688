package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/controller/membership"
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/owner"
	"crocusyoke/internal/ownership"
	"crocusyoke/internal/request"
	"crocusyoke/internal/settings"
)

// emptyConfig is a fleet.Source without groups.
type emptyConfig struct{}

func (emptyConfig) Current() *fleet.Config { return &fleet.Config{} }

// readersOf returns the readers as the node own in failure domain domain knows them: own is the only node of e1, near
// that of w1, and far owns the group g, whose targets are in e1, w1 and, one that is leaving, in n1.
func readersOf(own, domain string) (*readerTracker, func()) {
	config := &fleet.Config{Groups: []fleet.Group{{Name: "g", Targets: []fleet.Target{
		{Name: "t1", Domain: "e1"}, {Name: "t2", Domain: "w1"}, {Name: "t3", Domain: "n1", Leaving: true},
	}}}}
	view := &membership.View{Self: own}
	var nodes []ownership.Node
	for _, m := range []membership.Member{{Name: "far", Domain: "e2"}, {Name: "near", Domain: "w1"}, {Name: "other", Domain: "n1"}, {Name: "own", Domain: "e1"}} {
		m.Address = "at " + m.Name
		view.Members = append(view.Members, m)
		nodes = append(nodes, ownership.Node{Name: m.Name, Domain: m.Domain})
	}
	n := &Node{
		settings: &settings.Settings{Node: settings.Node{Name: own, Domain: domain}, Policy: settings.Policy{NearbyReads: true}},
		clock:    clock.Wall{}, logger: log.NewNopLogger(),
		owner: owner.New(owner.Options{Config: emptyConfig{}}),
	}
	n.owners = newOwnerTracker(n)
	n.owners.table.Store(&ownerTable{"g": {name: "far", address: "at far", domain: "e2"}})
	return n.owners.readers, func() { n.owners.readers.rebuild(config, map[string]string{"g": "far"}, nodes, view) }
}

// TestReaderOfADomain checks which node is the reader, that the owner does not count as one, nor a node whose domain has
// only a target that leaves.
func TestReaderOfADomain(t *testing.T) {
	r, rebuild := readersOf("own", "e1")
	_, _, ok := r.Reader("g")
	must.False(t, ok)
	rebuild()
	_, self, ok := r.Reader("g")
	must.True(t, self && ok)
	must.True(t, r.reads("g"))
	for domain, want := range map[string]bool{"e1": false, "w1": true, "n1": false, "e2": false} {
		must.Eq(t, want, r.hasReader("g", domain), must.Sprint(domain))
	}
	r.node.owners.table.Store(&ownerTable{"g": {name: "own", domain: "e1"}})
	_, _, ok = r.Reader("g")
	must.False(t, ok)
	other, rebuild := readersOf("another", "w1")
	rebuild()
	address, self, ok := other.Reader("g")
	must.True(t, ok && !self)
	must.Eq(t, "at near", address)
	must.False(t, other.reads("g"))
}

// TestReaderDeclines checks that reads go to the owner for a while after the reader had no replica.
func TestReaderDeclines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, rebuild := readersOf("own", "e1")
		rebuild()
		r.Declined("g")
		_, _, ok := r.Reader("g")
		must.False(t, ok)
		time.Sleep(declinedFor)
		_, _, ok = r.Reader("g")
		must.True(t, ok)
	})
}

// TestReaderServesWhatItOwnedBefore guards against a node that becomes a reader and still refuses a group that it has
// released as an owner.
func TestReaderServesWhatItOwnedBefore(t *testing.T) {
	r, rebuild := readersOf("own", "e1")
	serve := func() request.Code {
		_, err := r.node.owner.Serve(context.Background(), &request.Request{Group: "g"})
		return request.AsRefusal(err).Code
	}
	must.NoError(t, r.node.owner.Release(context.Background(), "g"))
	must.Eq(t, request.CodeNoOwner, serve())
	rebuild()
	must.NotEq(t, request.CodeNoOwner, serve())
}

// TestReaderKeepsTheGroupThatItLost guards against an owner that releases a group of which it has become the reader.
func TestReaderKeepsTheGroupThatItLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, rebuild := readersOf("own", "e1")
		release := func() request.Code {
			r.node.owners.lostAt["g"] = time.Now().Add(-releaseDelay)
			r.node.owners.releaseLostGroups(context.Background())
			synctest.Wait()
			_, err := r.node.owner.Serve(context.Background(), &request.Request{Group: "g"})
			return request.AsRefusal(err).Code
		}
		must.Eq(t, request.CodeNoOwner, release())
		rebuild()
		must.NotEq(t, request.CodeNoOwner, release())
	})
}
