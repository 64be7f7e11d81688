package roster

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"crocusyoke/internal/catalog"
)

const tick = 250 * time.Millisecond

// list is the platform's list, with a roster that follows it.
type list struct {
	now         time.Time
	entries     map[string]Entry
	roster      *Roster
	synchronous bool
	version     uint64
}

func newList(names ...string) *list {
	l := &list{now: time.Unix(1000, 0), entries: map[string]Entry{}}
	l.roster = New(Options{
		IsGroup:       func(name string) bool { return name == "g" },
		IsSynchronous: func(string) bool { return l.synchronous },
	})
	for _, name := range names {
		l.write(catalog.Target{Name: name, Group: "g", Sequence: 10})
	}
	l.roster.Apply(l.now, l.entries, false)
	return l
}

func (l *list) write(t catalog.Target) {
	l.version++
	l.entries[t.Name] = Entry{Target: t, Version: l.version}
}

// remove removes entries, and applies the list.
func (l *list) remove(names ...string) {
	for _, name := range names {
		delete(l.entries, name)
	}
	l.roster.Apply(l.now, l.entries, false)
}

// advance lets time pass. The targets that answer are polled and answer, the silent ones don't.
func (l *list) advance(d time.Duration, answering, silent []string) {
	for end := l.now.Add(d); l.now.Before(end); l.now = l.now.Add(tick) {
		for _, name := range answering {
			l.roster.ObservePoll(name, l.now, true)
		}
		for _, name := range silent {
			l.roster.ObservePoll(name, l.now, false)
		}
		l.roster.Advance(l.now, false)
	}
}

// String returns the members, those that are unlisted with a question mark.
func (l *list) String() string {
	var out string
	for _, t := range l.roster.Targets() {
		out += t.Name
		if t.Unlisted {
			out += "?"
		}
	}
	return out
}

// TestTargetThatAnswersIsForgotten guards against a member that is dropped while it is cut off from the
// platform's store only: majorities were then counted without it.
func TestTargetThatAnswersIsForgotten(t *testing.T) {
	l := newList("a", "b", "c")
	l.remove("b")
	must.Eq(t, "abc", l.String())
	l.advance(2*UnlistedRetention, []string{"a", "b", "c"}, nil)
	must.Eq(t, "ab?c", l.String())
	l.write(catalog.Target{Name: "b", Group: "g", Sequence: 11})
	l.roster.Apply(l.now, l.entries, false)
	must.Eq(t, "abc", l.String())
}

func TestTargetWithoutAnEntryIsGone(t *testing.T) {
	for _, c := range []struct {
		what              string
		leaving           bool
		synchronous       bool
		answering, silent []string
		after             time.Duration
		want              string
	}{
		{"silent", false, false, nil, []string{"b"}, ListedRetention + tick, "ac"},
		{"silent, not yet due", false, false, nil, []string{"b"}, ListedRetention - tick, "abc"},
		{"leaving", true, false, []string{"b"}, nil, ListedRetention + tick, "ac"},
		{"not polled", false, false, nil, nil, UnlistedRetention - tick, "ab?c"},
		{"not polled for long", false, false, nil, nil, UnlistedRetention + tick, "ac"},
		{"silent in a synchronous group", false, true, nil, []string{"b"}, UnlistedRetention - tick, "ab?c"},
		{"silent in a synchronous group for long", false, true, nil, []string{"b"}, UnlistedRetention + tick, "ac"},
	} {
		l := newList("a", "b", "c")
		l.synchronous = c.synchronous
		if c.leaving {
			l.write(catalog.Target{Name: "b", Group: "g", Leaving: true, Sequence: 11})
			l.roster.Apply(l.now, l.entries, false)
		}
		l.remove("b")
		l.advance(c.after, c.answering, c.silent)
		must.Eq(t, c.want, l.String(), must.Sprint(c.what))
	}
}

// TestForeignEntryMovesALiveTarget guards against an entry of another writer that names a group which
// does not exist: the target that it was written under is still the one it was.
func TestForeignEntryMovesALiveTarget(t *testing.T) {
	l := newList("a", "b", "c")
	l.write(catalog.Target{Name: "b", Group: "elsewhere", Address: "odd", Sequence: 99})
	l.roster.Apply(l.now, l.entries, false)
	must.Eq(t, "abc", l.String())
	must.Eq(t, "g", l.roster.Targets()[1].Group)
	l.advance(2*ListedRetention, []string{"b"}, nil)
	must.Eq(t, "ab?c", l.String())
}

