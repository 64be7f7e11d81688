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

// deadlineCounter counts the read deadlines that are set on a connection.
type deadlineCounter struct {
	net.Conn
	count int
}

func (d *deadlineCounter) SetReadDeadline(t time.Time) error {
	d.count++
	return d.Conn.SetReadDeadline(t)
}

// TestStatementThatComesWholeSetsNoDeadline guards against timers for statements that need no time to arrive, and
// against one that comes in two pieces without a limit on the second.
func TestStatementThatComesWholeSetsNoDeadline(t *testing.T) {
	for pieces, deadlines := range map[int]int{1: 0, 2: 2} {
		s := New(Options{})
		near, far := net.Pipe()
		socket := &deadlineCounter{Conn: near}
		c := newConn(s, socket, nil)
		body, err := (&pgproto3.Query{String: "SELECT 1"}).Encode(nil)
		must.NoError(t, err)
		var caller sync.WaitGroup
		caller.Go(func() {
			for i := range pieces {
				_, _ = far.Write(body[i*len(body)/pieces : (i+1)*len(body)/pieces])
			}
		})
		e := new(exchange)
		must.True(t, c.readExchange(e))
		must.Eq(t, body, e.messages)
		must.Eq(t, deadlines, socket.count, must.Sprint("pieces ", pieces))
		caller.Wait()
		s.stop()
		must.NoError(t, near.Close())
	}
}
