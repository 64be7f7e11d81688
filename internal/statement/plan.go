package statement

import (
	"slices"

	"crocusyoke/internal/request"
)

// Sizes in bytes.
const (
	// rewriteHeadroom is the space reserved for the messages that a rewrite adds to an exchange.
	rewriteHeadroom = 512
	// maxRetainedBuffer is the largest buffer that is reused for the next exchange.
	maxRetainedBuffer = 64 << 10
)

// StateError is an error about the session's prepared statements that PostgreSQL itself would
// report. It is found before anything is sent.
type StateError struct {
	SQLState string
	Message  string
}

// Error implements error.
func (e *StateError) Error() string { return e.Message }

func unknownStatementError(name string) error {
	return &StateError{"26000", "prepared statement \"" + name + "\" does not exist"}
}

func duplicateStatementError(name string) error {
	return &StateError{"42P05", "prepared statement \"" + name + "\" already exists"}
}

// reset prepares p for another exchange, whose messages are in batch. It reuses buffers up
// to maxRetainedBuffer.
func (p *Plan) reset(batch []byte) {
	buffer, portals, pending := p.buffer[:0], p.portals[:0], p.pending[:0]
	if cap(buffer) > maxRetainedBuffer {
		buffer = nil
	}
	clear(pending[:cap(pending)])
	*p = Plan{batch: batch, AnswerableLocally: true, buffer: buffer, portals: portals, pending: pending}
}

// ensureParsed makes statement the target's unnamed statement. If the exchange has not
// parsed it at this point, ensureParsed inserts a Parse, whose answer is hidden from the caller.
func (p *Plan) ensureParsed(statement *prepared) {
	p.recordReference(statement)
	if p.unnamed == statement {
		return
	}
	p.startRewrite()
	p.buffer = append(p.buffer, statement.parseMessage...)
	p.pending = append(p.pending, pendingChange{noEffect: true, statement: statement})
	p.hidesAnswers = true
	p.unnamed = statement
}

// recordReference records that the exchange refers to a statement, whether or not it runs it.
func (p *Plan) recordReference(statement *prepared) {
	p.AnswerableLocally = false
	if statement.info.Class != ClassSetting {
		p.otherStatement = true
		return
	}
	p.multipleSettings = p.multipleSettings || p.setting != nil && p.setting != statement
	p.setting = statement
}

// finalizeInfo sets the class of the whole exchange. It returns a refusal if the exchange is not
// supported.
func (p *Plan) finalizeInfo() error {
	if p.setting != nil && (p.multipleSettings || p.otherStatement) {
		p.Info = unsupported("a session variable together with other statements")
	} else if p.setting != nil {
		p.Info = p.setting.info
	}
	if p.Info.Class == ClassUnsupported {
		return request.Refuse(request.CodeUnsupported, step, "", "not supported: %s", p.Info.Reason)
	}
	return nil
}

// startRewrite switches from passing on the caller's exchange to building a rewritten one, which
// begins with the messages before the current one.
func (p *Plan) startRewrite() {
	if p.rewritten {
		return
	}
	p.rewritten = true
	p.buffer = slices.Grow(p.buffer, len(p.batch)+rewriteHeadroom)
	p.buffer = append(p.buffer, p.batch[:p.offset]...)
}

// copyMessage passes on m unchanged.
func (p *Plan) copyMessage(m Message) {
	if p.rewritten {
		p.buffer = append(p.buffer, m.Raw...)
	}
}

// replaceMessage sends raw in place of the current message.
func (p *Plan) replaceMessage(raw []byte) {
	p.startRewrite()
	p.buffer = append(p.buffer, raw...)
}

// splitAfterBegin ends the first part of the exchange before m if that part opens a transaction
// and m goes on in it. In the second part, the unnamed statement and the portals of the first
// count as unknown: a statement is parsed again, and running an earlier portal counts as a write.
func (p *Plan) splitAfterBegin(m Message) {
	if !p.opensTransaction || p.SplitOffset > 0 || m.Type == typeSync {
		return
	}
	p.startRewrite()
	out, start := appendHeader(p.buffer, typeSync)
	p.buffer = patchLength(out, start)
	p.SplitOffset = len(p.buffer)
	p.unnamed = nil
	p.portals = p.portals[:0]
}

// beginReplacement begins a message that is sent in place of the current one; patchLength
// completes it.
func (p *Plan) beginReplacement(messageType byte) ([]byte, int) {
	p.startRewrite()
	return appendHeader(p.buffer, messageType)
}

// Kind returns the request kind of the exchange in a session whose transaction status is tx. An
// exchange that executes nothing counts as a read.
func (p *Plan) Kind(tx byte) request.Kind {
	if !p.Executes {
		return KindOf(ClassRead, tx)
	}
	return KindOf(p.Info.Class, tx)
}

// Apply updates the session's statements by the target's answer to p: it adds those whose Parse
// succeeded and removes those whose Close did. It returns the answer without the messages that
// answer an inserted Parse, or answer itself if the plan has inserted none.
func (s *Statements) Apply(p *Plan, answer []byte) []byte {
	if len(p.pending) == 0 {
		return answer
	}
	var out []byte
	if p.hidesAnswers {
		out = make([]byte, 0, len(answer))
	}
	next := 0
	for rest := answer; len(rest) > 0; {
		m, after, ok := Next(rest)
		if !ok {
			break
		}
		rest = after
		hide := false
		if (m.Type == typeParseComplete || m.Type == typeCloseComplete) && next < len(p.pending) {
			hide = m.Type == typeParseComplete && p.pending[next].noEffect
			s.applyChange(p.pending[next])
			next++
		}
		if out != nil && !hide {
			out = append(out, m.Raw...)
		}
	}
	s.settle()
	if out == nil {
		return answer
	}
	return out
}

// ApplyAll updates the session's statements as if every Parse and Close of p had succeeded. It is
// for exchanges that are answered without a target.
func (s *Statements) ApplyAll(p *Plan) {
	for _, change := range p.pending {
		s.applyChange(change)
	}
	s.settle()
}

func (s *Statements) applyChange(change pendingChange) {
	if change.noEffect {
		return
	}
	if old := s.named[change.name]; old != nil {
		s.totalBytes -= old.size(change.name)
		delete(s.named, change.name)
	}
	if change.statement == nil {
		return
	}
	if s.named == nil {
		s.named = make(map[string]*prepared)
	}
	s.named[change.name] = change.statement
	s.totalBytes += change.statement.size(change.name)
}
