package pool

import (
	"context"
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
