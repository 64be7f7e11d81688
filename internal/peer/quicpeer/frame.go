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

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/logpos"
	"crocusyoke/internal/peer"
	"crocusyoke/internal/request"
)

// Error is the class of errors of this package.
var Error = errs.Class("peer")

// Sizes of frames, in bytes.
const (
	// MaxFrame bounds one frame; it holds a whole answer of a target.
	MaxFrame = 72 << 20
	// headerSize is the length of a frame's size.
	headerSize = 4
	// readBuffer is the buffer of one stream's reader.
	readBuffer = 4 << 10
	// firstRead is how much of a frame is allocated before its bytes have arrived.
	firstRead = 64 << 10
)

// streamKind is the first byte of a stream.
type streamKind byte

const (
	streamCall    streamKind = 1
	streamSession streamKind = 2
	streamCancel  streamKind = 3
)

// callRequest opens a control call.
type callRequest struct {
	Kind    peer.Kind       `cbor:"1,keyasint"`
	Payload cbor.RawMessage `cbor:"2,keyasint"`
}

// callReply answers it.
type callReply struct {
	Payload cbor.RawMessage `cbor:"1,keyasint,omitempty"`
	Error   string          `cbor:"2,keyasint,omitempty"`
}

// sessionContext is what seldom changes from one request of a session to the next.
type sessionContext struct {
	Session       string        `cbor:"1,keyasint"`
	Customer      string        `cbor:"2,keyasint"`
	Service       string        `cbor:"3,keyasint"`
	Group         string        `cbor:"4,keyasint"`
	Profile       fleet.Profile `cbor:"5,keyasint"`
	Weight        int           `cbor:"6,keyasint"`
	ConfigVersion uint64        `cbor:"7,keyasint"`
}

func contextOf(req *request.Request) sessionContext {
	return sessionContext{
		Session:       req.ID.Session,
		Customer:      req.Customer,
		Service:       req.Service,
		Group:         req.Group,
		Profile:       req.Profile,
		Weight:        req.Weight,
		ConfigVersion: req.ConfigVersion,
	}
}

// requestFrame goes from the entry to the owner.
type requestFrame struct {
	_ struct{} `cbor:",toarray"`
	// Context is nil if it is that of the stream's last request.
	Context        *sessionContext
	Sequence       uint64
	Kind           request.Kind
	TokenTerm      uint64
	TokenIndex     uint64
	TokenKnown     bool
	IdempotencyKey string
	Remaining      time.Duration
	Messages       []byte
	Preparation    bool
}

func frameOf(req *request.Request) requestFrame {
	return requestFrame{
		Sequence:       req.ID.Sequence,
		Kind:           req.Kind,
		TokenTerm:      req.MinPosition.Term,
		TokenIndex:     req.MinPosition.Index,
		TokenKnown:     req.MinPositionKnown,
		IdempotencyKey: req.IdempotencyKey,
		Remaining:      req.Remaining,
		Messages:       req.Messages,
		Preparation:    req.PrepareOnly,
	}
}

// request returns the request that f means within c.
func (f *requestFrame) request(c *sessionContext, now time.Time) *request.Request {
	return &request.Request{
		ID:               request.ID{Session: c.Session, Sequence: f.Sequence},
		Customer:         c.Customer,
		Service:          c.Service,
		Group:            c.Group,
		Kind:             f.Kind,
		Profile:          c.Profile,
		MinPosition:      logpos.Position{Term: f.TokenTerm, Index: f.TokenIndex},
		MinPositionKnown: f.TokenKnown,
		IdempotencyKey:   f.IdempotencyKey,
		Weight:           c.Weight,
		Deadline:         now.Add(f.Remaining),
		Remaining:        f.Remaining,
		Messages:         f.Messages,
		ConfigVersion:    c.ConfigVersion,
		PrepareOnly:      f.Preparation,
	}
}

// cancelFrame asks the owner to cancel a request that may be running. It has a stream of
// its own, so that the owner need not read a session's stream while it serves it.
type cancelFrame struct {
	_        struct{} `cbor:",toarray"`
	Session  string
	Sequence uint64
}

// answerFrame goes back. Without a Refusal it is a request.Response.
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

func answerOf(r *request.Response) answerFrame {
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

// answers reports whether f is a whole answer to the request with id.
func (f *answerFrame) answers(id request.ID) bool {
	return f.Session == id.Session && f.Sequence == id.Sequence && (f.Refusal != nil || f.TxStatus != 0)
}

func (f *answerFrame) response() *request.Response {
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

// refusalFrame is a request.Refusal on the wire.
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

func toFrame(r *request.Refusal, self string) *refusalFrame {
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

func (f *refusalFrame) refusal() *request.Refusal {
	code := request.Code{SQLState: f.SQLState, Name: f.Name, Fate: f.Fate, Retryable: f.Retry}
	r := request.Refuse(code, f.Step, f.Peer, "%s", f.Detail).WithRetryAfter(f.RetryAfter)
	if f.Cause != "" {
		r.Cause = errs.New("%s", f.Cause)
	}
	return r
}

// frames holds buffers for writeFrame.
var frames = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// keepBuffer is the largest buffer that is kept for later frames, in bytes.
const keepBuffer = 64 << 10

// writeFrame sends v as one frame in one write.
func writeFrame(w io.Writer, v any) error {
	buffer := frames.Get().(*bytes.Buffer)
	defer func() {
		if buffer.Cap() <= keepBuffer {
			frames.Put(buffer)
		}
	}()
	buffer.Reset()
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
	return &frameReader{in: bufio.NewReaderSize(r, readBuffer)}
}

// read reads one frame into v. Memory grows with the bytes that arrive, not with the
// size that the frame claims. A buffer of up to keepBuffer is kept for the next frame.
func (r *frameReader) read(v any) error {
	header, err := r.in.Peek(headerSize)
	if err != nil {
		return err
	}
	size := int(binary.BigEndian.Uint32(header))
	if size > MaxFrame {
		return Error.New("frame of %d bytes is over the limit of %d", size, MaxFrame)
	}
	_, _ = r.in.Discard(headerSize)
	body, err := r.readBody(size)
	if err != nil {
		return err
	}
	return Error.Wrap(cbor.Unmarshal(body, v))
}

func (r *frameReader) readBody(size int) ([]byte, error) {
	body := r.body[:0]
	for len(body) < size {
		start := len(body)
		part := min(size-start, max(start, firstRead))
		body = slices.Grow(body, part)[:start+part]
		if _, err := io.ReadFull(r.in, body[start:]); err != nil {
			return nil, err
		}
	}
	r.body = body
	if cap(body) > keepBuffer {
		r.body = nil
	}
	return body, nil
}

// remaining sets the time left that a request carries across nodes.
func remaining(req *request.Request, now time.Time) {
	req.Remaining = max(req.Deadline.Sub(now), 0)
}
