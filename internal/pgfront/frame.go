package pgfront

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"

	"github.com/zeebo/errs"
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
)

// messageReader reads whole protocol messages.
type messageReader struct{ in *bufio.Reader }

func newMessageReader(r io.Reader) *messageReader {
	return &messageReader{in: bufio.NewReaderSize(r, readBufferSize)}
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
// errTooLarge if dst would grow beyond limit bytes. The error is io.EOF only if the input
// ends between two messages.
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
	start := len(dst)
	dst = grow(dst, int(length))
	_, err = io.ReadFull(f.in, dst[start:])
	return dst, kind, unexpectedEOF(err)
}

// grow extends the length of dst by n bytes, whose content is undefined.
func grow(dst []byte, n int) []byte {
	need := len(dst) + n
	if need <= cap(dst) {
		return dst[:need]
	}
	out := make([]byte, need, max(need, 2*cap(dst)))
	copy(out, dst)
	return out
}

// unexpectedEOF replaces io.EOF, which would be taken for an end between two messages, by
// io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
