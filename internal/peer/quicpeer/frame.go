package quicpeer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"crocusyoke/internal/budget"
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/logpos"
	"crocusyoke/internal/peer"
	"crocusyoke/internal/region"
	"crocusyoke/internal/request"
)

// Error is the class of errors of this package.
var Error = errs.Class("peer")

// errNoRoom means that a frame was skipped because the node has no room for it.
var errNoRoom = Error.New("no room for the frame")

// Sizes of frames, in bytes.
const (
	// MaxFrame is the maximum size of a frame. It is large enough for a target's whole reply.
	MaxFrame = 72 << 20
	// headerSize is the size of the header, which holds the length of the frame's body.
	headerSize = 4
	// readBufferSize is the size of the read buffer of a stream.
	readBufferSize = 4 << 10
	// initialReadSize is how much is allocated for a frame before any of its body has arrived.
	initialReadSize = 64 << 10
)

// streamKind is the purpose of a stream, sent as its first byte.
type streamKind byte

const (
	streamCall    streamKind = 1
	streamSession streamKind = 2
	streamCancel  streamKind = 3
)

// callRequest is the request of a control call.
type callRequest struct {
	Kind    peer.Kind       `cbor:"1,keyasint"`
	Payload cbor.RawMessage `cbor:"2,keyasint"`
}

// callReply is the answer to a callRequest. Error is empty if the call succeeded.
type callReply struct {
	Payload cbor.RawMessage `cbor:"1,keyasint,omitempty"`
	Error   string          `cbor:"2,keyasint,omitempty"`
}

// sessionContext holds the fields that rarely change between requests of a session.
type sessionContext struct {
	Session       string        `cbor:"1,keyasint"`
	Customer      string        `cbor:"2,keyasint"`
	Service       string        `cbor:"3,keyasint"`
	Group         string        `cbor:"4,keyasint"`
	Profile       fleet.Profile `cbor:"5,keyasint"`
	Weight        int           `cbor:"6,keyasint"`
	ConfigVersion uint64        `cbor:"7,keyasint"`
	Priority      int           `cbor:"10,keyasint,omitempty"`
	HomeRegions   region.Set    `cbor:"8,keyasint,omitempty"`
	Nearby        bool          `cbor:"9,keyasint,omitempty"`
}

func newSessionContext(req *request.Request) sessionContext {
	return sessionContext{
		Session:       req.ID.Session,
		Customer:      req.Customer,
		Service:       req.Service,
		Group:         req.Group,
		Profile:       req.Profile,
		Weight:        req.Weight,
		Priority:      req.Priority,
		ConfigVersion: req.ConfigVersion,
		HomeRegions:   req.HomeRegions,
		Nearby:        req.Nearby,
	}
}

// requestFrame carries a request from the entry node to the owner. Fields are encoded by
// position.
type requestFrame struct {
	_ struct{} `cbor:",toarray"`
	// Context is nil if it is the same as that of the previous request on the stream.
	Context          *sessionContext
	Sequence         uint64
	Kind             request.Kind
	MinPositionTerm  uint64
	MinPositionIndex uint64
	MinPositionKnown bool
	IdempotencyKey   string
	Remaining        time.Duration
	Messages         []byte
	PrepareOnly      bool
}

func newRequestFrame(req *request.Request) requestFrame {
	return requestFrame{
		Sequence:         req.ID.Sequence,
		Kind:             req.Kind,
		MinPositionTerm:  req.MinPosition.Term,
		MinPositionIndex: req.MinPosition.Index,
		MinPositionKnown: req.MinPositionKnown,
		IdempotencyKey:   req.IdempotencyKey,
		Remaining:        req.Remaining,
		Messages:         req.Messages,
		PrepareOnly:      req.PrepareOnly,
	}
}

