package hosted

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestEntryTellsOfTheProcess checks that an entry says when the target started and how long it stays cold, that entries
// are numbered from each start, and that a target that does not run has none with a new number.
func TestEntryTellsOfTheProcess(t *testing.T) {
	g := NewGroup("g", "t1")
	defer g.Close()
	g.ColdStart = time.Minute
	read := func() (e struct {
		Born     int64 `json:"born"`
		ColdLeft int64 `json:"cold_left_ms"`
		Sequence int   `json:"seq"`
	},
	) {
		must.NoError(t, json.Unmarshal(g.Entry("t1", "a", "ready"), &e))
		return e
	}
	must.Zero(t, read().ColdLeft)
	first := read()
	must.Eq(t, 2, first.Sequence)
	target := g.Target("t1")
	target.Kill()
	must.Eq(t, first, read())
	began := time.Now()
	target.Restart()
	again := read()
	must.Eq(t, 1, again.Sequence)
	must.True(t, again.Born >= began.UnixMilli())
	must.Between(t, 30*1000, again.ColdLeft, 60*1000)
}
