package statement

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"crocusyoke/internal/budget"
	"crocusyoke/internal/request"
)

// step names this package in refusals.
const step = "statement"

// prepared is a prepared statement of a session.
type prepared struct {
	// parseMessage is the Parse message that prepares it as the unnamed statement.
	parseMessage []byte
	info         Info
}

// Statements holds the prepared statements of one session by name, the unnamed one under "".
// Targets don't keep them: an exchange that uses a statement parses it first, as another
// connection may serve the next exchange. The zero value is ready to use. A Statements is not
// safe for concurrent use.
type Statements struct {
	// Account holds the size of named and of what the current exchange parses; nil if that is not bounded
	// beyond the limits of one session.
	Account *budget.Account
	named   map[string]*prepared
	// totalBytes is the total size of the statements in named.
	totalBytes int
	decoded    decodeBuffers
	plan       Plan
}

// decodeBuffers holds decoded messages, one of each type, to reuse their memory.
type decodeBuffers struct {
	query    pgproto3.Query
	parse    pgproto3.Parse
	bind     pgproto3.Bind
	describe pgproto3.Describe
	execute  pgproto3.Execute
	close    pgproto3.Close
}

// pendingChange is the effect that a Parse or Close has on the session's statements once the
// target has confirmed it.
type pendingChange struct {
	name string
	// statement is nil for a Close.
	statement *prepared
	// noEffect is true for messages that change no statement of the session: a Parse inserted by
	// the rewrite, whose answer the caller must not see, and the Close of a portal.
	noEffect bool
}

// portal is a portal that the current exchange has bound.
type portal struct {
	name string
	info Info
}

// Plan is one exchange, classified and rewritten for a target.
type Plan struct {
	Info Info
	// Messages are the messages to send for the exchange: the caller's own if nothing was
	// rewritten.
	Messages []byte
	// SplitOffset is set if the exchange opens a transaction and then runs more statements in it, and
	// 0 otherwise. It is the offset in Messages at which the second part begins, which is sent
	// after the first part has been answered.
	SplitOffset int
	// Executes is true if the exchange runs a statement; false if it only prepares, describes
	// or closes.
	Executes bool
	// AnswerableLocally is true if the exchange can be answered without a target: it prepares,
	// describes and runs no statement.
	AnswerableLocally bool

	batch     []byte
	buffer    []byte
	rewritten bool
	// hidesAnswers is true if the answer to an inserted Parse must be hidden from the caller.
	hidesAnswers bool
	// unnamed is the target's unnamed statement after the messages so far; nil if the exchange
	// has not set it.
	unnamed *prepared
	// setting is the statement of ClassSetting that the exchange refers to. multipleSettings is
	// true if there is more than one, otherStatement if the exchange refers to a statement of
	// another class.
	setting                          *prepared
	multipleSettings, otherStatement bool
	// opensTransaction is true after the Execute of a statement that opens a transaction.
	opensTransaction bool
	// offset is the offset in batch of the current message.
	offset  int
	portals []portal
	pending []pendingChange
	// reservedBytes is the size of the statements that the exchange parses.
	reservedBytes int
}

// Plan classifies and rewrites one exchange, whose messages are in batch. The result refers to
// batch and is valid until the next call of Plan. The session's statements change only
// by Apply or ApplyAll. The error is a *StateError or a refusal.
func (s *Statements) Plan(batch []byte) (*Plan, error) {
	p := &s.plan
	p.reset(batch)
	s.settle()
	for rest := batch; len(rest) > 0; {
		p.offset = len(batch) - len(rest)
		m, after, ok := Next(rest)
		if !ok {
			return nil, request.Refuse(request.CodeProtocol, step, "", "incomplete message")
		}
		if err := s.addMessage(p, m); err != nil {
			return nil, err
		}
		rest = after
	}
	p.Messages = batch
	if p.rewritten {
		p.Messages = p.buffer
	}
	return p, p.finalizeInfo()
}

func (s *Statements) addMessage(p *Plan, m Message) error {
	decoded := &s.decoded
	p.splitAfterBegin(m)
	switch m.Type {
	case typeQuery:
		return ifDecoded(decoded.query.Decode(m.Body()), func() error { return p.addQuery(m, decoded.query.String) })
	case typeParse:
		return ifDecoded(decoded.parse.Decode(m.Body()), func() error { return s.addParse(p, m) })
	case typeBind:
		return ifDecoded(decoded.bind.Decode(m.Body()), func() error { return s.addBind(p, m) })
	case typeDescribe:
		return ifDecoded(decoded.describe.Decode(m.Body()), func() error { return s.addDescribe(p, m) })
	case typeClose:
		return ifDecoded(decoded.close.Decode(m.Body()), func() error { return s.addClose(p, m) })
	case typeExecute:
		return ifDecoded(decoded.execute.Decode(m.Body()), func() error { return s.addExecute(p, m) })
	case typeSync:
		p.copyMessage(m)
		return nil
	}
	return request.Refuse(request.CodeUnsupported, step, "", "message type %q is not supported", m.Type)
}