// toRequest combines f and c into a request. Its deadline is now plus
// the remaining time.
func (f *requestFrame) toRequest(c *sessionContext, now time.Time) *request.Request {
	return &request.Request{
		ID:               request.ID{Session: c.Session, Sequence: f.Sequence},
		Customer:         c.Customer,
		Service:          c.Service,
		Group:            c.Group,
		Kind:             f.Kind,
		Profile:          c.Profile,
		MinPosition:      logpos.Position{Term: f.MinPositionTerm, Index: f.MinPositionIndex},
		MinPositionKnown: f.MinPositionKnown,
		IdempotencyKey:   f.IdempotencyKey,
		Weight:           c.Weight,
		Priority:         c.Priority,
		Deadline:         now.Add(f.Remaining),
		Remaining:        f.Remaining,
		Messages:         f.Messages,
		ConfigVersion:    c.ConfigVersion,
		HomeRegions:      c.HomeRegions,
		Nearby:           c.Nearby,
		PrepareOnly:      f.PrepareOnly,
	}
}

// cancelFrame asks the owner to cancel a request that may be running. It is sent on its own
// stream, so that the owner need not read the session's stream while it serves a request.
type cancelFrame struct {
	_        struct{} `cbor:",toarray"`
	Session  string
	Sequence uint64
}

// answerFrame answers a requestFrame. It carries a refusal if Refusal is set, and a
// request.Response otherwise. Fields are encoded by position.
type answerFrame struct {
	_             struct{} `cbor:",toarray"`
	Session       string
	Sequence      uint64
	Refusal       *refusalFrame
	Messages      []byte
	TxStatus      byte
	PositionTerm  uint64
	PositionIndex uint64
	Replica       bool
	Target        string
	Repeated      bool
	// AtOwner and AtTarget are in microseconds.
	AtOwner   uint64
	AtTarget  uint64
	Exchanges int
}

func newAnswerFrame(r *request.Response) answerFrame {
	return answerFrame{
		Session:       r.ID.Session,
		Sequence:      r.ID.Sequence,
		Messages:      r.Messages,
		TxStatus:      r.TxStatus,
		PositionTerm:  r.Position.Term,
		PositionIndex: r.Position.Index,
		Replica:       r.Replica,
		Target:        r.Target,
		Repeated:      r.Repeated,
		AtOwner:       uint64(r.Times.AtOwner.Microseconds()),
		AtTarget:      uint64(r.Times.AtTarget.Microseconds()),
		Exchanges:     r.Times.Exchanges,
	}
}

// isAnswerTo reports whether f is a complete answer to the request with the given ID.
func (f *answerFrame) isAnswerTo(id request.ID) bool {
	return f.Session == id.Session && f.Sequence == id.Sequence && (f.Refusal != nil || f.TxStatus != 0)
}

func (f *answerFrame) toResponse() *request.Response {
	return &request.Response{
		ID:       request.ID{Session: f.Session, Sequence: f.Sequence},
		Messages: f.Messages,
		TxStatus: f.TxStatus,
		Position: logpos.Position{Term: f.PositionTerm, Index: f.PositionIndex},
		Replica:  f.Replica,
		Target:   f.Target,
		Repeated: f.Repeated,
		Times: request.Times{
			AtOwner:   time.Duration(f.AtOwner) * time.Microsecond,
			AtTarget:  time.Duration(f.AtTarget) * time.Microsecond,
			Exchanges: f.Exchanges,
		},
	}
}

// refusalFrame is the wire format of a request.Refusal.
type refusalFrame struct {
	SQLState string       `cbor:"1,keyasint"`
	Name     string       `cbor:"2,keyasint"`
	Fate     request.Fate `cbor:"3,keyasint"`
	Retry    bool         `cbor:"4,keyasint"`
	Step     string       `cbor:"5,keyasint"`
	Peer     string       `cbor:"6,keyasint"`
	Detail   string       `cbor:"7,keyasint"`
	Cause    string       `cbor:"8,keyasint"`
	// RetryAfter is in nanoseconds.
	RetryAfter time.Duration `cbor:"9,keyasint,omitempty"`
}

func newRefusalFrame(r *request.Refusal, self string) *refusalFrame {
	f := &refusalFrame{
		SQLState: r.Code.SQLState,
		Name:     r.Code.Name,
		Fate:     r.Code.Fate,
		Retry:    r.Code.Retryable,
		Step:     r.Step,
		Peer:     r.Peer,
		Detail:   r.Detail,

		RetryAfter: r.RetryAfter,
	}
	if f.Peer == "" {
		f.Peer = self
	}
	if r.Cause != nil {
		f.Cause = r.Cause.Error()
	}
	return f
}

