package front

import (
	"strings"
	"time"

	"crocusyoke/internal/contain"
	"crocusyoke/internal/request"
)

// admit reads the startup message and logs the caller in. It reports whether the session is
// open; if not, the caller has been told why where possible.
func (s *session) admit() bool {
	_ = s.conn.SetReadDeadline(time.Now().Add(HandshakeTimeout))
	startup, err := contain.Call("read startup", s.codec.Startup)
	if err != nil {
		if contain.Error.Has(err) {
			s.logPanic(err)
		}
		if ErrProtocol.Has(err) {
			s.reject(protocolRefusal(err.Error()))
		}
		if refusal := readRefusal(err); refusal != nil {
			s.reject(refusal)
		}
		return false
	}
	_ = s.conn.SetReadDeadline(time.Time{})
	if s.server.isDraining() {
		s.reject(request.Refuse(request.CodeShutdown, step, "", "node is stopping"))
		return false
	}
	identity, err := s.server.options.Auth.LoginByKey(startup.Key, startup.Service)
	if err != nil {
		s.reject(request.AsRefusal(err))
		return false
	}
	if !s.visit.Login(identity.Customer) {
		s.reject(request.Refuse(request.CodeOverloaded, step, "", "too many sessions").WithRetryAfter(sessionRetryAfter))
		return false
	}
	// The service's name is a part of the whole message, which contains the key.
	s.service, s.customer = strings.Clone(startup.Service), identity.Customer
	s.server.options.Auth.SetIdentity(s.id, identity)
	if !s.open() {
		s.reject(request.Refuse(request.CodeShutdown, step, "", "node is stopping"))
		return false
	}
	s.in.endTurn()
	s.codec.SessionOpened()
	return s.flush() == nil
}

// sessionRetryAfter is when a caller may come back for whose session there was no room.
const sessionRetryAfter = time.Second

// open marks the session as open to its caller. It reports false if the session was told to close
// meanwhile.
func (s *session) open() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admitted = !s.closing
	s.progress.phase = phaseReading
	return s.admitted
}

func (s *session) reject(refusal *request.Refusal) {
	s.server.Refused.Add(refusal.Code.Name, 1)
	s.codec.Reject(withShortDetail(refusal))
	_ = s.flush()
}
