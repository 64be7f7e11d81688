package owner

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/owner/schedule"
	"crocusyoke/internal/region"
	"crocusyoke/internal/request"
)

// spread puts the group's targets into the failure domains a, b, c, which are the regions A, B, C.
func spread(o *Options) {
	o.Regions = region.Map{"a": "A", "b": "B", "c": "C"}
	source := o.Config.(*fakeGroup)
	config := *source.Current()
	config.Groups = []fleet.Group{config.Groups[0]}
	config.Groups[0].Targets = append([]fleet.Target(nil), config.Groups[0].Targets...)
	for i, domain := range []string{"a", "b", "c"} {
		config.Groups[0].Targets[i].Domain = domain
	}
	config.Services = []fleet.Service{{Name: "south", HomeRegions: []string{"C"}}}
	source.config.Store(&config)
}

func (h *harness) serveAtHome(kind request.Kind, homes ...string) (*request.Request, *request.Response, error) {
	texts := map[request.Kind]string{request.KindRead: "SELECT", request.KindWrite: "INSERT", request.KindBegin: "BEGIN"}
	req := h.request(kind, texts[kind], time.Second)
	req.HomeRegions = region.NewSet(homes)
	response, err := h.serve(req)
	return req, response, err
}

// TestTargetOutsideOfTheHomesIsPassedOver guards against requests that reach a target outside of their home regions.
// The primary is in A.
func TestTargetOutsideOfTheHomesIsPassedOver(t *testing.T) {
	withHarness(t, 5*time.Millisecond, spread, func(h *harness) {
		for range 20 {
			_, response, err := h.serveAtHome(request.KindRead, "C")
			must.NoError(t, err)
			must.Eq(t, "db2", response.Target)
			_, response, err = h.serveAtHome(request.KindRead, "A")
			must.NoError(t, err)
			must.Eq(t, "db0", response.Target)
		}
		_, response, err := h.serveAtHome(request.KindWrite, "A", "B")
		must.NoError(t, err)
		must.Eq(t, "db0", response.Target)
		began := time.Now()
		_, _, err = h.serveAtHome(request.KindWrite, "B", "C")
		mustRefuse(t, err, request.CodeOutsideHome)
		_, _, err = h.serveAtHome(request.KindRead, "D")
		mustRefuse(t, err, request.CodeOutsideHome)
		must.Eq(t, 0, time.Since(began))
	})
}

func TestTransactionOutsideOfItsNewHomesEnds(t *testing.T) {
	withHarness(t, 5*time.Millisecond, spread, func(h *harness) {
		begin, _, err := h.serveAtHome(request.KindBegin, "A")
		must.NoError(t, err)
		statement := nextRequest(begin, request.KindInTransaction, "INSERT moved")
		statement.HomeRegions = region.NewSet([]string{"B"})
		_, err = h.serve(statement)
		mustRefuse(t, err, request.CodeTransactionLost)
		time.Sleep(50 * time.Millisecond)
		must.Eq(t, 0, h.group.targets[0].count("INSERT moved"))
		must.Eq(t, 1, h.group.targets[0].count("ROLLBACK"))
	})
}

// TestReleasedGroupServesRequestsBoundToItsRegion guards against home-bound requests that a former owner refuses for
// good: no other node may have them.
func TestReleasedGroupServesRequestsBoundToItsRegion(t *testing.T) {
	withHarness(t, 5*time.Millisecond, spread, func(h *harness) {
		h.manager.SetOwned("ledger", false)
		must.NoError(t, h.manager.Release(context.Background(), "ledger"))
		_, err := h.serve(h.request(request.KindRead, "SELECT", time.Second))
		mustRefuse(t, err, request.CodeNoOwner)
		_, _, err = h.serveAtHome(request.KindRead, "C")
		must.NoError(t, err)
		limit := h.manager.groups["ledger"].members[2].pool.Stats().Limit
		must.Eq(t, fakeSlots, limit)
		h.manager.SetOwned("ledger", true)
		owners := h.manager.groups["ledger"].members[2].pool.Stats().Limit
		must.LessEq(t, fakeConnections, 2*owners+limit+2*controlConnections)
		must.GreaterEq(t, fakeSlots, owners)
	})
}

// TestPlacementEndsWithAMove checks that a request that has its slot is placed again if its target is no longer in one of
// its homes.
func TestPlacementEndsWithAMove(t *testing.T) {
	withHarness(t, 5*time.Millisecond, spread, func(h *harness) {
		g := h.manager.groups["ledger"]
		r := &execution{req: h.request(request.KindRead, "SELECT", time.Second), startedAt: time.Now()}
		r.req.HomeRegions = region.NewSet([]string{"B"})
		must.Nil(t, g.place(context.Background(), r))
		must.Nil(t, g.awaitNewSlot(context.Background(), r))
		must.True(t, g.isPlacementValid(r))
		config := *h.group.Current()
		config.Groups = []fleet.Group{config.Groups[0]}
		config.Groups[0].Targets = append([]fleet.Target(nil), config.Groups[0].Targets...)
		config.Groups[0].Targets[1].Domain = "c"
		h.group.config.Store(&config)
		must.False(t, g.isPlacementValid(r))
		g.freeSlot(r.member, r.slot, schedule.TransactionUnchanged)
	})
}
