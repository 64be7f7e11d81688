package pgfront

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"

	"github.com/zeebo/errs"

	"crocusyoke/internal/budget"
)

// Sizes in bytes.
const (
	headerLength   = 5
	readBufferSize = 4 << 10
	// maxStartupMessage bounds every message up to the password message.
	maxStartupMessage = 10_000
	minStartupMessage = 8
)

var (
	errProtocol = errs.Class("protocol")
	errTooLarge = errs.Class("too large")
	errNoRoom   = errs.Class("no room")
)

// messageReader reads whole protocol messages. room holds the size of the buffer that they are read to.
type messageReader struct {
	in   *bufio.Reader
	room *budget.Account
}

func newMessageReader(r io.Reader, room *budget.Account) *messageReader {
	return &messageReader{in: bufio.NewReaderSize(r, readBufferSize), room: room}
}

// readStartup reads a message without a type byte (StartupMessage, SSLRequest, GSSENCRequest
// or CancelRequest) and returns its body.
func (f *messageReader) readStartup() ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(f.in, head[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(head[:])
	if length < minStartupMessage || length > maxStartupMessage {
		return nil, errProtocol.New("invalid startup message length %d", length)
	}
	body := make([]byte, length-4)
	_, err := io.ReadFull(f.in, body)
	return body, unexpectedEOF(err)
}

// readMessage appends one message with its header to dst and returns its type. It fails with
// errTooLarge if dst would grow beyond limit bytes, and with errNoRoom if there is no room for it. The error is io.EOF
// only if the input ends between two messages.
func (f *messageReader) readMessage(dst []byte, limit int) (out []byte, kind byte, err error) {
	head, err := f.in.Peek(headerLength)
	if err != nil {
		if len(head) > 0 {
			err = unexpectedEOF(err)
		}
		return dst, 0, err
	}
	kind = head[0]
	length := int64(binary.BigEndian.Uint32(head[1:])) + 1
	if length < headerLength {
		return dst, kind, errProtocol.New("invalid message length %d", length)
	}
	if int64(len(dst))+length > int64(limit) {
		return dst, kind, errTooLarge.New("more than %d bytes", limit)
	}
	dst, err = f.readBytes(dst, int(length))
	return dst, kind, unexpectedEOF(err)
}

// readBytes appends n bytes to dst. The buffer grows as bytes arrive, so that a header that announces a long message
// takes no room in advance.
func (f *messageReader) readBytes(dst []byte, n int) ([]byte, error) {
	for n > 0 {
		start := len(dst)
		chunk := min(n, max(start, readBufferSize))
		grown, ok := f.grow(dst, chunk)
		if !ok {
			return dst, errNoRoom.New("the node reads and serves too many large statements")
		}
		dst = grown
		if _, err := io.ReadFull(f.in, dst[start:]); err != nil {
			return dst, err
		}
		n -= chunk
	}
	return dst, nil
}

// grow extends the length of dst by n bytes, whose content is undefined. It reports false if there is no room.
func (f *messageReader) grow(dst []byte, n int) ([]byte, bool) {
	need := len(dst) + n
	if need <= cap(dst) {
		return dst[:need], true
	}
	size := max(need, 2*cap(dst))
	if !f.room.Resize(size) {
		return dst, false
	}
	out := make([]byte, need, size)
	copy(out, dst)
	return out, true
}

// hasMessage reports whether the next message has been buffered whole.
func (f *messageReader) hasMessage() bool {
	buffered := f.in.Buffered()
	if buffered < headerLength {
		return false
	}
	head, err := f.in.Peek(headerLength)
	return err == nil && int64(binary.BigEndian.Uint32(head[1:]))+1 <= int64(buffered)
}

// skipsMessage drops the next message if it is one of COPY, and reports whether it was. Errors are left to the read
// that follows.
func (f *messageReader) skipsMessage(limit int) bool {
	head, err := f.in.Peek(headerLength)
	if err != nil {
		return false
	}
	length := int64(binary.BigEndian.Uint32(head[1:])) + 1
	switch head[0] {
	case typeCopyData, typeCopyDone, typeCopyFail:
	default:
		return false
	}
	if length < headerLength || length > int64(limit) {
		return false
	}
	_, err = io.CopyN(io.Discard, f.in, length)
	return err == nil
}

// unexpectedEOF replaces io.EOF, which would be taken for an end between two messages, by
// io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
