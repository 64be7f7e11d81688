package pgfront

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/shoenig/test/must"

	"crocusyoke/internal/filter/auth"
	"crocusyoke/internal/filter/session"
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/logpos"
	"crocusyoke/internal/request"
	"crocusyoke/internal/statement"
)

const testKey = "ledger-key-0123456789"

// configSource is a fleet.Source whose Config a test can replace.
type configSource struct{ current atomic.Pointer[fleet.Config] }

func (p *configSource) Current() *fleet.Config { return p.current.Load() }

func testConfig() *fleet.Config {
	sum := sha256.Sum256([]byte(testKey))
	return &fleet.Config{
		Version:     7,
		TokenSecret: strings.Repeat("5a", 32),
		Profiles: []fleet.Profile{
			{Name: "careful", Reads: fleet.ReadsSession, Timeout: fleet.Duration(5 * time.Second)},
			{Name: "stale", Reads: fleet.ReadsAge, MaxAge: fleet.Duration(time.Minute)},
		},
		Customers: []fleet.Customer{{
			Name: "kirana", Weight: 3,
			Keys: []fleet.Key{{ID: "k1", Hash: hex.EncodeToString(sum[:])}},
		}},
		Services: []fleet.Service{
			{Name: "ledger", Group: "g1", Profile: "careful", Customers: []string{"kirana"}},
			{Name: "rates", Group: "g1", Profile: "stale", Open: true},
			{Name: "closed", Group: "g1", Profile: "careful"},
		},
		Groups: []fleet.Group{{Name: "g1"}},
	}
}

// fakeOwner is the last handler of the chain. It answers every statement with one row "v" =
// "1", tracks the transaction status of each session, and fails the test on messages that a
// target could not answer: a Parse or Bind of a named statement, or a Bind without a Parse
// before it in the same batch.
type fakeOwner struct {
	t testing.TB

	mu         sync.Mutex
	txStatuses map[string]byte
	requests   []request.Request
	// override, if not nil, is called first. If it returns neither a response nor an error,
	// the usual answer is given.
	override func(ctx context.Context, req *request.Request) (*request.Response, error)
	ended    []string
}

func (d *fakeOwner) Serve(ctx context.Context, req *request.Request) (*request.Response, error) {
	kept := *req
	kept.Messages = append([]byte(nil), req.Messages...)
	d.mu.Lock()
	d.requests = append(d.requests, kept)
	before := d.override
	d.mu.Unlock()
	if before != nil {
		if resp, err := before(ctx, req); resp != nil || err != nil {
			return resp, err
		}
	}
	return d.answer(&kept), nil
}

func (d *fakeOwner) answer(req *request.Request) *request.Response {
	d.mu.Lock()
	defer d.mu.Unlock()
	tx := d.txStatuses[req.ID.Session]
	if tx == 0 {
		tx = txIdle
	}
	tag := "SELECT 1"
	switch req.Kind {
	case request.KindBegin, request.KindBeginRead:
		tx, tag = txOpen, "BEGIN"
	case request.KindCommit:
		tx, tag = txIdle, "COMMIT"
	case request.KindRollback:
		tx, tag = txIdle, "ROLLBACK"
	}
	d.txStatuses[req.ID.Session] = tx
	d.checkOnlyUnnamed(req.Messages)
	column := "v"
	if tag != "SELECT 1" {
		column = ""
	}
	return &request.Response{
		ID: req.ID, TxStatus: tx, Position: logpos.Position{Term: 1, Index: req.ID.Sequence},
		Messages: localAnswer{column: column, value: "1", tag: tag}.appendAnswer(nil, req.Messages, tx),
	}
}

func (d *fakeOwner) checkOnlyUnnamed(messages []byte) {
	parsed := false
	for {
		m, rest, ok := statement.Next(messages)
		if !ok {
			return
		}
		messages = rest
		switch m.Type {
		case typeParse:
			parsed = true
			must.Eq(d.t, byte(0), m.Body()[0], must.Sprint("a target received a Parse of a named statement"))
		case typeBind:
			var bind pgproto3.Bind
			must.NoError(d.t, bind.Decode(m.Body()))
			must.Eq(d.t, "", bind.PreparedStatement)
			must.True(d.t, parsed, must.Sprint("a target received a Bind without its Parse"))
		}
	}
}

func (d *fakeOwner) End(session string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.txStatuses, session)
	d.ended = append(d.ended, session)
}

func (d *fakeOwner) endedCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.ended)
}

func (d *fakeOwner) received() []request.Request {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]request.Request(nil), d.requests...)
}

func (d *fakeOwner) lastReceived() request.Request {
	all := d.received()
	return all[len(all)-1]
}

func (d *fakeOwner) setOverride(before func(ctx context.Context, req *request.Request) (*request.Response, error)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.override = before
}

// testServer is a Server on a loopback address with a fakeOwner.
type testServer struct {
	*Server
	owner   *fakeOwner
	config  *configSource
	address string
}

func newTestServer(t testing.TB, change func(*Options)) *testServer {
	f := &testServer{owner: &fakeOwner{t: t, txStatuses: make(map[string]byte)}, config: &configSource{}}
	f.config.current.Store(testConfig())
	sessions := session.New(f.owner, f.config)
	authFilter := auth.New(sessions, f.config, nil)
	options := Options{
		Node: "node-1", Config: f.config, Chain: authFilter, Auth: authFilter, Session: sessions,
		Plaintext: true, HandshakeTimeout: 2 * time.Second,
	}
	if change != nil {
		change(&options)
	}
	f.Server = New(options)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	f.address = listener.Addr().String()
	served := make(chan error, 1)
	go func() { served <- f.Serve(context.Background(), listener) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = f.Drain(ctx)
		must.NoError(t, <-served)
	})
	return f
}

func (f *testServer) url(parameters string) string {
	return "postgres://kirana:" + testKey + "@" + f.address + "/ledger?sslmode=disable" + parameters
}

func (f *testServer) connect(t testing.TB, parameters string) *pgx.Conn {
	conn, err := pgx.Connect(context.Background(), f.url(parameters))
	must.NoError(t, err)
	t.Cleanup(func() { conn.Close(context.Background()) })
	return conn
}
