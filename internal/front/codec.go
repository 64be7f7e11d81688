package front

import (
	"crocusyoke/internal/logpos"
	"crocusyoke/internal/request"
)

// Startup is how a caller introduces itself.
type Startup struct {
	// Service is the service that the caller wants to use.
	Service string
	// Key identifies its customer; empty for a caller without a key.
	Key string
}

// Codec speaks a caller's protocol on one connection. Its methods are called from one
// goroutine. What is written is sent by Flush.
type Codec interface {
	// Startup reads how the caller introduces itself. ErrProtocol: it can't be read.
	Startup() (Startup, error)
	// Next reads the next statement. io.EOF: the caller has said that it ends the session,
	// or has closed it. ErrProtocol: the rest of the connection can't be read.
	Next() (Statement, error)
	// Welcome tells that the session is open.
	Welcome()
	// Answer passes on a target's answer.
	Answer(messages []byte, tx byte, position logpos.Position)
	// Done answers a statement that was answered here.
	Done(tx byte)
	// Refuse answers a statement with a refusal.
	Refuse(refusal *request.Refusal, tx byte)
	// Reject refuses the session itself.
	Reject(refusal *request.Refusal)
	Flush() error
}
