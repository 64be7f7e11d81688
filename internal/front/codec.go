package front

import (
	"crocusyoke/internal/logpos"
	"crocusyoke/internal/request"
)

// Startup is the content of a caller's first message, which opens its session.
type Startup struct {
	// Service is the service that the caller wants to use.
	Service string
	// Key is the secret that identifies the caller's customer; empty for a caller without a key.
	Key string
}

// Codec implements the callers' protocol on one connection. All its methods are called from
// one goroutine. SessionOpened, Answer, Completed, Refuse and Reject only buffer their
// message; Flush sends it.
type Codec interface {
	// Startup reads the caller's first message. It returns an ErrProtocol error if the message
	// is malformed.
	Startup() (Startup, error)
	// Next reads the next statement. It returns io.EOF if the caller ended the session or closed
	// the connection, and an ErrProtocol error if nothing more can be read from the connection.
	// A well-framed statement that cannot be parsed is no error: its Verb is VerbInvalid.
	Next() (Statement, error)
	// SessionOpened tells the caller that the session is open.
	SessionOpened()
	// Answer passes on a target's answer, with tx, the session's transaction status after it
	// ('I', 'T' or 'E'), and the log position that the answer reflects.
	Answer(messages []byte, tx byte, position logpos.Position)
	// Completed reports the success of a statement that no target has to answer.
	Completed(tx byte)
	// Refuse answers a statement with a refusal. It is also the last message before the
	// connection is closed after malformed input.
	Refuse(refusal *request.Refusal, tx byte)
	// Reject refuses to open the session.
	Reject(refusal *request.Refusal)
	Flush() error
}
