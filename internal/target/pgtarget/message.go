package pgtarget

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"

	"crocusyoke/internal/budget"
	"crocusyoke/internal/target/idle"
)

// Sizes and type bytes of the messages that this package interprets.
const (
	headerSize = 5
	lengthSize = 4

	kindParameterStatus = 'S'
	kindError           = 'E'
	kindReady           = 'Z'
	kindCopyIn          = 'G'
	kindCopyOut         = 'H'
	kindCopyBoth        = 'W'

	// Frontend messages to which the target answers with ReadyForQuery.
	kindQuery = 'Q'
	kindSync  = 'S'

	fieldSQLState = 'C'
)

var (
	errMalformed      = errors.New("malformed backend message")
	errReplyTooLarge  = errors.New("reply too large")
	errNoRoom         = errors.New("no room for the reply")
	errCopy           = errors.New("target started a COPY, which is not supported")
	errNotDiscarded   = errors.New("the target has not discarded the session's state")
	errNotOneExchange = errors.New("request is malformed or is not a single exchange")
)

func (c *conn) readFull(buffer []byte) error {
	_, err := io.ReadFull(c.reader, buffer)
	return err
}

// checkRequest fails unless messages are well-formed and only the last one makes the target
// send ReadyForQuery. A second ReadyForQuery would be taken for the end of the answer to the
// next exchange.
func checkRequest(messages []byte) error {
	for len(messages) >= headerSize {
		kind := messages[0]
		size := 1 + uint64(binary.BigEndian.Uint32(messages[1:]))
		if size < headerSize || size > uint64(len(messages)) {
			return errNotOneExchange
		}
		messages = messages[size:]
		endsExchange := kind == kindQuery || kind == kindSync
		if endsExchange != (len(messages) == 0) {
			return errNotOneExchange
		}
		if endsExchange {
			return nil
		}
	}
	return errNotOneExchange
}

// appendBody reads size bytes and appends them to buffer. The buffer grows as bytes arrive, so
// that a header that announces a large body does not allocate it in advance. account holds its size; if it has no
// room, the error is errNoRoom.
func (c *conn) appendBody(buffer []byte, size int, account *budget.Account) ([]byte, error) {
	for size > 0 {
		chunk := min(size, maxSizeHint)
		start := len(buffer)
		grown, ok := grow(buffer, chunk, account)
		if !ok {
			return buffer, errNoRoom
		}
		buffer = grown
		if err := c.readFull(buffer[start:]); err != nil {
			return buffer, err
		}
		size -= chunk
	}
	return buffer, nil
}

// grow returns buffer with n more bytes. It reports false if account has no room for them.
func grow(buffer []byte, n int, account *budget.Account) ([]byte, bool) {
	if cap(buffer)-len(buffer) >= n {
		return buffer[:len(buffer)+n], true
	}
	size := 2 * (len(buffer) + n)
	if !account.Resize(size) {
		return buffer, false
	}
	larger := make([]byte, len(buffer)+n, size)
	copy(larger, buffer)
	return larger, true
}

// checkIdle fails if the target has sent bytes since the last answer or has closed the
// connection.
func (c *conn) checkIdle() error {
	if c.reader.Buffered() > 0 {
		return idle.ErrUnsolicited
	}
	return c.idle.Err()
}

// parseParameterStatus returns the name and value in the body of a ParameterStatus message.
func parseParameterStatus(body []byte) (name, value []byte, ok bool) {
	name, rest, ok := bytes.Cut(body, []byte{0})
	if !ok {
		return nil, nil, false
	}
	value, _, ok = bytes.Cut(rest, []byte{0})
	return name, value, ok
}

// parseSQLState returns the SQLSTATE in the body of an ErrorResponse, or an empty string if it
// has none.
func parseSQLState(body []byte) string {
	for len(body) > 1 {
		field, rest, ok := bytes.Cut(body[1:], []byte{0})
		if !ok {
			return ""
		}
		if body[0] == fieldSQLState {
			return string(field)
		}
		body = rest
	}
	return ""
}
