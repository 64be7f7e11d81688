package quicpeer

import (
	"context"
	"sync"

	"github.com/quic-go/quic-go"

	"crocusyoke/internal/budget"
	"crocusyoke/internal/contain"
	"crocusyoke/internal/request"
)

// session serves the requests of one caller's session, one at a time, from one stream.
type session struct {
	server  *Server
	stream  *quic.Stream
	context *sessionContext
	// answer holds the size of the answer until it is sent.
	answer *budget.Account
	// stop cancels the serving of the session. ended is closed once it has ended.
	stop  context.CancelFunc
	ended chan struct{}

	mu          sync.Mutex
	last        uint64 // sequence number of the newest request
	answered    bool   // whether the newest request was answered, and not refused
	sequence    uint64 // sequence number of the running request; 0 if none
	cancel      context.CancelFunc
	earlyCancel uint64 // sequence number of a request that was canceled before it began to run
}

// serveSession serves requests until the stream ends, and then ends the session. The stream
// is not read while a request runs. The loss of the client is detected by the stream's
// context.
func (s *Server) serveSession(ctx context.Context, reader *frameReader, stream *quic.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(stream.Context(), cancel)()
	sess := &session{server: s, stream: stream, answer: s.answers.Account(), stop: cancel, ended: make(chan struct{})}
	defer s.endSession(sess)
	defer sess.answer.Release()
	ctx = budget.NewContext(ctx, sess.answer)
	for sess.serveNext(ctx, reader) {
	}
}

// endSession ends sess at the owner if it has begun. Whatever happens there, the session is no longer
// active afterwards, so that a new stream of it can be served.
func (s *Server) endSession(sess *session) {
	if sess.context == nil {
		return
	}
	contain.Step(s.Logger, "end session", func() { s.sessions.End(sess.context.Session) })
	s.unregister(sess)
	close(sess.ended)
}

// serveNext reads and serves one request. It returns false if the session must end.
func (s *session) serveNext(ctx context.Context, reader *frameReader) bool {
	var frame requestFrame
	if err := reader.read(&frame); err != nil {
		return false
	}
	if !s.updateContext(frame.Context, frame.Sequence) {
		counters.Add(counterMalformed, 1)
		return false
	}
	s.server.answering.Add(1)
	defer s.server.answering.Add(-1)
	answer, panicked := s.serve(ctx, frame.toRequest(s.context, s.server.clock.Now()))
	s.setAnswered(answer.Refusal == nil)
	if s.stream.Context().Err() != nil {
		return false
	}
	if err := writeFrame(s.stream, &answer); err != nil {
		counters.Add(counterBrokenStreams, 1)
		return false
	}
	s.answer.Release()
	return !panicked
}

// updateContext replaces the session's context unless c is nil, for the request with the given sequence number.
// It returns false if the first request on the stream has no context, if c names no session or a different one,
// since a stream carries only one session, or if the request is not the session's newest.
func (s *session) updateContext(c *sessionContext, sequence uint64) bool {
	switch {
	case c == nil && s.context == nil, c != nil && c.Session == "":
		return false
	case s.context == nil:
		s.last = sequence
		if !s.server.register(s, c.Session) {
			return false
		}
		s.context = c
		return true
	case c != nil && c.Session != s.context.Session:
		return false
	case !s.begin(sequence):
		return false
	}
	if c != nil {
		s.context = c
	}
	return true
}

// begin records sequence as that of the newest request. It returns false if a later request has come before, or
// if that request itself was answered. A refused request may be sent again.
func (s *session) begin(sequence uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sequence < s.last || sequence == s.last && s.answered {
		return false
	}
	s.last, s.answered = sequence, false
	return true
}

func (s *session) setAnswered(answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered = answered
}

// isNewerThan reports whether the session's newest request came after the one with the given sequence number.
func (s *session) isNewerThan(sequence uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last > sequence
}

// serve returns the answer to req. panicked is true if serving it panicked: the outcome of req is then
// unknown, and so is the state of the session's transaction, so the session must end.
func (s *session) serve(ctx context.Context, req *request.Request) (answer answerFrame, panicked bool) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	s.setRunning(req.ID.Sequence, cancel)
	defer s.setRunning(0, nil)
	panicked = contain.Step(s.server.Logger, "serve request", func() { answer = s.serveHere(ctx, req) })
	if panicked {
		refusal := request.Refuse(request.CodeOutcomeUnknown, refusalStep, "", "the request panicked")
		answer = s.refuse(req, refusal)
	}
	return answer, panicked
}

// serveHere returns the answer of the server's handler to req.
func (s *session) serveHere(ctx context.Context, req *request.Request) answerFrame {
	response, err := s.server.sessions.Serve(ctx, req)
	if err != nil {
		s.answer.Release()
		return s.refuse(req, request.AsRefusal(err))
	}
	return newAnswerFrame(response)
}

func (s *session) refuse(req *request.Request, refusal *request.Refusal) answerFrame {
	return answerFrame{
		Session:  req.ID.Session,
		Sequence: req.ID.Sequence,
		Refusal:  newRefusalFrame(refusal, s.server.self),
	}
}

// setRunning records the running request and the function that cancels it; 0 and nil mean none.
// If the request was canceled before it began, it is canceled at once.
func (s *session) setRunning(sequence uint64, cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence = sequence
	s.cancel = cancel
	if sequence != 0 && s.earlyCancel == sequence {
		cancel()
	}
}

// cancelRequest cancels the request with the given sequence number, now if it is running or
// as soon as it starts.
func (s *session) cancelRequest(sequence uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sequence == sequence && s.cancel != nil {
		s.cancel()
		return
	}
	s.earlyCancel = sequence
}

// serveCancel reads a cancelFrame and cancels that request of a session on another stream.
func (s *Server) serveCancel(reader *frameReader) {
	var frame cancelFrame
	if err := reader.read(&frame); err != nil {
		counters.Add(counterMalformed, 1)
		return
	}
	s.mu.Lock()
	sess := s.activeSessions[frame.Session]
	s.mu.Unlock()
	if sess != nil {
		sess.cancelRequest(frame.Sequence)
	}
}

// register makes sess available to serveCancel as the session called name. If that still has an older stream,
// register ends it, also if its client's end of it has not arrived, and waits until it has ended. It returns
// false, and does nothing, if the other stream has a newer request than sess.
func (s *Server) register(sess *session, name string) bool {
	s.mu.Lock()
	old := s.activeSessions[name]
	if old != nil && old.isNewerThan(sess.last) {
		s.mu.Unlock()
		return false
	}
	s.activeSessions[name] = sess
	s.mu.Unlock()
	if old != nil {
		old.stop()
		old.stream.CancelRead(0)
		<-old.ended
	}
	return true
}

func (s *Server) unregister(sess *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.activeSessions[sess.context.Session] == sess {
		delete(s.activeSessions, sess.context.Session)
	}
}
