package pgtarget_test

import (
	"net"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/shoenig/test/must"

	"crocusyoke/internal/target"
	"crocusyoke/internal/target/pgtarget"
)

// recordingTarget is a target that answers every statement with success and records it. It refuses the statement
// refused.
type recordingTarget struct {
	refused string

	mu   sync.Mutex
	seen []string
}

// dial starts the target and opens a connection to it.
func (r *recordingTarget) dial(t *testing.T) target.Conn {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(socket)
		}
	}()
	conn, err := pgtarget.New(user, password, "node-1").Dial(t.Context(), target.Login{Address: listener.Addr().String(), Database: "ledger"})
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func (r *recordingTarget) serve(socket net.Conn) {
	defer socket.Close()
	backend := pgproto3.NewBackend(socket, socket)
	if _, err := backend.ReceiveStartupMessage(); err != nil {
		return
	}
	status := byte('I')
	backend.Send(&pgproto3.AuthenticationOk{})
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	for backend.Flush() == nil {
		message, err := backend.Receive()
		if err != nil {
			return
		}
		text := ""
		switch m := message.(type) {
		case *pgproto3.Query:
			text = m.String
		case *pgproto3.Parse:
			r.record(m.Query)
			backend.Send(&pgproto3.ParseComplete{})
			continue
		case *pgproto3.Sync:
			backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
			continue
		default:
			continue
		}
		r.record(text)
		switch text {
		case "BEGIN":
			status = 'T'
		case "COMMIT":
			status = 'I'
		}
		if text == r.refused {
			backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "25001", Message: "no"})
		} else {
			backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("OK")})
		}
		backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	}
}

func (r *recordingTarget) record(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen = append(r.seen, text)
}

func (r *recordingTarget) statements() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.seen...)
}

// TestSessionStateReachesNextSession guards against state that a block, procedure or function has left on a shared
// connection and that the statements of the next session run with.
func TestSessionStateReachesNextSession(t *testing.T) {
	parse, _ := (&pgproto3.Parse{Query: "select f()"}).Encode(nil)
	extended, _ := (&pgproto3.Sync{}).Encode(parse)
	for name, play := range map[string][][]byte{
		"DO $$ begin perform set_config('a.b', 'c', false); end $$": nil,
		"CALL p()":                nil,
		"select 1; select x.f(2)": nil,
		"select f()":              {extended},
	} {
		if play == nil {
			play = [][]byte{query(name)}
		}
		r := &recordingTarget{}
		conn := r.dial(t)
		for _, messages := range append(play, query("SELECT 1"), query("SELECT 2")) {
			_, _, err := conn.Exchange(t.Context(), messages)
			must.NoError(t, err)
		}
		must.Eq(t, []string{name, "DISCARD ALL", "SELECT 1", "SELECT 2"}, r.statements())
	}
}

// TestSessionStateEndsWithItsTransaction checks that a transaction keeps the state that its own statements leave.
func TestSessionStateEndsWithItsTransaction(t *testing.T) {
	r := &recordingTarget{}
	conn := r.dial(t)
	for _, sql := range []string{"BEGIN", "CALL p()", "SELECT 1", "COMMIT", "SELECT 2"} {
		_, _, err := conn.Exchange(t.Context(), query(sql))
		must.NoError(t, err)
	}
	must.Eq(t, []string{"BEGIN", "CALL p()", "SELECT 1", "COMMIT", "DISCARD ALL", "SELECT 2"}, r.statements())
}

// TestStatementRunsWithStateOfAnother guards against a statement that is sent although the target has not discarded
// the state of another session.
func TestStatementRunsWithStateOfAnother(t *testing.T) {
	r := &recordingTarget{refused: "DISCARD ALL"}
	conn := r.dial(t)
	_, _, err := conn.Exchange(t.Context(), query("CALL p()"))
	must.NoError(t, err)
	_, sent, err := conn.Exchange(t.Context(), query("INSERT INTO t VALUES (1)"))
	must.Error(t, err)
	must.False(t, sent)
	must.Eq(t, []string{"CALL p()", "DISCARD ALL"}, r.statements())
}
