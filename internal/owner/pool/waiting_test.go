package pool

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/clock"
)

// TestUrgentGetsConnectionFirst: at the limit, a connection that becomes free goes to the most urgent request that
// waits, and to the first one among equals, whatever their customers.
func TestUrgentGetsConnectionFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := &fakeServer{}
		p := New(Options{Dial: server.dial, Clock: clock.Wall{}, Limit: 1})
		defer p.Close()
		conn, err := p.Get(context.Background(), "a")
		must.NoError(t, err)
		var order []int
		for i, use := range []Use{
			{Customer: "a", Priority: 2000},
			{Customer: "b", Priority: 1000},
			{Customer: "c", Priority: 0},
			{Customer: "b", Priority: 0},
			{Customer: "a", Priority: 1000},
		} {
			go func() {
				conn, err := p.GetFor(context.Background(), use)
				must.NoError(t, err)
				order = append(order, i)
				time.Sleep(time.Millisecond)
				p.Put(conn)
			}()
			synctest.Wait()
		}
		p.Put(conn)
		time.Sleep(time.Second)
		synctest.Wait()
		must.Eq(t, []int{2, 3, 1, 4, 0}, order)
	})
}

// TestBulkGetsConnectionInTime: more urgent requests than the limit serves wait all the time, and a bulk request gets a
// connection before its time is over all the same.
func TestBulkGetsConnectionInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := &fakeServer{}
		p := New(Options{Dial: server.dial, Clock: clock.Wall{}, Limit: 1})
		defer p.Close()
		ctx, stop := context.WithCancel(context.Background())
		for i := range 4 {
			go func() {
				for ctx.Err() == nil {
					conn, err := p.GetFor(ctx, Use{Customer: fmt.Sprint("urgent", i)})
					if err != nil {
						return
					}
					time.Sleep(10 * time.Millisecond)
					p.Put(conn)
				}
			}()
		}
		time.Sleep(time.Second)
		limited, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
		defer cancel()
		conn, err := p.GetFor(limited, Use{Customer: "bulk", Priority: 1000})
		must.NoError(t, err)
		p.Put(conn)
		stop()
		synctest.Wait()
		time.Sleep(time.Second)
	})
}
