package promotion

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/logpos"
	"crocusyoke/internal/peer"
	"crocusyoke/internal/platform"
	"crocusyoke/internal/platform/platformtest"
	"crocusyoke/internal/target"
)

var errTargetDown = errors.New("no answer")

// fakeGroup is a group of targets that execute orders; targets that are down refuse
// connections.
type fakeGroup struct {
	target.Dialer
	mu       sync.Mutex
	status   map[string]*target.Status
	down     map[string]bool
	promoted time.Time
	followed time.Time
}

func newFakeGroup() *fakeGroup {
	g := &fakeGroup{status: make(map[string]*target.Status), down: make(map[string]bool)}
	for _, name := range []string{"t1", "t2", "t3"} {
		g.status[name] = &target.Status{
			Target: name, Role: target.RoleReplica, Term: 1, Last: logpos.Position{Term: 1, Index: 7}, Following: "t1",
		}
	}
	g.status["t1"].Role = target.RolePrimary
	return g
}

// Current implements fleet.Source; a target's address is its name.
func (g *fakeGroup) Current() *fleet.Config {
	listed := fleet.Group{Name: "ledger-1"}
	for _, name := range []string{"t1", "t2", "t3"} {
		listed.Targets = append(listed.Targets, fleet.Target{Name: name, Address: name})
	}
	return &fleet.Config{Groups: []fleet.Group{listed}}
}

func (g *fakeGroup) Control(_ context.Context, login target.Login) (target.Control, error) {
	address := login.Address
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.down[address] {
		return nil, errTargetDown
	}
	return &fakeControl{group: g, name: address}, nil
}

func (g *fakeGroup) setDown(name string, down bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.down[name] = down
}

func (g *fakeGroup) hasPromoted() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.promoted.IsZero()
}

func (g *fakeGroup) poll(r *Runner, name string) {
	c, err := g.Control(context.Background(), target.Login{Address: name})
	if err != nil {
		r.ObserveFailedPoll("ledger-1", name, time.Now())
		return
	}
	status, _ := c.Status(context.Background())
	r.Observe("ledger-1", time.Now(), status)
}

type fakeControl struct {
	group *fakeGroup
	name  string
}

// update changes the target's status under the group's lock and returns the new status.
func (c *fakeControl) update(change func(s *target.Status)) (target.Status, error) {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	change(c.group.status[c.name])
	return *c.group.status[c.name], nil
}

func (c *fakeControl) Status(context.Context) (target.Status, error) {
	return c.update(func(*target.Status) {})
}

func (c *fakeControl) Adopt(_ context.Context, term uint64, orderer string) (target.Status, error) {
	return c.update(func(s *target.Status) { s.Term, s.Orderer, s.Role = term, orderer, target.RoleReplica })
}

func (c *fakeControl) Promote(context.Context, uint64, string) (target.Status, error) {
	return c.update(func(s *target.Status) {
		s.Role = target.RolePrimary
		c.group.promoted = time.Now()
	})
}

func (c *fakeControl) Follow(_ context.Context, _ uint64, address string) (target.Status, error) {
	return c.update(func(s *target.Status) {
		s.Following = address
		c.group.followed = time.Now()
	})
}

func (c *fakeControl) Close() error { return nil }

// fakePeers are peer nodes; each reaches exactly the targets that are not down.
type fakePeers struct{ group *fakeGroup }

func (p fakePeers) Call(ctx context.Context, _ string, _ peer.Kind, request, reply any) error {
	_, err := p.group.Control(ctx, target.Login{Address: request.(SuspectRequest).Address})
	*reply.(*SuspectReply) = SuspectReply{Reachable: err == nil}
	return nil
}

func vm(name, domain string) platform.VM {
	return platform.VM{Name: name, Address: name, Domain: domain}
}

// TestFailoverDuringStoreOutage checks that during a store outage targets follow the new
// primary at once, without waiting for the promotion's record, and that the record is
// written after the outage.
func TestFailoverDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, group := platformtest.New(), newFakeGroup()
		store.SetOutage(true)
		r := New(Options{
			Self: "n1", Domain: "rajkot-a", Deployment: "trust", Settle: 500 * time.Millisecond, Dialer: group,
			Peers: fakePeers{group}, Nodes: func() []platform.VM { return []platform.VM{vm("n2", "morbi-b")} },
			Table: store, Config: group, Clock: clock.Wall{}, Logger: log.NewNopLogger(),
		})
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- r.Run(ctx) }()
		r.SetOwned("ledger-1", true)
		for i := range 50 {
			group.setDown("t1", i >= 10)
			for _, name := range []string{"t1", "t2", "t3"} {
				group.poll(r, name)
			}
			time.Sleep(100 * time.Millisecond)
		}
		must.False(t, group.promoted.IsZero())
		must.Less(t, 50*time.Millisecond, group.followed.Sub(group.promoted))
		store.SetOutage(false)
		time.Sleep(2 * recordRetryMax)
		must.Len(t, 1, auditTrail(t, store))
		stop()
		must.NoError(t, <-ended)
	})
}

// TestPeersToAskAreInOtherDomainsAndBounded checks that only nodes in other failure domains
// are asked, with a limit per domain and in total.
func TestPeersToAskAreInOtherDomainsAndBounded(t *testing.T) {
	var nodes []platform.VM
	for i := range 100 {
		nodes = append(nodes, vm(fmt.Sprint("n", i), string(rune('a'+i/15))))
	}
	r := New(Options{Domain: "a", Nodes: func() []platform.VM { return nodes }})
	asked, singleDomain := r.peersToAsk()
	must.False(t, singleDomain)
	must.Len(t, maxAsked, asked)
	domains := make(map[string]int)
	for _, v := range asked {
		domains[v.Domain]++
		must.NotEq(t, "a", v.Domain)
		must.LessEq(t, maxAskedPerDomain, domains[v.Domain])
	}
}

// TestSingleDomainAsksItsOwnNodes checks that nodes in this node's own failure domain are
// asked if there is no other domain.
func TestSingleDomainAsksItsOwnNodes(t *testing.T) {
	nodes := []platform.VM{vm("n2", "a"), vm("n3", "a")}
	r := New(Options{Domain: "a", Nodes: func() []platform.VM { return slices.Clone(nodes) }})
	asked, singleDomain := r.peersToAsk()
	must.True(t, singleDomain)
	must.Len(t, 2, asked)
}
