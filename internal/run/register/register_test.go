package register

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/platform"
	"crocusyoke/internal/platform/platformtest"
)

// fakeTable adds Delete to the fake platform; it records the deleted keys.
type fakeTable struct {
	*platformtest.Fake
	mu      sync.Mutex
	deleted []string
}

func (t *fakeTable) Delete(_ context.Context, key string, _ uint64) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.deleted = append(t.deleted, key)
	return nil
}

func (t *fakeTable) keys() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.deleted)
}

func newTestRegister(store *fakeTable, name, address string, gone func() []string) *Register {
	return New(Options{
		Self: platform.VM{Name: name, Address: address, Domain: "a"}, Table: store, Clock: clock.Wall{},
		Logger: log.NewNopLogger(), Random: rand.New(rand.NewPCG(1, 1)), RemovableNodes: gone,
	})
}

func isListed(t *testing.T, r *Register) func() bool {
	return func() bool {
		vms, err := r.ListVMs(t.Context())
		return err == nil && slices.ContainsFunc(vms, func(vm platform.VM) bool { return vm == r.self() })
	}
}

func (r *Register) self() platform.VM {
	vm := r.o.Self
	vm.State = platform.VMLive
	return vm
}

// TestNodesFindEachOther checks that nodes write their rows despite a store outage and lost
// responses, and that a node with a new address or fingerprint replaces its row.
func TestNodesFindEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeTable{Fake: platformtest.New()}
		store.SetOutage(true)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		none := func() []string { return nil }
		first, second := newTestRegister(store, "n1", "1", none), newTestRegister(store, "n2", "2", none)
		firstCtx, stopFirst := context.WithCancel(ctx)
		go func() { _ = first.Run(firstCtx, isListed(t, first)) }()
		go func() { _ = second.Run(ctx, isListed(t, second)) }()
		time.Sleep(3 * time.Second)
		store.LosePuts(platformtest.LossAfter, platformtest.LossBefore)
		store.SetOutage(false)
		time.Sleep(5 * time.Second)
		vms, err := first.ListVMs(t.Context())
		must.NoError(t, err)
		must.Len(t, 2, vms)
		moved := newTestRegister(store, "n2", "3", none)
		must.NoError(t, moved.writeRow(t.Context()))
		vms, err = first.ListVMs(t.Context())
		must.NoError(t, err)
		must.SliceContains(t, vms, moved.self())
		must.Len(t, 2, vms)
		stopFirst()
		restarted := newTestRegister(store, "n1", "1", none)
		restarted.o.Self.Fingerprint = "f2"
		must.False(t, isListed(t, restarted)())
		go func() { _ = restarted.Run(ctx, isListed(t, restarted)) }()
		time.Sleep(time.Second)
		must.True(t, isListed(t, restarted)())
	})
}

// TestForeignAndCorruptRowsAreIgnored checks that rows of other kinds and rows that cannot
// be decoded yield no nodes.
func TestForeignAndCorruptRowsAreIgnored(t *testing.T) {
	must.SliceEmpty(t, VMs([]platform.Row{{Key: "lease/g"}, {Key: "node/n1", Value: []byte("\xff")}}))
}

// TestRowsOfGoneNodesAreDeleted checks that a row is deleted only after its node has been
// gone for RemoveAfter without interruption.
func TestRowsOfGoneNodesAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeTable{Fake: platformtest.New()}
		must.NoError(t, newTestRegister(store, "n2", "2", nil).writeRow(t.Context()))
		var mu sync.Mutex
		gone := []string{"n2"}
		set := func(names []string) {
			mu.Lock()
			defer mu.Unlock()
			gone = names
		}
		r := newTestRegister(store, "n1", "1", func() []string {
			mu.Lock()
			defer mu.Unlock()
			return gone
		})
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go func() { _ = r.Run(ctx, isListed(t, r)) }()
		time.Sleep(RemoveAfter - time.Second)
		set(nil)
		time.Sleep(2 * time.Second)
		set([]string{"n2"})
		time.Sleep(RemoveAfter - time.Second)
		must.SliceEmpty(t, store.keys())
		time.Sleep(3 * time.Second)
		must.SliceContains(t, store.keys(), "node/n2")
	})
}

// TestRowLostInARestoreIsMissing checks that a node whose row a restore has lost writes it again at
// once, also if it has written it just before.
func TestRowLostInARestoreIsMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeTable{Fake: platformtest.New()}
		lost := store.Copy()
		r := newTestRegister(store, "n1", "1", func() []string { return nil })
		r.o.KnownRow = func(key string) (platform.Row, bool) {
			row, _ := store.Get(t.Context(), key)
			return row, true
		}
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go func() { _ = r.Run(ctx, isListed(t, r)) }()
		time.Sleep(time.Second / 2)
		must.True(t, isListed(t, r)())
		store.Restore(lost)
		time.Sleep(2 * time.Second)
		must.True(t, isListed(t, r)())
	})
}
