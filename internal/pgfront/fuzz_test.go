package pgfront

import (
	"bytes"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/shoenig/test/must"

	"crocusyoke/internal/filter/auth"
	"crocusyoke/internal/filter/session"
	"crocusyoke/internal/statement"
)

// newFuzzServer returns a Server without a listener, and its fake owner.
func newFuzzServer(t testing.TB) (*Server, *fakeOwner) {
	owner := &fakeOwner{t: t, txStatuses: make(map[string]byte)}
	config := &configSource{}
	config.current.Store(testConfig())
	sessions := session.New(owner, config)
	authFilter := auth.New(sessions, config, nil)
	return New(Options{
		Node: "n", Config: config, Chain: authFilter, Auth: authFilter, Session: sessions,
		Plaintext: true, HandshakeTimeout: time.Second, MaxExchangeBytes: 1 << 16,
	}), owner
}

// scriptedConn is the server's end of a connection whose caller sends input and then closes.
// It collects what the server writes.
type scriptedConn struct {
	net.Conn
	input io.Reader
	mu    sync.Mutex
	out   []byte
}

func (s *scriptedConn) Read(p []byte) (int, error) { return s.input.Read(p) }

func (s *scriptedConn) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.out = append(s.out, p...)
	return len(p), nil
}

func (s *scriptedConn) Close() error                     { return nil }
func (s *scriptedConn) SetDeadline(time.Time) error      { return nil }
func (s *scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (s *scriptedConn) RemoteAddr() net.Addr             { return nil }
func (s *scriptedConn) SetWriteDeadline(time.Time) error { return nil }

// runScript serves a connection that receives input and returns what the server wrote. It
// fails the test if the connection does not end.
func runScript(t testing.TB, s *Server, input []byte) []byte {
	caller := &scriptedConn{input: bytes.NewReader(input)}
	s.Handle(caller)
	ended := make(chan struct{})
	go func() { s.wait.Wait(); close(ended) }()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the connection did not end")
	}
	must.Eq(t, 0, s.Open.Value())
	return caller.out
}

// startupMessages returns an encoded startup message and password message.
func startupMessages(t testing.TB, password string) []byte {
	out, err := (&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": "kirana", "database": "ledger"},
	}).Encode(nil)
	must.NoError(t, err)
	out, err = (&pgproto3.PasswordMessage{Password: password}).Encode(out)
	must.NoError(t, err)
	return out
}

// FuzzStartup feeds arbitrary bytes to a new connection. The connection must end, and without
// a valid key no request may reach the owner.
func FuzzStartup(f *testing.F) {
	f.Add(startupMessages(f, "wrong"))
	f.Add([]byte("\x00\x00\x00\x08\x04\xd2\x16\x2f"))
	f.Add([]byte("\x00\x00\x00\x10\x04\xd2\x16\x2e\x00\x00\x00\x01\x00\x00\x00\x02"))
	f.Add([]byte("\x00\x00\x00\x20\x00\x03\x00\x02user\x00a\x00options\x00-c a=b\x00\x00"))
	f.Fuzz(func(t *testing.T, input []byte) {
		s, owner := newFuzzServer(t)
		runScript(t, s, input)
		must.SliceEmpty(t, owner.received())
	})
}

// FuzzCallers feeds arbitrary bytes to an authenticated connection. The connection must end,
// the server must write whole messages only, and the owner must receive whole exchanges with
// unnamed statements only.
func FuzzCallers(f *testing.F) {
	add := func(messages ...pgproto3.FrontendMessage) {
		var out []byte
		for _, m := range messages {
			out, _ = m.Encode(out)
		}
		f.Add(out)
	}
	add(&pgproto3.Query{String: "begin"}, &pgproto3.Query{String: "select 1"}, &pgproto3.Query{String: "commit"}, &pgproto3.Terminate{})
	add(&pgproto3.Parse{Name: "a", Query: "show crocusyoke.session"}, &pgproto3.Describe{ObjectType: 'S', Name: "a"}, &pgproto3.Sync{},
		&pgproto3.Bind{PreparedStatement: "a"}, &pgproto3.Execute{}, &pgproto3.Close{ObjectType: 'S', Name: "a"}, &pgproto3.Sync{})
	add(&pgproto3.Parse{Query: "x"}, &pgproto3.Flush{}, &pgproto3.Sync{}, &pgproto3.FunctionCall{}, &pgproto3.CopyData{})
	f.Fuzz(func(t *testing.T, input []byte) {
		s, owner := newFuzzServer(t)
		out := runScript(t, s, append(startupMessages(t, testKey), input...))
		size := 0
		for rest := out; len(rest) > 0; {
			m, after, ok := statement.Next(rest)
			if !ok {
				break
			}
			size += len(m.Raw)
			rest = after
		}
		must.Eq(t, len(out), size)
		for _, req := range owner.received() {
			must.NotEq(t, "", req.Customer)
			last := req.Messages
			for rest := req.Messages; len(rest) > 0; {
				m, after, ok := statement.Next(rest)
				must.True(t, ok)
				last = m.Raw
				rest = after
			}
			must.True(t, last[0] == typeQuery || last[0] == typeSync)
		}
	})
}

// TestScriptedInputReachesOwner checks that the scripted connection of the fuzz targets works:
// requests in its input reach the owner, so that the fuzz targets test more than startup.
func TestScriptedInputReachesOwner(t *testing.T) {
	s, owner := newFuzzServer(t)
	out := runScript(t, s, append(startupMessages(t, testKey), rollbackMessage...))
	must.SliceEmpty(t, owner.received())
	must.StrContains(t, string(out), "ROLLBACK")
	s, owner = newFuzzServer(t)
	query, err := (&pgproto3.Query{String: "select 1"}).Encode(startupMessages(t, testKey))
	must.NoError(t, err)
	runScript(t, s, append(query, query[len(startupMessages(t, testKey)):]...))
	must.Len(t, 2, owner.received())
}
