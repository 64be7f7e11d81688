package pgfront

import (
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/shoenig/test/must"
)

// TestSkippedMessagesKeepATransactionOpen guards against a caller that holds a transaction, with its connection to the
// primary, by messages that are no statement.
func TestSkippedMessagesKeepATransactionOpen(t *testing.T) {
	for _, message := range []pgproto3.FrontendMessage{&pgproto3.Flush{}, &pgproto3.CopyData{}} {
		synctest.Test(t, func(t *testing.T) {
			s := New(Options{IdleTransactionTimeout: 20 * time.Second, StatementTimeout: 30 * time.Second})
			near, far := net.Pipe()
			c := newConn(s, near, nil)
			c.txStatus = txOpen
			body, err := message.Encode(nil)
			must.NoError(t, err)
			var caller sync.WaitGroup
			caller.Go(func() { _, _ = io.Copy(io.Discard, far) })
			caller.Go(func() {
				for range 10 {
					time.Sleep(7 * time.Second)
					_, _ = far.Write(body)
				}
			})
			began := time.Now()
			must.False(t, c.readExchange(new(exchange)))
			must.Eq(t, 20*time.Second, time.Since(began))
			must.Eq(t, 1, s.IdleInTransaction.Value())
			must.NoError(t, near.Close())
			caller.Wait()
			s.stop()
		})
	}
}
