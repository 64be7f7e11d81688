package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// stalledReader is a writer whose reader takes nothing until it goes on.
type stalledReader struct{ goesOn chan struct{} }

func (r stalledReader) Write(p []byte) (int, error) {
	<-r.goesOn
	return len(p), nil
}

// TestStalledLogHoldsTheNode guards against a node that waits for the reader of its log: it then served
// withdrawn keys, and was killed at a stop with requests under way.
func TestStalledLogHoldsTheNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader := stalledReader{make(chan struct{})}
		logger, flush := NewLogger(reader)
		began := time.Now()
		for i := range 10000 {
			must.NoError(t, logger.Log("event", "primary", "n", i))
		}
		flush()
		must.Eq(t, flushTimeout, time.Since(began))
		close(reader.goesOn)
	})
}
