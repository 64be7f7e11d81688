package contain

import (
	"errors"
	"expvar"
	"strings"
	"testing"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"
)

// panics returns how many panics of step were counted so far in this process.
func panics(step string) int64 {
	if count, ok := Panics.Get(step).(*expvar.Int); ok {
		return count.Value()
	}
	return 0
}

func TestPanicBecomesError(t *testing.T) {
	before := panics("parse")
	_, err := Call("parse", func() (int, error) {
		var rows []int
		return rows[3], nil
	})
	must.True(t, Error.Has(err))
	must.StrContains(t, err.Error(), "parse: runtime error: index out of range")
	must.Eq(t, before+1, panics("parse"))
}

func TestResultsArePassedOn(t *testing.T) {
	failure := errors.New("failure")
	value, err := Call("parse", func() (int, error) { return 7, failure })
	must.Eq(t, 7, value)
	must.ErrorIs(t, err, failure)
}

func TestPanickedStepIsLogged(t *testing.T) {
	before := panics("tick")
	var out strings.Builder
	logger := log.NewLogfmtLogger(&out)
	must.False(t, Step(logger, "fine", func() {}))
	must.Eq(t, "", out.String())
	must.True(t, Step(logger, "tick", func() { panic("unexpected value") }))
	must.StrContains(t, out.String(), "step=tick")
	must.StrContains(t, out.String(), "unexpected value")
	must.Eq(t, before+1, panics("tick"))
}
