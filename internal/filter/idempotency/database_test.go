package idempotency

import (
	"context"
	"errors"
	"maps"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"crocusyoke/internal/logpos"
	"crocusyoke/internal/target"
)

var errCut = errors.New("connection cut")

// record is a row of the requests table.
type record struct{ fingerprint, outcome string }

// database is a fake target with the requests table and a list of effects.
type database struct {
	records map[string]record
	effects map[string]int
	index   uint64
}

func newDatabase() *database {
	return &database{records: make(map[string]record), effects: make(map[string]int)}
}

// session is one connection to a database. Its transaction is a copy of the database.
type session struct {
	db     *database
	open   *database
	failed bool
	// cutBefore and cutAfter count the exchanges until the connection is cut, before or
	// after the exchange took effect; 0 is never.
	cutBefore, cutAfter int
	exchanges           int
	// rejectCommit makes the target refuse to commit.
	rejectCommit bool
	longAnswer   bool
}

func (s *session) Cancel(context.Context) error { return nil }
func (s *session) Close() error                 { return nil }

func (s *session) Exchange(_ context.Context, messages []byte) (target.Reply, bool, error) {
	s.exchanges++
	if s.exchanges == s.cutBefore {
		return target.Reply{}, true, errCut
	}
	reply := s.run(messages)
	if s.exchanges == s.cutAfter {
		return target.Reply{}, true, errCut
	}
	return reply, true, nil
}

func (s *session) run(messages []byte) target.Reply {
	var out []pgproto3.BackendMessage
	state, sql := "", ""
	var values [][]byte
	each(messages, func(kind byte, raw []byte) bool {
		var query pgproto3.Query
		var parse pgproto3.Parse
		var bind pgproto3.Bind
		switch kind {
		case 'Q':
			_ = query.Decode(raw[headerLength:])
			sql, values = query.String, nil
		case 'P':
			_ = parse.Decode(raw[headerLength:])
			sql = parse.Query
			return true
		case 'B':
			_ = bind.Decode(raw[headerLength:])
			values = bind.Parameters
			return true
		case 'S':
			return true
		}
		var answers []pgproto3.BackendMessage
		answers, state = s.statement(sql, values)
		out = append(out, answers...)
		return state == ""
	})
	reply := target.Reply{Code: state, TxStatus: s.status(), Position: logpos.Position{Term: 1, Index: s.db.index}}
	if state != "" {
		out = append(out, &pgproto3.ErrorResponse{Code: state})
	}
	for _, m := range append(out, &pgproto3.ReadyForQuery{TxStatus: reply.TxStatus}) {
		reply.Messages, _ = m.Encode(reply.Messages)
	}
	return reply
}

func (s *session) status() byte {
	switch {
	case s.open == nil:
		return 'I'
	case s.failed:
		return 'E'
	}
	return 'T'
}

func (s *session) statement(sql string, values [][]byte) ([]pgproto3.BackendMessage, string) {
	done := func(tag string) ([]pgproto3.BackendMessage, string) {
		return []pgproto3.BackendMessage{&pgproto3.CommandComplete{CommandTag: []byte(tag)}}, ""
	}
	switch word, rest, _ := strings.Cut(sql, " "); {
	case word == "BEGIN":
		s.open = &database{records: maps.Clone(s.db.records), effects: maps.Clone(s.db.effects)}
		return done("BEGIN")
	case word == "ROLLBACK", word == "COMMIT" && s.failed:
		s.open, s.failed = nil, false
		return done("ROLLBACK")
	case s.failed:
		return nil, "25P02"
	case word == "COMMIT" && s.rejectCommit:
		s.open = nil
		return nil, "25006"
	case word == "COMMIT":
		s.db.records, s.db.effects = s.open.records, s.open.effects
		s.db.index++
		s.open = nil
		return done("COMMIT")
	case word == "fail":
		s.failed = s.open != nil
		return nil, "23514"
	case word == "effect":
		s.open.effects[rest]++
		if s.longAnswer {
			return done("INSERT " + strings.Repeat("9", MaxOutcome))
		}
		return done("INSERT 0 1")
	}
	return s.table(sql, values, done)
}

func (s *session) table(sql string, values [][]byte, done func(string) ([]pgproto3.BackendMessage, string)) ([]pgproto3.BackendMessage, string) {
	data := s.db
	if s.open != nil {
		data = s.open
	}
	switch sql {
	case sqlInsert:
		key := string(values[0]) + "/" + string(values[1])
		if _, ok := data.records[key]; ok {
			s.failed = true
			return nil, stateUnique
		}
		data.records[key] = record{string(values[2]), string(values[3])}
		return done("INSERT 0 1")
	case sqlUpdate:
		key := string(values[1]) + "/" + string(values[2])
		data.records[key] = record{data.records[key].fingerprint, string(values[0])}
		return done("UPDATE 1")
	case sqlSelect:
		found := data.records[string(values[0])+"/"+string(values[1])]
		answers, _ := done("SELECT 1")
		row := &pgproto3.DataRow{Values: [][]byte{[]byte(found.fingerprint), []byte(found.outcome)}}
		return append([]pgproto3.BackendMessage{row}, answers...), ""
	}
	return nil, "42601"
}
