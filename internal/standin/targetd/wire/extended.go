package wire

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"

	"crocusyoke/internal/standin/targetd/sqltext"
	"crocusyoke/internal/standin/targetd/store"
)

// statement is a prepared statement.
type statement struct {
	stmt sqltext.Statement
	// params holds the OIDs of the parameters' types; 0 if the type is unknown.
	params []uint32
	// columns holds the result columns, and oids their types. described is true once oids
	// has been derived from columns.
	described bool
	columns   []store.Column
	oids      []uint32
}

// portal is a prepared statement with bound arguments.
type portal struct {
	statement *statement
	args      []any
	formats   []int16
	// executed is true after the first Execute. remaining then holds the rows that have not
	// been sent because of a row limit, and tag the command tag.
	executed  bool
	remaining [][]any
	tag       string
}

// extended is a session's state in the extended query protocol.
type extended struct {
	codec      codec
	statements map[string]*statement
	portals    map[string]*portal
	// skipping is true from an error until Sync.
	skipping bool
	// pendingTag is the tag of a CommandComplete that is deferred until the next message. If
	// that is Sync, the implicit transaction is committed first.
	pendingTag string
	// echoParams is the number of parameters of the last Parse in echo mode, and echoFormat
	// the result format of the last Bind.
	echoParams int
	echoFormat int16
}

func newExtended() extended {
	return extended{
		codec:      codec{types: pgtype.NewMap()},
		statements: make(map[string]*statement),
		portals:    make(map[string]*portal),
	}
}

// resetForSimpleQuery discards the state that a simple query ends: the unnamed statement, all
// portals, and an unfinished exchange.
func (e *extended) resetForSimpleQuery() {
	e.skipping = false
	e.pendingTag = ""
	delete(e.statements, "")
	clear(e.portals)
}

// handleExtended handles a message of the extended protocol. After an error it ignores
// messages until Sync.
func (s *session) handleExtended(message pgproto3.FrontendMessage) error {
	if _, ok := message.(*pgproto3.Sync); ok {
		return s.sync()
	}
	if s.skipping {
		return nil
	}
	s.sendPendingTag()
	var err error
	switch m := message.(type) {
	case *pgproto3.Parse:
		err = s.parse(m)
	case *pgproto3.Bind:
		err = s.bind(m)
	case *pgproto3.Describe:
		err = s.describe(m)
	case *pgproto3.Execute:
		err = s.executePortal(m)
	case *pgproto3.Close:
		s.close(m)
	case *pgproto3.Flush:
		return s.flush()
	default:
		s.server.counters.MalformedConversation.Add(1)
		err = store.Errorf("0A000", "message %T is not supported", message)
	}
	if err != nil {
		s.failExtended(err)
	}
	return nil
}

// failExtended reports an error to the client, rolls back, and skips messages until Sync.
func (s *session) failExtended(err error) {
	s.markFailed()
	s.sendError(err)
	s.skipping = true
	s.pendingTag = ""
}

// sendPendingTag sends the deferred CommandComplete, if there is one.
func (s *session) sendPendingTag() {
	if s.pendingTag == "" {
		return
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(s.pendingTag)})
	s.pendingTag = ""
}

// sync ends an extended exchange. It commits the implicit transaction before it sends the
// completion of the last statement.
func (s *session) sync() error {
	if !s.skipping && s.status == statusIdle {
		if err := s.commitOpen(s.ctx); err != nil {
			s.failExtended(err)
		}
	}
	s.sendPendingTag()
	s.skipping = false
	if s.status == statusIdle {
		clear(s.portals)
	}
	return s.sendReady()
}