// TestOutageOfTheStoreDropsNobody checks that no target becomes unlisted while no entry can be written.
func TestOutageOfTheStoreDropsNobody(t *testing.T) {
	l := newList("a", "b")
	l.remove("a", "b")
	for range 100 {
		l.now = l.now.Add(tick)
		l.roster.ObservePoll("a", l.now, false)
		must.False(t, l.roster.Advance(l.now, true))
	}
	must.Eq(t, "ab", l.String())
}

// TestOlderEntryOfARestoredStore checks that an entry of a restored copy does not replace a newer one
// that is known, unless its writer leaves it as it is.
func TestOlderEntryOfARestoredStore(t *testing.T) {
	l := newList("a")
	l.write(catalog.Target{Name: "a", Group: "g", Address: "old", Sequence: 5})
	l.roster.Apply(l.now, l.entries, true)
	must.Eq(t, "", l.roster.Targets()[0].Address)
	l.roster.Apply(l.now, l.entries, false)
	must.Eq(t, "", l.roster.Targets()[0].Address)
	l.advance(ListedRetention+tick, []string{"a"}, nil)
	must.Eq(t, "old", l.roster.Targets()[0].Address)
	must.Eq(t, "a", l.String())
}

// TestMembersOverRandomHistories plays random changes of the list, entries of another writer, restores
// and polls. A target with a usable entry is listed. One that answers stays a member unless it was
// leaving. One without an entry gets no requests for longer than ListedRetention, and none is kept
// for good.
func TestMembersOverRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newList("a", "b", "c")
		l.synchronous = rapid.Bool().Draw(t, "synchronous")
		isAnswering := map[string]bool{"a": true, "b": true, "c": true}
		usableUntil, answeredAt := map[string]time.Time{}, map[string]time.Time{}
		// kept holds the targets that have answered every poll since they last had a usable entry, in
		// which they were not leaving.
		kept := map[string]bool{}
		for name := range isAnswering {
			usableUntil[name], kept[name] = l.now, true
		}
		for range rapid.IntRange(5, 80).Draw(t, "steps") {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1:
				l.write(catalog.Target{Name: name, Group: "g", Leaving: rapid.IntRange(0, 5).Draw(t, "leaving") == 0, Sequence: 10 + l.version})
			case 2:
				l.write(catalog.Target{Name: name, Group: "elsewhere", Sequence: 10 + l.version})
			case 3, 4:
				delete(l.entries, name)
			case 5:
				isAnswering[name] = !isAnswering[name]
			}
			l.roster.Apply(l.now, l.entries, false)
			for range rapid.IntRange(1, 30).Draw(t, "ticks") {
				l.now = l.now.Add(tick)
				for _, polled := range []string{"a", "b", "c"} {
					l.roster.ObservePoll(polled, l.now, isAnswering[polled])
					if isAnswering[polled] {
						answeredAt[polled] = l.now
					}
					if entry := l.entries[polled].Target; entry.Group == "g" {
						usableUntil[polled] = l.now
						kept[polled] = !entry.Leaving
					}
					kept[polled] = kept[polled] && isAnswering[polled]
				}
				l.roster.Advance(l.now, false)
				checkMembers(t, l, usableUntil, answeredAt, kept)
			}
		}
	})
}

// checkMembers fails the test if the roster of l breaks an invariant. usableUntil is when each target
// last had a usable entry, answeredAt when it last answered a poll. kept holds the targets that must
// be members.
func checkMembers(t *rapid.T, l *list, usableUntil, answeredAt map[string]time.Time, kept map[string]bool) {
	members := map[string]catalog.Target{}
	for _, m := range l.roster.Targets() {
		members[m.Name] = m
	}
	for _, name := range []string{"a", "b", "c"} {
		m, isMember := members[name]
		entry, listed := l.entries[name]
		missing, silent := l.now.Sub(usableUntil[name]), l.now.Sub(answeredAt[name])
		explain := func(what string) string {
			return fmt.Sprintf("%s: %s; entry %+v, member %+v, without an entry for %s, silent for %s", name, what, entry, m, missing, silent)
		}
		switch {
		case listed && entry.Target.Group == "g" && (!isMember || m.Unlisted || m.Sequence != entry.Target.Sequence):
			t.Fatal(explain("its entry is not used"))
		case missing > ListedRetention+tick && isMember && !m.Unlisted && m.Group == "g":
			t.Fatal(explain("gets requests without an entry"))
		case missing > UnlistedRetention+tick && silent > answerRetention+tick && isMember && m.Group == "g":
			t.Fatal(explain("is kept for good"))
		case kept[name] && !isMember:
			t.Fatal(explain("was dropped while it answers"))
		}
	}
}
