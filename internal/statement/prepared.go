package statement

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"crocusyoke/internal/request"
)

// Limits on what one session may keep.
const (
	// MaxStatements is the most prepared statements of one session.
	MaxStatements = 2000
	// MaxStatementBytes is the most bytes of their text together.
	MaxStatementBytes = 4 << 20
)

const step = "statement"

// prepared is one statement that a session has prepared.
type prepared struct {
	// parse is a Parse message of the statement without its name.
	parse []byte
	info  Info
}

// Statements holds the prepared statements of one session. The unnamed statement is
// the one called "".
type Statements struct {
	named map[string]*prepared
	size  int
	in    decoded
	plan  Plan
}

// decoded holds the message at hand.
type decoded struct {
	query    pgproto3.Query
	parse    pgproto3.Parse
	bind     pgproto3.Bind
	describe pgproto3.Describe
	execute  pgproto3.Execute
	close    pgproto3.Close
}

// answered is what a Parse or Close in a Plan does once the target has answered it.
type answered struct {
	name string
	// statement is nil for a Close.
	statement *prepared
	// inserted messages were not sent by the caller, who must not see their answer.
	inserted bool
}

// portal is a portal that was bound in the batch at hand.
type portal struct {
	name string
	info Info
}

// Plan is one exchange made ready for a target.
type Plan struct {
	Info Info
	// Messages is what to send. It is the caller's batch itself if nothing changed.
	Messages []byte
	// Split is the offset in Messages of what follows the opening of a transaction in the
	// same exchange, which is to be sent as an exchange of its own; 0 if nothing follows.
	Split int
	// Executes is false if the exchange only prepares, describes or closes.
	Executes bool
	// Offline is true if nothing needs a target: no statement is prepared, described
	// or run.
	Offline bool

	batch   []byte
	buffer  []byte
	changed bool
	// inserted is true if an answer must be hidden from the caller.
	inserted bool
	current  *prepared
	// setting is the statement about a session variable that the batch names, ordinary
	// is true if it names any other statement.
	setting         *prepared
	mixed, ordinary bool
	// begun is true once a statement that opens a transaction is to run.
	begun bool
	// at is the offset in batch of the message at hand.
	at      int
	portals []portal
	steps   []answered
}

// Plan classifies and rewrites one exchange: a Query, or a batch up to its Sync. The
// Plan refers to batch and is good until the next one. Nothing else changes in s until
// Apply.
func (s *Statements) Plan(batch []byte) (*Plan, error) {
	p := &s.plan
	p.reset(batch)
	for rest := batch; len(rest) > 0; {
		p.at = len(batch) - len(rest)
		m, after, ok := Next(rest)
		if !ok {
			return nil, request.Refuse(request.CodeProtocol, step, "", "incomplete message")
		}
		if err := s.add(p, m); err != nil {
			return nil, err
		}
		rest = after
	}
	p.Messages = batch
	if p.changed {
		p.Messages = p.buffer
	}
	return p, p.settle()
}

func (s *Statements) add(p *Plan, m Message) error {
	in := &s.in
	p.split(m)
	switch m.Type {
	case typeQuery:
		return first(in.query.Decode(m.Body()), func() error { return p.addQuery(m, in.query.String) })
	case typeParse:
		return first(in.parse.Decode(m.Body()), func() error { return s.addParse(p, m) })
	case typeBind:
		return first(in.bind.Decode(m.Body()), func() error { return s.addBind(p, m) })
	case typeDescribe:
		return first(in.describe.Decode(m.Body()), func() error { return s.addDescribe(p, m) })
	case typeClose:
		return first(in.close.Decode(m.Body()), func() error { return s.addClose(p, m) })
	case typeExecute:
		return first(in.execute.Decode(m.Body()), func() error { return s.addExecute(p, m) })
	case typeSync:
		p.keep(m)
		return nil
	}
	return request.Refuse(request.CodeUnsupported, step, "", "message type %q", m.Type)
}

// first runs next unless a message could not be decoded.
func first(err error, next func() error) error {
	if err != nil {
		return request.Refuse(request.CodeProtocol, step, "", "malformed message").WithCause(err)
	}
	return next()
}

func (p *Plan) addQuery(m Message, text string) error {
	p.Info = Scan(text)
	p.Executes = true
	p.Offline = p.Info.Class == ClassEmpty
	if p.Info.rest == 0 {
		p.keep(m)
		return nil
	}
	p.addText(text[:p.Info.rest])
	p.Split = len(p.buffer)
	p.addText(text[p.Info.rest:])
	return nil
}