func (f *refusalFrame) toRefusal() *request.Refusal {
	code := request.Code{SQLState: f.SQLState, Name: f.Name, Fate: f.Fate, Retryable: f.Retry}
	r := request.Refuse(code, f.Step, f.Peer, "%s", f.Detail).WithRetryAfter(f.RetryAfter)
	if f.Cause != "" {
		r.Cause = errs.New("%s", f.Cause)
	}
	return r
}

// frameBuffers pools the buffers of writeFrame.
var frameBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// maxRetainedBuffer is the maximum capacity, in bytes, of a buffer that is kept for reuse.
const maxRetainedBuffer = 64 << 10

// answerFrameRest is the usual size of an answerFrame without its messages, in bytes.
const answerFrameRest = 256

// writeFrame encodes v as one frame and sends it with a single Write.
func writeFrame(w io.Writer, v any) error {
	buffer := frameBuffers.Get().(*bytes.Buffer)
	defer func() {
		if buffer.Cap() <= maxRetainedBuffer {
			frameBuffers.Put(buffer)
		}
	}()
	buffer.Reset()
	if answer, ok := v.(*answerFrame); ok {
		// The buffer would otherwise grow to twice the size of a large answer.
		buffer.Grow(len(answer.Messages) + answerFrameRest)
	}
	var header [headerSize]byte
	buffer.Write(header[:])
	if err := cbor.MarshalToBuffer(v, buffer); err != nil {
		return Error.Wrap(err)
	}
	frame := buffer.Bytes()
	size := len(frame) - headerSize
	if size > MaxFrame {
		return Error.New("frame of %d bytes is over the limit of %d", size, MaxFrame)
	}
	binary.BigEndian.PutUint32(frame, uint32(size))
	_, err := w.Write(frame)
	return err
}

// frameReader reads frames from one stream.
type frameReader struct {
	in   *bufio.Reader
	body []byte
}

func newFrameReader(r io.Reader) *frameReader {
	return &frameReader{in: bufio.NewReaderSize(r, readBufferSize)}
}

// read reads one frame into v. The buffer grows as bytes arrive, so that a frame that
// announces a large size does not allocate it in advance. A buffer of up to
// maxRetainedBuffer bytes is reused for the next frame.
func (r *frameReader) read(v any) error { return r.readWithin(nil, v) }

// readWithin is read, except that account holds the size of the frame. If it has no room for it, the frame is skipped
// and the error is errNoRoom.
func (r *frameReader) readWithin(account *budget.Account, v any) error {
	header, err := r.in.Peek(headerSize)
	if err != nil {
		return err
	}
	size := int(binary.BigEndian.Uint32(header))
	if size > MaxFrame {
		return Error.New("frame of %d bytes is over the limit of %d", size, MaxFrame)
	}
	_, _ = r.in.Discard(headerSize)
	if !account.Resize(size) {
		if _, err := r.in.Discard(size); err != nil {
			return err
		}
		return errNoRoom
	}
	body, err := r.readBody(size)
	if err != nil {
		return err
	}
	return Error.Wrap(frameDecoder.Unmarshal(body, v))
}

// frameDecoder takes texts as they are: what a caller or a target has sent need not be valid UTF-8.
var frameDecoder = newFrameDecoder()

func newFrameDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func (r *frameReader) readBody(size int) ([]byte, error) {
	body := r.body[:0]
	for len(body) < size {
		start := len(body)
		chunk := min(size-start, max(start, initialReadSize))
		body = slices.Grow(body, chunk)[:start+chunk]
		if _, err := io.ReadFull(r.in, body[start:]); err != nil {
			return nil, err
		}
	}
	r.body = body
	if cap(body) > maxRetainedBuffer {
		r.body = nil
	}
	return body, nil
}

// setRemaining sets req.Remaining, which is sent to other nodes in place of the deadline, to
// the time left at now.
func setRemaining(req *request.Request, now time.Time) {
	req.Remaining = max(req.Deadline.Sub(now), 0)
}
