package httpclient_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/platform"
	"crocusyoke/internal/platform/httpclient"
	"crocusyoke/internal/standin/platformd"
)

func startPlatform(t *testing.T) (*platformd.Server, platform.Platform, *httptest.Server) {
	t.Helper()
	server := platformd.New(clock.Wall{})
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	return server, httpclient.New(listener.URL, nil), listener
}

func TestConditionalWrites(t *testing.T) {
	_, p, _ := startPlatform(t)
	ctx := t.Context()
	_, err := p.Get(ctx, "trust/config")
	must.True(t, platform.ErrNotFound.Has(err))
	row, err := p.Put(ctx, "trust/config", 0, []byte("a"))
	must.NoError(t, err)
	must.EqOp(t, 1, row.Version)
	_, err = p.Put(ctx, "trust/config", 0, []byte("b"))
	must.True(t, platform.ErrConflict.Has(err))
	_, err = p.Put(ctx, "bindery/config", 0, []byte("c"))
	must.NoError(t, err)
	rows, err := p.List(ctx, "trust/")
	must.NoError(t, err)
	must.Eq(t, []platform.Row{{Key: "trust/config", Version: 1, Value: []byte("a"), Era: 1}}, rows)
	must.NoError(t, p.PutObject(ctx, "trust/body", []byte{0, 1}))
	body, err := p.GetObject(ctx, "trust/body")
	must.NoError(t, err)
	must.Eq(t, []byte{0, 1}, body)
	_, err = p.GetObject(ctx, "trust/none")
	must.True(t, platform.ErrNotFound.Has(err))
}

// If the answer to a write is lost, the write must be reported as of unknown outcome and must have
// taken effect exactly once: the client must not repeat it.
func TestLostAnswerIsUnknown(t *testing.T) {
	server, p, _ := startPlatform(t)
	ctx := t.Context()
	// The HTTP transport may repeat a request on its own only on a reused connection, so open one
	// first.
	_, err := p.Put(ctx, "row", 0, []byte("a"))
	must.NoError(t, err)
	server.SetFaults(platformd.Faults{LoseCount: 1})
	_, err = p.Put(ctx, "row", 1, []byte("b"))
	must.True(t, platform.ErrOutcomeUnknown.Has(err), must.Sprint(err))
	row, err := p.Get(ctx, "row")
	must.NoError(t, err)
	must.Eq(t, platform.Row{Key: "row", Version: 2, Value: []byte("b"), Era: 1}, row)
	must.EqOp(t, 2, server.Counters().Writes)
	must.EqOp(t, 1, server.Counters().Lost)
}

// expiringContext is a context whose deadline passes when expired is closed.
type expiringContext struct {
	context.Context
	expired chan struct{}
}

func (c expiringContext) Done() <-chan struct{} { return c.expired }

func (c expiringContext) Err() error {
	select {
	case <-c.expired:
		return context.DeadlineExceeded
	default:
		return nil
	}
}

// A write that timed out may take effect later, so its outcome must be reported as unknown. The time passes
// when the platform has the call, and the platform carries it out once the caller has given up.
func TestTimedOutWriteIsUnknown(t *testing.T) {
	server := platformd.New(clock.Wall{})
	ctx, givenUp := expiringContext{t.Context(), make(chan struct{})}, make(chan struct{})
	expire := sync.OnceFunc(func() { close(ctx.expired) })
	listener := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		expire()
		<-givenUp
		server.ServeHTTP(w, r)
	}))
	defer listener.Close()
	p := httpclient.New(listener.URL, nil)
	_, err := p.Put(ctx, "row", 0, []byte("a"))
	close(givenUp)
	must.True(t, platform.ErrOutcomeUnknown.Has(err), must.Sprint(err))
	for range 1000 {
		if _, err = p.Get(t.Context(), "row"); err == nil {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("the write had no effect")
}

func TestOutageHasNoEffect(t *testing.T) {
	server, p, listener := startPlatform(t)
	ctx := t.Context()
	server.SetFaults(platformd.Faults{Outage: true})
	_, err := p.Put(ctx, "row", 0, nil)
	must.True(t, platform.ErrOutage.Has(err), must.Sprint(err))
	_, err = p.Get(ctx, "row")
	must.True(t, platform.ErrOutage.Has(err))
	server.SetFaults(platformd.Faults{Hang: true})
	shortCtx, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
	defer cancel()
	_, err = p.ListVMs(shortCtx)
	must.True(t, platform.ErrOutage.Has(err))
	server.SetFaults(platformd.Faults{})
	_, err = p.Get(ctx, "row")
	must.True(t, platform.ErrNotFound.Has(err))
	listener.Close()
	// A new client is needed: a connection that is already open could accept the write and lose the
	// answer, which would be an unknown outcome.
	fresh := httpclient.New(listener.URL, &http.Client{Transport: &http.Transport{}})
	_, err = fresh.Put(ctx, "row", 0, nil)
	must.True(t, platform.ErrOutage.Has(err), must.Sprint(err))
}

// manualClock is a clock that a test advances.
type manualClock struct {
	clock.Wall
	mu  sync.Mutex
	now time.Time
}

func (c *manualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

func TestVMListLags(t *testing.T) {
	manual := &manualClock{now: time.Unix(1000, 0)}
	server := httptest.NewServer(platformd.New(manual))
	defer server.Close()
	p, admin := httpclient.New(server.URL, nil), platformd.NewAdmin(server.URL)
	ctx := t.Context()
	vm := platform.VM{Name: "vm-1", Address: "127.0.0.1:1", Domain: "rajkot-a", State: platform.VMLive}
	must.NoError(t, admin.PutVM(ctx, vm))
	vms, err := p.ListVMs(ctx)
	must.NoError(t, err)
	must.SliceEmpty(t, vms)
	manual.advance(platformd.DefaultVMLag)
	vms, err = p.ListVMs(ctx)
	must.NoError(t, err)
	must.Eq(t, []platform.VM{vm}, vms)
	must.NoError(t, admin.DeleteVM(ctx, "vm-1"))
	vms, err = p.ListVMs(ctx)
	must.NoError(t, err)
	must.SliceLen(t, 1, vms)
	manual.advance(platformd.DefaultVMLag)
	vms, err = p.ListVMs(ctx)
	must.NoError(t, err)
	must.SliceEmpty(t, vms)
}
