package pgfront

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestStopTellsCallersAlsoWhenItIsLate guards against a process that lacked processor time until a drain's time was
// over: it closed the connections before it had told their callers.
func TestStopTellsCallersAlsoWhenItIsLate(t *testing.T) {
	f := newTestServer(t, nil)
	open := f.connect(t, "")
	_, err := open.Begin(context.Background())
	must.NoError(t, err)
	late, cancel := context.WithDeadline(context.Background(), time.Now().Add(-time.Millisecond))
	defer cancel()
	_ = f.Drain(late)
	_, err = open.Exec(context.Background(), "update orders set v = 1")
	must.Eq(t, "57P01", sqlState(t, err))
}
