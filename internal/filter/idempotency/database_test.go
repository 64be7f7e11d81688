package idempotency

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"crocusyoke/internal/logpos"
	"crocusyoke/internal/target"
)

var errCut = errors.New("connection cut")

// record is a row of the requests table.
type record struct{ fingerprint, outcome string }

// fakeDatabase is a target that holds the requests table and counts effects by name.
type fakeDatabase struct {
	records map[string]record
	effects map[string]int
	index   uint64
}

func newFakeDatabase() *fakeDatabase {
	return &fakeDatabase{records: make(map[string]record), effects: make(map[string]int)}
}

// fakeConn is one connection to a fakeDatabase. Its transaction works on a copy of the database.
type fakeConn struct {
	db     *fakeDatabase
	tx     *fakeDatabase
	failed bool
	// cutBeforeExchange and cutAfterExchange are the numbers, from 1, of the exchange before or
	// after whose effect the connection is cut; 0 means never.
	cutBeforeExchange, cutAfterExchange int
	exchanges                           int
	// rejectCommit makes the target reject every commit.
	rejectCommit bool
	longAnswer   bool
}

func (s *fakeConn) Cancel(context.Context) error { return nil }
func (s *fakeConn) Close() error                 { return nil }

func (s *fakeConn) Exchange(_ context.Context, messages []byte) (target.Reply, bool, error) {
	s.exchanges++
	if s.exchanges == s.cutBeforeExchange {
		return target.Reply{}, true, errCut
	}
	reply := s.run(messages)
	if s.exchanges == s.cutAfterExchange {
		return target.Reply{}, true, errCut
	}
	return reply, true, nil
}

func (s *fakeConn) run(messages []byte) target.Reply {
	var out []pgproto3.BackendMessage
	sqlState, sql := "", ""
	var values [][]byte
	forEachMessage(messages, func(kind byte, raw []byte) bool {
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
		answers, sqlState = s.execute(sql, values)
		out = append(out, answers...)
		return sqlState == ""
	})
	reply := target.Reply{Code: sqlState, TxStatus: s.status(), Position: logpos.Position{Term: 1, Index: s.db.index}}
	if sqlState != "" {
		out = append(out, &pgproto3.ErrorResponse{Code: sqlState})
	}
	for _, m := range append(out, &pgproto3.ReadyForQuery{TxStatus: reply.TxStatus}) {
		reply.Messages, _ = m.Encode(reply.Messages)
	}
	return reply
}

func (s *fakeConn) status() byte {
	switch {
	case s.tx == nil:
		return 'I'
	case s.failed:
		return 'E'
	}
	return 'T'
}

func (s *fakeConn) execute(sql string, values [][]byte) ([]pgproto3.BackendMessage, string) {
	done := func(tag string) ([]pgproto3.BackendMessage, string) {
		return []pgproto3.BackendMessage{&pgproto3.CommandComplete{CommandTag: []byte(tag)}}, ""
	}
	switch word, rest, _ := strings.Cut(sql, " "); {
	case word == "BEGIN":
		s.tx = &fakeDatabase{records: maps.Clone(s.db.records), effects: maps.Clone(s.db.effects)}
		return done("BEGIN")
	case word == "ROLLBACK", word == "COMMIT" && s.failed:
		s.tx, s.failed = nil, false
		return done("ROLLBACK")
	case s.failed:
		return nil, "25P02"
	case word == "COMMIT" && s.rejectCommit:
		s.tx = nil
		return nil, "25006"
	case word == "COMMIT":
		s.db.records, s.db.effects = s.tx.records, s.tx.effects
		s.db.index++
		s.tx = nil
		return done("COMMIT")
	case word == "fail":
		s.failed = s.tx != nil
		return nil, "23514"
	case word == "effect":
		s.tx.effects[rest]++
		if s.longAnswer {
			return done("INSERT " + strings.Repeat("9", MaxOutcomeBytes))
		}
		return done("INSERT 0 1")
	}
	return s.executeOnRecords(sql, values, done)
}

// recordKey returns the primary key of a record.
func recordKey(customer, key []byte) string { return fmt.Sprintf("%q %q", customer, key) }

func (s *fakeConn) executeOnRecords(sql string, values [][]byte, done func(string) ([]pgproto3.BackendMessage, string)) ([]pgproto3.BackendMessage, string) {
	data := s.db
	if s.tx != nil {
		data = s.tx
	}
	switch sql {
	case sqlInsert:
		key := recordKey(values[0], values[1])
		if _, ok := data.records[key]; ok {
			s.failed = true
			return nil, sqlStateUniqueViolation
		}
		data.records[key] = record{string(values[2]), string(values[3])}
		return done("INSERT 0 1")
	case sqlUpdate:
		key := recordKey(values[1], values[2])
		data.records[key] = record{data.records[key].fingerprint, string(values[0])}
		return done("UPDATE 1")
	case sqlSelect:
		found := data.records[recordKey(values[0], values[1])]
		answers, _ := done("SELECT 1")
		row := &pgproto3.DataRow{Values: [][]byte{[]byte(found.fingerprint), []byte(found.outcome)}}
		return append([]pgproto3.BackendMessage{row}, answers...), ""
	}
	return nil, "42601"
}
