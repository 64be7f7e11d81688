package quicpeer

import (
	"context"
	"errors"
	"time"

	"github.com/quic-go/quic-go"

	"crocusyoke/internal/budget"
	"crocusyoke/internal/contain"
	"crocusyoke/internal/request"
)

// Timeouts of a request to another node.
const (
	// openTimeout is the timeout for opening a session's stream.
	openTimeout = 250 * time.Millisecond
	// cancelTimeout is how long the client waits for the answer to a canceled request.
	cancelTimeout = 300 * time.Millisecond
	// answerGrace is how long after the request's deadline the client waits for the answer.
	answerGrace = 100 * time.Millisecond
	// answerRetryAfter is when a caller may come back for whose answer the node had no room.
	answerRetryAfter = 250 * time.Millisecond
)

const refusalStep = "peer"

// remoteHandler sends one session's requests to another node over one stream. It is a
// request.Handler.
type remoteHandler struct {
	client  *Client
	address string
	stream  *quic.Stream
	reader  *frameReader
	// sentContext is the context that was last sent on the stream.
	sentContext sessionContext
}

// Serve implements request.Handler.
func (r *remoteHandler) Serve(ctx context.Context, req *request.Request) (*request.Response, error) {
	delay := r.client.delay(r.address)
	if err := r.client.sleep(ctx, delay); err != nil {
		return nil, request.Refuse(request.CodeTimeout, refusalStep, r.address, "canceled before the request was sent").WithCause(err)
	}
	if err := r.ensureStream(ctx); err != nil {
		return nil, request.Refuse(request.CodeNoOwner, refusalStep, r.address, "no stream to the owner").WithCause(err)
	}
	setRemaining(req, r.client.clock.Now())
	if err := r.send(req); err != nil {
		r.abortStream()
		return nil, request.Refuse(request.CodeOutcomeUnknown, refusalStep, r.address, "stream broke while sending").WithCause(err)
	}
	answer, err := r.receive(ctx, req)
	if errors.Is(err, errNoRoom) {
		return nil, r.refuseAnswer(req.Kind)
	}
	if err != nil {
		r.abortStream()
		return nil, request.Refuse(request.CodeOutcomeUnknown, refusalStep, r.address, "no answer from the owner").WithCause(err)
	}
	_ = r.client.sleep(ctx, delay)
	if answer.Refusal != nil {
		return nil, answer.Refusal.toRefusal()
	}
	return answer.toResponse(), nil
}

// refuseAnswer returns the refusal of a request for whose answer there is no room. Of a read outside a transaction
// nothing is kept, unless reads have effects.
func (r *remoteHandler) refuseAnswer(kind request.Kind) *request.Refusal {
	if kind == request.KindRead && !r.client.ReadsHaveEffects {
		return request.Refuse(request.CodeOverloaded, refusalStep, r.address, "the node holds too many large answers").
			WithRetryAfter(answerRetryAfter)
	}
	return request.Refuse(request.CodeOutcomeUnknown, refusalStep, r.address, "the node had no room for the answer")
}

// send sends req. It includes the session's context if that has changed since it was last
// sent on the stream.
func (r *remoteHandler) send(req *request.Request) error {
	frame := newRequestFrame(req)
	current := newSessionContext(req)
	if current != r.sentContext {
		r.sentContext = current
		frame.Context = &current
	}
	return writeFrame(r.stream, &frame)
}

// receive reads the answer to req. An answer to another request is counted and returned as an
// error. After any error other than errNoRoom the caller must abort the stream.
func (r *remoteHandler) receive(ctx context.Context, req *request.Request) (*answerFrame, error) {
	if _, hasDeadline := ctx.Deadline(); !hasDeadline {
		r.stream.SetReadDeadline(req.Deadline.Add(answerGrace))
	}
	cancelDone := make(chan struct{})
	stream := r.stream
	stop := context.AfterFunc(ctx, func() {
		defer close(cancelDone)
		contain.Step(r.client.Logger, "cancel request", func() { r.sendCancel(stream, req.ID) })
	})
	defer func() {
		if !stop() {
			<-cancelDone
			stream.SetReadDeadline(time.Time{})
		}
	}()
	answer := &answerFrame{}
	if err := r.reader.readWithin(budget.FromContext(ctx), answer); err != nil {
		return nil, err
	}
	if !answer.isAnswerTo(req.ID) {
		counters.Add(counterCrossedAnswers, 1)
		return nil, Error.New("received the answer to request %d while waiting for %d", answer.Sequence, req.ID.Sequence)
	}
	return answer, nil
}

// sendCancel asks the owner to cancel the request, and limits the wait for the answer on stream
// to cancelTimeout.
func (r *remoteHandler) sendCancel(stream *quic.Stream, id request.ID) {
	stream.SetReadDeadline(r.client.clock.Now().Add(cancelTimeout))
	ctx, done := context.WithTimeout(context.Background(), cancelTimeout)
	defer done()
	cancelStream, err := r.client.openStream(ctx, linkKey{r.address, useSessions}, streamCancel)
	if err != nil {
		return
	}
	_ = writeFrame(cancelStream, &cancelFrame{Session: id.Session, Sequence: id.Sequence})
	cancelStream.Close()
	cancelStream.CancelRead(0)
}

// ensureStream opens a stream if there is none or if the last one has ended.
func (r *remoteHandler) ensureStream(ctx context.Context) error {
	if r.stream != nil && r.stream.Context().Err() == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	stream, err := r.client.openStream(ctx, linkKey{r.address, useSessions}, streamSession)
	if err != nil {
		return err
	}
	r.stream = stream
	r.reader = newFrameReader(stream)
	r.sentContext = sessionContext{}
	return nil
}

// abortStream resets the stream, upon which the owner ends the session.
func (r *remoteHandler) abortStream() {
	if r.stream == nil {
		return
	}
	r.stream.CancelRead(0)
	r.stream.CancelWrite(0)
	r.stream = nil
}

// End implements request.Handler.
func (r *remoteHandler) End(string) {
	if r.stream == nil {
		return
	}
	r.stream.Close()
	r.stream.CancelRead(0)
	r.stream = nil
}
