package pgfront

import (
	"errors"

	"crocusyoke/internal/budget"
)

// Type bytes of frontend messages.
const (
	typeQuery        = 'Q'
	typeParse        = 'P'
	typeBind         = 'B'
	typeDescribe     = 'D'
	typeExecute      = 'E'
	typeClose        = 'C'
	typeSync         = 'S'
	typeFlush        = 'H'
	typeFunctionCall = 'F'
	typeTerminate    = 'X'
	typePassword     = 'p'
	typeCopyData     = 'd'
	typeCopyDone     = 'c'
	typeCopyFail     = 'f'
)

// errTerminated means that the caller sent Terminate.
var errTerminated = errors.New("the caller terminated the connection")

// maxKeptBuffer is the largest buffer, in bytes, that a connection keeps between exchanges.
const maxKeptBuffer = 8 << 10

// exchange holds the messages of one exchange as the caller sent them: a simple query, or an
// extended query batch up to its Sync or Flush. Its buffer is reused for the next exchange.
type exchange struct {
	// messages are the whole messages, without Flush and the messages of COPY.
	messages []byte
	// last is the type of the message that ended the exchange.
	last byte
	// unsupported names a message that the proxy does not support; empty if there is none.
	unsupported string
	// err is a read or protocol error, after which the connection is closed.
	err error
}

// reset prepares e for the next exchange.
func (e *exchange) reset() {
	e.messages = e.messages[:0]
	e.unsupported = ""
	e.err = nil
}

// shrink drops a large buffer once the exchange has been served. room then holds the size of what is kept.
func (e *exchange) shrink(room *budget.Account) {
	if cap(e.messages) > maxKeptBuffer {
		e.messages = nil
	}
	room.Resize(cap(e.messages))
}

// read reads one exchange of at most limit bytes: a Query, or an extended query batch up to
// its Sync or Flush. It skips a Flush without a batch and the messages of COPY. await is called before
// each message, and told whether that may be the first one of the exchange.
func (e *exchange) read(f *messageReader, limit int, await func(isFirst bool)) {
	e.reset()
	hasBindOrExecute := false
	for {
		before := len(e.messages)
		await(before == 0)
		if f.skipsMessage(limit) {
			continue
		}
		e.messages, e.last, e.err = f.readMessage(e.messages, limit)
		if e.err != nil {
			return
		}
		switch e.last {
		case typeSync:
			return
		case typeQuery:
			if before > 0 {
				e.err = errProtocol.New("simple query within an extended query batch")
			}
			return
		case typeBind, typeExecute:
			hasBindOrExecute = true
		case typeParse, typeDescribe, typeClose:
		case typeFlush:
			e.messages = e.messages[:before]
			if hasBindOrExecute {
				e.unsupported = "Flush after Bind or Execute"
			}
			if before > 0 {
				return
			}
		case typeFunctionCall:
			e.unsupported = "FunctionCall"
			return
		case typeTerminate:
			e.err = errTerminated
			return
		default:
			e.err = errProtocol.New("unexpected message type %q", e.last)
			return
		}
	}
}
