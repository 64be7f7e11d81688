package statement

import (
	"encoding/binary"

	"crocusyoke/internal/request"
)

// The types of frontend messages that an exchange may contain.
const (
	typeQuery    = 'Q'
	typeParse    = 'P'
	typeBind     = 'B'
	typeDescribe = 'D'
	typeExecute  = 'E'
	typeClose    = 'C'
	typeSync     = 'S'
)

// The types of backend messages that matter for a Plan.
const (
	typeParseComplete = '1'
	typeCloseComplete = '3'
	typeErrorResponse = 'E'
)

// headerLength is the size in bytes of a message's header: the type byte and the length field.
const headerLength = 5

// Message is one message of the PostgreSQL protocol in wire format.
type Message struct {
	Type byte
	// Raw is the whole message with its header.
	Raw []byte
}

// Body returns the message without its header.
func (m Message) Body() []byte { return m.Raw[headerLength:] }

// Next splits the first message off data. ok is false if data is empty or does not begin with a
// whole message. The results refer to data.
func Next(data []byte) (m Message, rest []byte, ok bool) {
	if len(data) < headerLength {
		return Message{}, nil, false
	}
	length := int64(binary.BigEndian.Uint32(data[1:headerLength])) + 1
	if length < headerLength || length > int64(len(data)) {
		return Message{}, nil, false
	}
	return Message{Type: data[0], Raw: data[:length]}, data[length:], true
}

// appendHeader appends the header of a message whose length is not known yet. start is the
// message's offset; patchLength fills in the length once the body has been appended.
func appendHeader(dst []byte, messageType byte) (out []byte, start int) {
	return append(dst, messageType, 0, 0, 0, 0), len(dst)
}

func patchLength(dst []byte, start int) []byte {
	binary.BigEndian.PutUint32(dst[start+1:], uint32(len(dst)-start-1))
	return dst
}

// KindOf returns the request kind of an exchange of the given class in a session whose
// transaction status is tx: 'I', 'T' or 'E'.
func KindOf(class Class, tx byte) request.Kind {
	if tx != 'I' {
		return kindInTransaction(class, tx)
	}
	switch class {
	case ClassRead, ClassEmpty, ClassSetting:
		return request.KindRead
	case ClassBegin:
		return request.KindBegin
	case ClassBeginRead:
		return request.KindBeginRead
	}
	return request.KindWrite
}

func kindInTransaction(class Class, tx byte) request.Kind {
	switch {
	case class == ClassRollback, class == ClassCommit && tx == 'E':
		return request.KindRollback
	case class == ClassCommit:
		return request.KindCommit
	}
	return request.KindInTransaction
}