func (s *session) parse(m *pgproto3.Parse) error {
	s.server.seen.Add(m.Query)
	stmts := sqltext.Split(m.Query)
	if len(stmts) != 1 {
		return store.Errorf("42601", "cannot insert multiple commands into a prepared statement")
	}
	if m.Name != "" && s.statements[m.Name] != nil {
		return store.Errorf("42P05", "prepared statement %q already exists", m.Name)
	}
	prepared := &statement{stmt: stmts[0], params: stmts[0].Params}
	for i, oid := range m.ParameterOIDs {
		if i >= len(prepared.params) {
			prepared.params = append(prepared.params, 0)
		}
		if oid != 0 {
			prepared.params[i] = oid
		}
	}
	if err := s.describeColumns(prepared); err != nil {
		return err
	}
	s.statements[m.Name] = prepared
	s.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func (s *session) bind(m *pgproto3.Bind) error {
	prepared := s.statements[m.PreparedStatement]
	if prepared == nil {
		return store.Errorf("26000", "prepared statement %q does not exist", m.PreparedStatement)
	}
	if len(m.Parameters) != len(prepared.params) {
		return store.Errorf("08P01", "bind supplies %d parameters, but the statement requires %d",
			len(m.Parameters), len(prepared.params))
	}
	p := &portal{statement: prepared, formats: append([]int16(nil), m.ResultFormatCodes...)}
	for i, raw := range m.Parameters {
		s.server.seen.Add(string(raw))
		arg, err := s.codec.decodeParameter(raw, prepared.params[i], formatAt(m.ParameterFormatCodes, i))
		if err != nil {
			return err
		}
		p.args = append(p.args, arg)
	}
	s.portals[m.DestinationPortal] = p
	s.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (s *session) describe(m *pgproto3.Describe) error {
	if m.ObjectType == 'S' {
		prepared := s.statements[m.Name]
		if prepared == nil {
			return store.Errorf("26000", "prepared statement %q does not exist", m.Name)
		}
		s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: prepared.params})
		return s.sendDescription(prepared, nil)
	}
	p := s.portals[m.Name]
	if p == nil {
		return store.Errorf("34000", "portal %q does not exist", m.Name)
	}
	return s.sendDescription(p.statement, p.formats)
}

func (s *session) sendDescription(prepared *statement, formats []int16) error {
	s.resolveColumnTypes(prepared)
	if len(prepared.columns) == 0 {
		s.backend.Send(&pgproto3.NoData{})
		return nil
	}
	s.backend.Send(rowDescription(prepared.columns, prepared.oids, formats))
	return nil
}

func (s *session) executePortal(m *pgproto3.Execute) error {
	p := s.portals[m.Portal]
	if p == nil {
		return store.Errorf("34000", "portal %q does not exist", m.Portal)
	}
	if !p.executed {
		if err := s.runPortal(p); err != nil {
			return err
		}
	}
	rows := p.remaining
	suspended := m.MaxRows > 0 && len(rows) > int(m.MaxRows)
	if suspended {
		rows = rows[:m.MaxRows]
	}
	p.remaining = p.remaining[len(rows):]
	if err := s.sendRows(rows, p.statement.oids, p.formats); err != nil {
		return err
	}
	switch {
	case suspended:
		s.backend.Send(&pgproto3.PortalSuspended{})
	case p.statement.stmt.Kind == sqltext.KindEmpty:
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
	default:
		s.pendingTag = p.tag
	}
	return nil
}

func (s *session) runPortal(p *portal) error {
	o, err := s.execute(&p.statement.stmt, p.args)
	if err != nil {
		return err
	}
	p.executed = true
	p.tag = o.tag
	if o.result == nil {
		return nil
	}
	p.remaining = o.result.Rows
	if p.statement.oids == nil {
		p.statement.columns = o.result.Columns
		p.statement.oids = columnOIDs(o.result.Columns, firstRow(o.result))
	}
	return nil
}

func (s *session) close(m *pgproto3.Close) {
	if m.ObjectType == 'S' {
		delete(s.statements, m.Name)
	} else {
		delete(s.portals, m.Name)
	}
	s.backend.Send(&pgproto3.CloseComplete{})
}
