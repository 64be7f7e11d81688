package statement

import (
	"time"

	"crocusyoke/internal/request"
)

// Limits on the prepared statements of one session.
const (
	// MaxStatements is the maximum number of prepared statements.
	MaxStatements = 2000
	// MaxStatementBytes is the maximum total size of their Parse messages and names in bytes.
	MaxStatementBytes = 2 << 20
	// statementOverhead is the size in bytes of a prepared statement without its Parse message and its name.
	statementOverhead = 256
)

// size returns the memory that the statement takes under the given name, in bytes.
func (p *prepared) size(name string) int {
	setting := &p.info.Setting
	return statementOverhead + len(name) + len(p.parseMessage) + len(setting.Name) + len(setting.Value)
}

// roomRetryAfter is when a caller may come back for whose prepared statement the node had no room.
const roomRetryAfter = time.Second

// reserve makes room for a statement that the exchange parses, or returns a refusal. What it replaces keeps its
// room until the target has confirmed the exchange.
func (s *Statements) reserve(p *Plan, name string, statement *prepared) error {
	size := statement.size(name)
	after := s.totalBytes + p.reservedBytes + size
	if former := s.named[name]; former != nil {
		after -= former.size(name)
	}
	if len(s.named)+len(p.pending) >= MaxStatements || after > MaxStatementBytes {
		return request.Refuse(request.CodeTooLarge, step, "", "too many prepared statements")
	}
	if !s.Account.Resize(s.totalBytes + p.reservedBytes + size) {
		return request.Refuse(request.CodeOverloaded, step, "", "the node has no room for more prepared statements of its sessions").
			WithRetryAfter(roomRetryAfter)
	}
	p.reservedBytes += size
	return nil
}

// EndExchange gives back what the last plan has reserved and the session does not keep, and drops what the
// plan refers to if that is large. The plan is not valid any more.
func (s *Statements) EndExchange() {
	s.settle()
	if len(s.plan.batch) > maxRetainedBuffer {
		s.decoded, s.plan = decodeBuffers{}, Plan{}
	}
}

// settle gives back what the last plan has reserved and the session does not keep.
func (s *Statements) settle() {
	s.plan.reservedBytes = 0
	s.Account.Resize(s.totalBytes)
}

// Release drops all statements. It is called when the session has ended.
func (s *Statements) Release() {
	*s = Statements{Account: s.Account}
	s.Account.Release()
}
