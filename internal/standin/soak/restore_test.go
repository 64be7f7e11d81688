package soak

import (
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/standin/hosted"
)

// TestRestoredStoreHasNewestEntries checks that a store that is restored from a copy has the newest configuration,
// the entries of today's targets and none of a target that was replaced, under versions of the copy's history.
func TestRestoredStoreHasNewestEntries(t *testing.T) {
	store := hosted.NewStore()
	defer store.Close()
	j := newJudge()
	r := &run{judge: j, inForce: newInForce(j), store: store}
	o := DefaultOptions()
	o.LinkDelay = 0
	d, err := newDatabase(0, o, store, func(string, hosted.Statement) {})
	must.NoError(t, err)
	defer d.close()
	r.databases = []*database{d}
	r.configure(configuration{})
	r.copies.copies = []hosted.Copy{store.Copy()}
	r.configure(configuration{withoutJobs: true})
	old := d.group.Leader()
	d.removed = []string{old.ID}
	delete(d.zones, old.ID)
	store.Delete("servers", old.ID)
	r.restore(Event{})
	value, ok := store.Value("op", "config")
	must.True(t, ok)
	must.StrNotContains(t, string(value), "proofs-jobs")
	_, ok = store.Value("servers", old.ID)
	must.False(t, ok)
	for id := range d.zones {
		_, ok = store.Value("servers", id)
		must.True(t, ok, must.Sprint(id))
	}
}

// TestSettingsFileStaysWhole checks that a settings file is replaced by one that differs in one value.
func TestSettingsFileStaysWhole(t *testing.T) {
	n, err := newNode(0, "127.0.0", t.TempDir(), "", "", "")
	must.NoError(t, err)
	before, err := os.ReadFile(n.settingsPath)
	must.NoError(t, err)
	must.NoError(t, n.rewriteSettings(rand.New(rand.NewPCG(1, 1))))
	after, err := os.ReadFile(n.settingsPath)
	must.NoError(t, err)
	changed := 0
	was, is := strings.Split(string(before), "\n"), strings.Split(string(after), "\n")
	must.Len(t, len(was), is)
	for i := range was {
		if was[i] != is[i] {
			changed++
			must.StrHasPrefix(t, "max_fds = ", is[i])
		}
	}
	must.Eq(t, 1, changed)
}

// TestAbsentNodesGetNoCallers checks that new connections go to no node that is not added yet or was removed.
func TestAbsentNodesGetNoCallers(t *testing.T) {
	b := fleetOf("a-1", "a-2", "a-3", "b-1", "b-2", "c-1")
	b.nodes[0].isAbsent = true
	must.False(t, slices.Contains(b.choice("a"), b.nodes[0]))
	must.Len(t, 5, b.choice("a"))
	b = fleetOf()
	b.nodes[0].isAbsent = true
	must.Eq(t, b.nodes[1:3], b.choice("a"))
}
