package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestHistories runs random sequences of calls. It checks that no more statements are in
// flight than there are slots, that every item is decided exactly once, that no refused or
// cancelled item runs, and that no item remains after all have finished or expired.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 5).Draw(t, "slots")
		policy := rapid.SampledFrom([]Policy{Fair, FIFO}).Draw(t, "policy")
		s := New(Options{Policy: policy, Slots: slots, MaxOpenTransactions: 3, QueueLimit: 10})
		now := epoch
		waiting := make(map[*Item]bool)
		running := make(map[*Item]bool)
		open := 0
		applyDecisions := func(decisions []Decision) {
			for _, d := range decisions {
				must.True(t, waiting[d.Item], must.Sprint("decided twice"))
				delete(waiting, d.Item)
				if d.Refusal == nil {
					running[d.Item] = true
				}
			}
			must.LessEq(t, slots, len(running))
			must.Eq(t, len(running), s.InFlight())
			must.Eq(t, len(waiting), s.Waiting())
		}
		finish := func(item *Item) {
			delete(running, item)
			change := TransactionUnchanged
			switch {
			case item.Class == BeginTransaction:
				change = TransactionOpened
				open++
			case item.Class == EndTransaction && open > 0:
				change = TransactionClosed
				open--
			}
			must.LessEq(t, 3, open)
			applyDecisions(s.Done(now, item, change))
		}
		oldest := func(items map[*Item]bool) *Item {
			var first *Item
			for item := range items {
				if first == nil || item.arrivalSeq < first.arrivalSeq {
					first = item
				}
			}
			return first
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				class := Class(rapid.IntRange(0, int(Urgent)).Draw(t, "class"))
				if class == EndTransaction && s.running[EndTransaction]+s.endTransaction.len() >= open {
					class = Read
				}
				item := &Item{
					Customer: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "customer")),
					Weight:   rapid.IntRange(0, 3).Draw(t, "weight"),
					Class:    class,
					Deadline: now.Add(time.Duration(rapid.IntRange(-1, 100).Draw(t, "ms")) * time.Millisecond),
				}
				waiting[item] = true
				applyDecisions(s.Submit(now, item))
			},
			"done": func(*rapid.T) {
				if item := oldest(running); item != nil {
					finish(item)
				}
			},
			"cancel": func(t *rapid.T) {
				if item := oldest(waiting); item != nil {
					must.True(t, s.Cancel(item))
					delete(waiting, item)
				}
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			},
			"expire": func(*rapid.T) { applyDecisions(s.Expire(now)) },
		})
		for len(running)+len(waiting) > 0 {
			now = now.Add(time.Second)
			applyDecisions(s.Expire(now))
			if item := oldest(running); item != nil {
				finish(item)
			}
		}
	})
}

// TestLockHolderGetsSlotDespiteWaiters guards against a deadlock: writes that wait for the
// locks of an open transaction fill all slots while it has no statement in flight. Its next
// statement and its commit must still get a slot.
func TestLockHolderGetsSlotDespiteWaiters(t *testing.T) {
	s := New(Options{Slots: 5})
	now := epoch
	begin := &Item{Customer: "holder", Class: BeginTransaction}
	s.Submit(now, begin)
	s.Done(now, begin, TransactionOpened)
	granted := 0
	for range 10 {
		granted += len(s.Submit(now, &Item{Customer: "other", Class: Write}))
	}
	must.Eq(t, 4, granted)
	next := &Item{Customer: "holder", Class: InTransaction}
	must.Len(t, 1, s.Submit(now, next))
	must.SliceEmpty(t, s.Done(now, next, TransactionUnchanged))
	commit := &Item{Customer: "holder", Class: EndTransaction}
	must.Len(t, 1, s.Submit(now, commit))
	// Once nothing holds locks, waiting writes get every slot.
	must.Len(t, 1, s.Done(now, commit, TransactionClosed))
	must.Eq(t, 5, s.InFlight())
}

// TestClassPriority checks in which order waiting statements of the classes get the only slot.
func TestClassPriority(t *testing.T) {
	s := New(Options{Slots: 1})
	now := epoch
	running := &Item{Customer: "a", Class: Read}
	s.Submit(now, running)
	order := []*Item{
		{Customer: "b", Class: Read},
		{Customer: "b", Class: InTransaction},
		{Customer: "b", Class: EndTransaction},
		{Customer: "b", Class: Urgent},
	}
	for _, item := range order {
		must.SliceEmpty(t, s.Submit(now, item))
	}
	for i := len(order) - 1; i >= 0; i-- {
		decisions := s.Done(now, running, TransactionUnchanged)
		must.Len(t, 1, decisions)
		must.True(t, decisions[0].Item == order[i], must.Sprint(i))
		running = order[i]
	}
}

func BenchmarkSubmitDonePriorities(b *testing.B) {
	s := New(Options{Slots: 5, Priorities: true})
	now := epoch
	items := [3]*Item{}
	for i := range items {
		items[i] = &Item{Customer: "a", Class: Read, Priority: i}
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		s.Submit(now, items[i%3])
		s.Done(now, items[i%3], TransactionUnchanged)
	}
}

func BenchmarkSubmitDone(b *testing.B) {
	s := New(Options{Slots: 5})
	now := epoch
	item := &Item{Customer: "a", Class: Read}
	b.ReportAllocs()
	for b.Loop() {
		s.Submit(now, item)
		s.Done(now, item, TransactionUnchanged)
	}
}
