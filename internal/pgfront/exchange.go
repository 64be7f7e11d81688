package pgfront

import "errors"

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
const maxKeptBuffer = 64 << 10

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

func (e *exchange) reset() {
	e.messages = e.messages[:0]
	if cap(e.messages) > maxKeptBuffer {
		e.messages = nil
	}
	e.unsupported = ""
	e.err = nil
}

// read reads one exchange of at most limit bytes: a Query, or an extended query batch up to
// its Sync or Flush. It skips a Flush without a batch and the messages of COPY.
func (e *exchange) read(f *messageReader, limit int) {
	e.reset()
	hasBindOrExecute := false
	for {
		before := len(e.messages)
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
		case typeCopyData, typeCopyDone, typeCopyFail:
			e.messages = e.messages[:before]
		case typeTerminate:
			e.err = errTerminated
			return
		default:
			e.err = errProtocol.New("unexpected message type %q", e.last)
			return
		}
	}
}
