package wire

import (
	"context"
	"net"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"

	"crocusyoke/internal/logpos"
	"crocusyoke/internal/standin/targetd/faults"
	"crocusyoke/internal/standin/targetd/store"
	"crocusyoke/internal/target"
)

// Transaction statuses in ReadyForQuery.
const (
	statusIdle    = 'I'
	statusInBlock = 'T'
	statusFailed  = 'E'
)

// maxMessageBytes limits the size of a frontend message's body.
const maxMessageBytes = 64 << 20

// session serves one connection.
type session struct {
	ctx         context.Context
	server      *Server
	conn        net.Conn
	backend     *pgproto3.Backend
	faultConn   faults.Connection
	uncountConn func()

	pid, secret uint32
	// cancelMu guards cancel, which is nil while no statement runs.
	cancelMu sync.Mutex
	cancel   context.CancelFunc

	transaction
	extended

	// reportedPosition is the log position that was last reported to the client.
	// exchangePosition is the one that the current exchange reflects, or zero.
	reportedPosition, exchangePosition logpos.Position
}

func newSession(ctx context.Context, s *Server, conn net.Conn) *session {
	backend := pgproto3.NewBackend(conn, conn)
	backend.SetMaxBodyLen(maxMessageBytes)
	return &session{
		ctx: ctx, server: s, conn: conn, backend: backend, uncountConn: func() {},
		transaction: transaction{store: s.store, status: statusIdle},
		extended:    newExtended(),
	}
}

// end rolls back the open transaction and unregisters the session.
func (s *session) end() {
	s.server.faults.Remove(&s.faultConn)
	s.server.unregisterSession(s)
	s.transaction.rollback()
	s.uncountConn()
}

// run handles messages until the connection ends.
func (s *session) run() {
	for {
		message, err := s.backend.Receive()
		if err != nil {
			return
		}
		if err := s.server.faults.Wait(s.ctx, &s.faultConn); err != nil {
			return
		}
		if _, ok := message.(*pgproto3.Terminate); ok {
			return
		}
		if err := s.handle(message); err != nil {
			return
		}
	}
}

// handle handles one message after the startup.
func (s *session) handle(message pgproto3.FrontendMessage) error {
	if query, ok := message.(*pgproto3.Query); ok {
		if s.server.options.Echo && isEchoed(query.String) {
			return s.echoQuery(query.String)
		}
		s.handleSimpleQuery(query.String)
		return s.sendReady()
	}
	if s.server.options.Echo {
		return s.echoExtended(message)
	}
	return s.handleExtended(message)
}

// sendReady ends an exchange: it reports the log position that the exchange reflects, if it
// has changed, and sends ReadyForQuery.
func (s *session) sendReady() error {
	if !s.exchangePosition.IsZero() && s.exchangePosition != s.reportedPosition {
		s.reportedPosition = s.exchangePosition
		s.sendParameter(target.ParamPosition, s.reportedPosition.String())
	}
	s.exchangePosition = logpos.Position{}
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.status})
	return s.flush()
}

// flush writes the buffered messages once no fault stalls the connection.
func (s *session) flush() error {
	if err := s.server.faults.Wait(s.ctx, &s.faultConn); err != nil {
		return err
	}
	return s.backend.Flush()
}

func (s *session) sendError(err error) {
	s.server.counters.Errors.Add(1)
	known := store.AsError(err)
	s.backend.Send(&pgproto3.ErrorResponse{
		Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: known.SQLState, Message: known.Message,
	})
}

// statementContext returns a context that ends upon a cancel request. The caller must call
// the returned function when the statement has ended.
func (s *session) statementContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(s.ctx)
	s.setCancel(cancel)
	return ctx, func() {
		s.setCancel(nil)
		cancel()
	}
}

func (s *session) setCancel(cancel context.CancelFunc) {
	s.cancelMu.Lock()
	defer s.cancelMu.Unlock()
	s.cancel = cancel
}

func (s *session) cancelStatement() {
	s.cancelMu.Lock()
	defer s.cancelMu.Unlock()
	if s.cancel != nil {
		s.cancel()
	}
}