// ifDecoded calls next, or returns a refusal if err says that a message could not be decoded.
func ifDecoded(err error, next func() error) error {
	if err != nil {
		return request.Refuse(request.CodeProtocol, step, "", "malformed message").WithCause(err)
	}
	return next()
}

func (p *Plan) addQuery(m Message, text string) error {
	p.Info = Classify(text)
	p.Executes = true
	p.AnswerableLocally = p.Info.Class == ClassEmpty
	if p.Info.afterBegin == 0 {
		p.copyMessage(m)
		return nil
	}
	p.appendQuery(text[:p.Info.afterBegin])
	p.SplitOffset = len(p.buffer)
	p.appendQuery(text[p.Info.afterBegin:])
	return nil
}

// appendQuery appends a Query message to the rewritten exchange.
func (p *Plan) appendQuery(text string) {
	out, start := p.beginReplacement(typeQuery)
	p.buffer = patchLength(append(append(out, text...), 0), start)
}

func (s *Statements) addParse(p *Plan, m Message) error {
	name := s.decoded.parse.Name
	if name != "" && s.find(p, name) != nil {
		return duplicateStatementError(name)
	}
	rest := m.Body()[len(name)+1:]
	statement := &prepared{info: Classify(s.decoded.parse.Query), parseMessage: unnamedParse(rest)}
	if err := s.reserve(p, name, statement); err != nil {
		return err
	}
	if statement.info.Class == ClassUnsupported {
		p.Info = statement.info
	}
	p.recordReference(statement)
	if name == "" {
		p.copyMessage(m)
	} else {
		p.replaceMessage(statement.parseMessage)
	}
	p.unnamed = statement
	p.pending = append(p.pending, pendingChange{name: name, statement: statement})
	return nil
}

func unnamedParse(rest []byte) []byte {
	out, start := appendHeader(make([]byte, 0, headerLength+1+len(rest)), typeParse)
	out = append(out, 0)
	return patchLength(append(out, rest...), start)
}

func (s *Statements) addBind(p *Plan, m Message) error {
	portalName, name := s.decoded.bind.DestinationPortal, s.decoded.bind.PreparedStatement
	statement := s.find(p, name)
	if statement == nil {
		return unknownStatementError(name)
	}
	p.ensureParsed(statement)
	p.portals = append(p.portals, portal{name: portalName, info: statement.info})
	if name == "" {
		p.copyMessage(m)
		return nil
	}
	out, start := p.beginReplacement(typeBind)
	out = append(out, portalName...)
	out = append(out, 0, 0)
	values := m.Body()[len(portalName)+1+len(name)+1:]
	p.buffer = patchLength(append(out, values...), start)
	return nil
}

func (s *Statements) addDescribe(p *Plan, m Message) error {
	if s.decoded.describe.ObjectType != 'S' {
		p.AnswerableLocally = false
		p.copyMessage(m)
		return nil
	}
	name := s.decoded.describe.Name
	statement := s.find(p, name)
	if statement == nil {
		return unknownStatementError(name)
	}
	p.ensureParsed(statement)
	if name == "" {
		p.copyMessage(m)
		return nil
	}
	out, start := p.beginReplacement(typeDescribe)
	p.buffer = patchLength(append(out, 'S', 0), start)
	return nil
}

// addClose turns the Close of a named statement into one of the unnamed statement, because the
// target knows no other.
func (s *Statements) addClose(p *Plan, m Message) error {
	if s.decoded.close.ObjectType != 'S' {
		p.AnswerableLocally = false
		p.pending = append(p.pending, pendingChange{noEffect: true})
		p.copyMessage(m)
		return nil
	}
	name := s.decoded.close.Name
	p.pending = append(p.pending, pendingChange{name: name})
	p.unnamed = nil
	if name == "" {
		p.copyMessage(m)
		return nil
	}
	out, start := p.beginReplacement(typeClose)
	p.buffer = patchLength(append(out, 'S', 0), start)
	return nil
}

func (s *Statements) addExecute(p *Plan, m Message) error {
	p.Executes = true
	p.AnswerableLocally = false
	info := p.portalInfo(s.decoded.execute.Portal)
	if info.Class != ClassSetting {
		p.Info = combine(p.Info, info)
	}
	p.opensTransaction = p.opensTransaction || isBegin(info.Class)
	if info.afterBegin > 0 {
		p.Info = unsupported("several statements in one prepared statement")
	}
	p.copyMessage(m)
	return nil
}

// portalInfo returns the classification of a portal's statement. A portal that was bound in an
// earlier exchange is not known and counts as a write.
func (p *Plan) portalInfo(name string) Info {
	for i := len(p.portals) - 1; i >= 0; i-- {
		if p.portals[i].name == name {
			return p.portals[i].info
		}
	}
	return Info{Class: ClassWrite}
}

// find returns the statement called name after the exchange's Parse and Close messages so far,
// or nil if there is none.
func (s *Statements) find(p *Plan, name string) *prepared {
	for i := len(p.pending) - 1; i >= 0; i-- {
		if !p.pending[i].noEffect && p.pending[i].name == name {
			return p.pending[i].statement
		}
	}
	return s.named[name]
}
