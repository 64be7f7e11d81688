package contain

import (
	"errors"
	"strings"
	"testing"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"
)

func TestPanicBecomesError(t *testing.T) {
	_, err := Call("parse", func() (int, error) {
		var rows []int
		return rows[3], nil
	})
	must.True(t, Error.Has(err))
	must.StrContains(t, err.Error(), "parse: runtime error: index out of range")
	must.Eq(t, "1", Panics.Get("parse").String())
}

func TestResultsArePassedOn(t *testing.T) {
	failure := errors.New("failure")
	value, err := Call("parse", func() (int, error) { return 7, failure })
	must.Eq(t, 7, value)
	must.ErrorIs(t, err, failure)
}

func TestPanickedStepIsLogged(t *testing.T) {
	var out strings.Builder
	logger := log.NewLogfmtLogger(&out)
	must.False(t, Step(logger, "fine", func() {}))
	must.Eq(t, "", out.String())
	must.True(t, Step(logger, "tick", func() { panic("unexpected value") }))
	must.StrContains(t, out.String(), "step=tick")
	must.StrContains(t, out.String(), "unexpected value")
	must.Eq(t, "1", Panics.Get("tick").String())
}
