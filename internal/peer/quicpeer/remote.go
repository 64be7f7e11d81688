package quicpeer

import (
	"context"
	"time"

	"github.com/quic-go/quic-go"

	"crocusyoke/internal/request"
)

// Waits of a request at another node.
const (
	// openTimeout bounds the opening of a session's stream.
	openTimeout = 250 * time.Millisecond
	// cancelWait is how long a canceled request's answer is waited for.
	cancelWait = 300 * time.Millisecond
	// graceWait is how long after its deadline a request's answer may arrive.
	graceWait = 100 * time.Millisecond
)

const step = "peer"

// remote serves one session's requests at another node over one stream.
type remote struct {
	client  *Client
	address string
	stream  *quic.Stream
	reader  *frameReader
	// sent is the context that the stream's last request was sent with.
	sent sessionContext
}

// Serve implements request.Handler.
func (r *remote) Serve(ctx context.Context, req *request.Request) (*request.Response, error) {
	delay := r.client.delay(r.address)
	if err := r.client.pause(ctx, delay); err != nil {
		return nil, request.Refuse(request.CodeTimeout, step, r.address, "canceled on the way").WithCause(err)
	}
	if err := r.ensure(ctx); err != nil {
		return nil, request.Refuse(request.CodeNoOwner, step, r.address, "no stream to the owner").WithCause(err)
	}
	remaining(req, r.client.clock.Now())
	if err := r.send(req); err != nil {
		r.drop()
		return nil, request.Refuse(request.CodeOutcomeUnknown, step, r.address, "stream broke while sending").WithCause(err)
	}
	answer, err := r.receive(ctx, req)
	if err != nil {
		r.drop()
		return nil, request.Refuse(request.CodeOutcomeUnknown, step, r.address, "no answer from the owner").WithCause(err)
	}
	_ = r.client.pause(ctx, delay)
	if answer.Refusal != nil {
		return nil, answer.Refusal.refusal()
	}
	return answer.response(), nil
}

// send sends req, with its context if that is new to the stream.
func (r *remote) send(req *request.Request) error {
	frame := frameOf(req)
	current := contextOf(req)
	if current != r.sent {
		r.sent = current
		frame.Context = &current
	}
	return writeFrame(r.stream, &frame)
}

// receive reads the answer to req. Answers to others are dropped and counted; the
// stream is then in doubt.
func (r *remote) receive(ctx context.Context, req *request.Request) (*answerFrame, error) {
	if _, bounded := ctx.Deadline(); !bounded {
		r.stream.SetReadDeadline(req.Deadline.Add(graceWait))
	}
	canceled := make(chan struct{})
	stream := r.stream
	stop := context.AfterFunc(ctx, func() {
		defer close(canceled)
		r.cancel(stream, req.ID)
	})
	defer func() {
		if !stop() {
			<-canceled
			stream.SetReadDeadline(time.Time{})
		}
	}()
	answer := &answerFrame{}
	if err := r.reader.read(answer); err != nil {
		return nil, err
	}
	if !answer.answers(req.ID) {
		count.Add(countCrossed, 1)
		return nil, Error.New("answer to request %d in place of %d", answer.Sequence, req.ID.Sequence)
	}
	return answer, nil
}

// cancel asks the owner to cancel and bounds the wait for the answer.
func (r *remote) cancel(stream *quic.Stream, id request.ID) {
	stream.SetReadDeadline(r.client.clock.Now().Add(cancelWait))
	ctx, done := context.WithTimeout(context.Background(), cancelWait)
	defer done()
	aside, err := r.client.open(ctx, r.address, streamCancel)
	if err != nil {
		return
	}
	_ = writeFrame(aside, &cancelFrame{Session: id.Session, Sequence: id.Sequence})
	aside.Close()
	aside.CancelRead(0)
}

// ensure opens the stream if there is none.
func (r *remote) ensure(ctx context.Context) error {
	if r.stream != nil && r.stream.Context().Err() == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	stream, err := r.client.open(ctx, r.address, streamSession)
	if err != nil {
		return err
	}
	r.stream = stream
	r.reader = newFrameReader(stream)
	r.sent = sessionContext{}
	return nil
}

// drop gives up the stream; the owner ends the session.
func (r *remote) drop() {
	if r.stream == nil {
		return
	}
	r.stream.CancelRead(0)
	r.stream.CancelWrite(0)
	r.stream = nil
}

// End implements request.Handler.
func (r *remote) End(string) {
	if r.stream == nil {
		return
	}
	r.stream.Close()
	r.stream.CancelRead(0)
	r.stream = nil
}
