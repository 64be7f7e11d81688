package wire

import (
	"encoding/binary"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/zeebo/errs"

	"crocusyoke/internal/standin/targetd/faults"
	"crocusyoke/internal/target"
)

const (
	serverVersion = "16.0"
	// startupTimeout limits the time until the startup message has arrived, and then the time
	// of the login.
	startupTimeout          = 10 * time.Second
	stateTooManyConnections = "53300"
	stateInvalidPassword    = "28P01"
)

var errRefused = errs.New("startup was refused")

// start performs the startup, up to the first ReadyForQuery.
func (s *session) start() error {
	_ = s.conn.SetDeadline(time.Now().Add(startupTimeout))
	startup, err := s.startupMessage()
	if err != nil {
		return err
	}
	for name, value := range startup.Parameters {
		s.server.seen.Add(name + "=" + value)
	}
	if err := s.admit(startup.Parameters["application_name"]); err != nil {
		return err
	}
	_ = s.conn.SetDeadline(time.Now().Add(startupTimeout))
	if err := s.login(startup.Parameters["user"]); err != nil {
		return err
	}
	time.Sleep(s.server.options.AcceptDelay)
	if err := s.completeLogin(); err != nil {
		return err
	}
	return s.conn.SetDeadline(time.Time{})
}

// startupMessage returns the client's startup message. It declines requests for encryption.
// It executes a cancel request and then returns errRefused, which ends the connection.
func (s *session) startupMessage() (*pgproto3.StartupMessage, error) {
	for {
		message, err := s.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, err
		}
		switch m := message.(type) {
		case *pgproto3.StartupMessage:
			return m, nil
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := s.conn.Write([]byte{'N'}); err != nil {
				return nil, err
			}
		case *pgproto3.CancelRequest:
			if len(m.SecretKey) == 4 {
				s.server.cancel(m.ProcessID, binary.BigEndian.Uint32(m.SecretKey))
			}
			return nil, errRefused
		}
	}
}

// admit registers the connection for fault injection and counts it. It refuses a client's
// connection beyond the limit.
func (s *session) admit(application string) error {
	s.faultConn.Application = application
	counters := s.server.counters
	if strings.HasPrefix(application, faults.ReplicaPrefix) {
		counters.ReplicaLinks.Add(1)
		s.uncountConn = func() { counters.ReplicaLinks.Add(-1) }
		s.server.faults.Add(&s.faultConn)
		return s.server.faults.Wait(s.ctx, &s.faultConn)
	}
	// A connection that hangs from the start is not counted, as if it had never reached the
	// target.
	if err := s.server.faults.Wait(s.ctx, &s.faultConn); err != nil {
		return err
	}
	n := counters.Connections.Add(1)
	s.uncountConn = sync.OnceFunc(func() { counters.Connections.Add(-1) })
	if n > int64(s.server.options.Connections) {
		counters.RefusedConnections.Add(1)
		return s.refuse(stateTooManyConnections, "too many connections")
	}
	// A silenced connection no longer counts towards the limit, since its client abandons
	// it.
	s.faultConn.OnSilent = s.uncountConn
	s.server.faults.Add(&s.faultConn)
	return nil
}

// login asks for the password and checks the credentials.
func (s *session) login(user string) error {
	s.backend.Send(&pgproto3.AuthenticationCleartextPassword{})
	if err := s.backend.Flush(); err != nil {
		return err
	}
	if err := s.backend.SetAuthType(pgproto3.AuthTypeCleartextPassword); err != nil {
		return err
	}
	message, err := s.backend.Receive()
	if err != nil {
		return err
	}
	password, ok := message.(*pgproto3.PasswordMessage)
	if !ok {
		return s.refuse(stateInvalidPassword, "expected a password message")
	}
	s.server.seen.Add(password.Password)
	if user != s.server.options.User || password.Password != s.server.options.Password {
		s.server.counters.RefusedLogins.Add(1)
		return s.refuse(stateInvalidPassword, "wrong user or password")
	}
	return nil
}

// completeLogin registers the session and sends the messages that end the startup, including
// the target's log position.
func (s *session) completeLogin() error {
	s.server.registerSession(s)
	s.backend.Send(&pgproto3.AuthenticationOk{})
	s.sendParameter("server_version", serverVersion)
	s.sendParameter("server_encoding", "UTF8")
	s.sendParameter("client_encoding", "UTF8")
	s.sendParameter("DateStyle", "ISO, MDY")
	s.sendParameter("integer_datetimes", "on")
	s.sendParameter("standard_conforming_strings", "on")
	s.reportedPosition = s.server.store.Position()
	s.sendParameter(target.ParamPosition, s.reportedPosition.String())
	secret := binary.BigEndian.AppendUint32(nil, s.secret)
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: secret})
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: statusIdle})
	return s.flush()
}

func (s *session) sendParameter(name, value string) {
	s.backend.Send(&pgproto3.ParameterStatus{Name: name, Value: value})
}

// refuse sends a fatal error and returns errRefused.
func (s *session) refuse(state, message string) error {
	s.backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: state, Message: message})
	_ = s.backend.Flush()
	return errRefused
}