// addText adds a Query.
func (p *Plan) addText(text string) {
	out, start := p.begin(typeQuery)
	p.buffer = finish(append(append(out, text...), 0), start)
}

func (s *Statements) addParse(p *Plan, m Message) error {
	name := s.in.parse.Name
	if name != "" && s.find(p, name) != nil {
		return duplicate(name)
	}
	rest := m.Body()[len(name)+1:]
	if err := s.room(p, len(rest)); err != nil {
		return err
	}
	statement := &prepared{info: Scan(s.in.parse.Query)}
	if statement.info.Class == ClassUnsupported {
		p.Info = statement.info
	}
	statement.parse = unnamedParse(rest)
	p.touch(statement)
	if name == "" {
		p.keep(m)
	} else {
		p.replace(statement.parse)
	}
	p.current = statement
	p.steps = append(p.steps, answered{name: name, statement: statement})
	return nil
}

func unnamedParse(rest []byte) []byte {
	out, start := appendHeader(make([]byte, 0, headerLength+1+len(rest)), typeParse)
	out = append(out, 0)
	return finish(append(out, rest...), start)
}

func (s *Statements) addBind(p *Plan, m Message) error {
	portalName, name := s.in.bind.DestinationPortal, s.in.bind.PreparedStatement
	statement := s.find(p, name)
	if statement == nil {
		return missing(name)
	}
	p.use(statement)
	p.portals = append(p.portals, portal{name: portalName, info: statement.info})
	if name == "" {
		p.keep(m)
		return nil
	}
	out, start := p.begin(typeBind)
	out = append(out, portalName...)
	out = append(out, 0, 0)
	values := m.Body()[len(portalName)+1+len(name)+1:]
	p.buffer = finish(append(out, values...), start)
	return nil
}

func (s *Statements) addDescribe(p *Plan, m Message) error {
	if s.in.describe.ObjectType != 'S' {
		p.Offline = false
		p.keep(m)
		return nil
	}
	name := s.in.describe.Name
	statement := s.find(p, name)
	if statement == nil {
		return missing(name)
	}
	p.use(statement)
	if name == "" {
		p.keep(m)
		return nil
	}
	out, start := p.begin(typeDescribe)
	p.buffer = finish(append(out, 'S', 0), start)
	return nil
}

// addClose sends the Close of any statement as one of the unnamed statement.
func (s *Statements) addClose(p *Plan, m Message) error {
	if s.in.close.ObjectType != 'S' {
		p.Offline = false
		p.steps = append(p.steps, answered{inserted: true})
		p.keep(m)
		return nil
	}
	name := s.in.close.Name
	p.steps = append(p.steps, answered{name: name})
	p.current = nil
	if name == "" {
		p.keep(m)
		return nil
	}
	out, start := p.begin(typeClose)
	p.buffer = finish(append(out, 'S', 0), start)
	return nil
}

func (s *Statements) addExecute(p *Plan, m Message) error {
	p.Executes = true
	p.Offline = false
	info := p.portalInfo(s.in.execute.Portal)
	if info.Class != ClassSetting {
		p.Info = combine(p.Info, info)
	}
	p.begun = p.begun || isBegin(info.Class)
	if info.rest > 0 {
		p.Info = unsupported("several statements in a prepared one")
	}
	p.keep(m)
	return nil
}

// portalInfo returns what is known of a portal. Nothing is known of one that was bound
// in an earlier batch.
func (p *Plan) portalInfo(name string) Info {
	for i := len(p.portals) - 1; i >= 0; i-- {
		if p.portals[i].name == name {
			return p.portals[i].info
		}
	}
	return Info{Class: ClassWrite}
}

// find returns a statement as the batch sees it so far.
func (s *Statements) find(p *Plan, name string) *prepared {
	for i := len(p.steps) - 1; i >= 0; i-- {
		if !p.steps[i].inserted && p.steps[i].name == name {
			return p.steps[i].statement
		}
	}
	return s.named[name]
}

func (s *Statements) room(p *Plan, size int) error {
	count := len(s.named) + len(p.steps)
	if count >= MaxStatements || s.size+size > MaxStatementBytes {
		return request.Refuse(request.CodeTooLarge, step, "", "too many prepared statements")
	}
	return nil
}
