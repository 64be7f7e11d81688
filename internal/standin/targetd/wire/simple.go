package wire

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"crocusyoke/internal/standin/targetd/sqltext"
	"crocusyoke/internal/standin/targetd/store"
)

// handleSimpleQuery executes the statements of a simple query up to the first error.
func (s *session) handleSimpleQuery(text string) {
	s.server.seen.Add(text)
	s.extended.resetForSimpleQuery()
	stmts := sqltext.Split(text)
	for i := range stmts {
		last := i == len(stmts)-1
		if err := s.simpleStatement(&stmts[i], last); err != nil {
			s.markFailed()
			s.sendError(err)
			return
		}
	}
}

// simpleStatement runs one statement of a simple query and sends its result. Before it sends
// the completion of the last statement, it commits the implicit transaction.
func (s *session) simpleStatement(stmt *sqltext.Statement, last bool) error {
	o, err := s.execute(stmt, nil)
	if err != nil {
		return err
	}
	if last && s.status == statusIdle {
		if err := s.commitOpen(s.ctx); err != nil {
			return err
		}
	}
	if stmt.Kind == sqltext.KindEmpty {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if o.result != nil {
		if err := s.sendResult(o.result); err != nil {
			return err
		}
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(o.tag)})
	return nil
}

// sendResult sends a RowDescription and the rows of the result in text format.
func (s *session) sendResult(result *store.Result) error {
	oids := columnOIDs(result.Columns, firstRow(result))
	s.backend.Send(rowDescription(result.Columns, oids, nil))
	return s.sendRows(result.Rows, oids, nil)
}

func (s *session) sendRows(rows [][]any, oids []uint32, formats []int16) error {
	for _, row := range rows {
		values := make([][]byte, len(row))
		for i, v := range row {
			encoded, err := s.codec.encodeValue(v, oids[i], formatAt(formats, i))
			if err != nil {
				return err
			}
			values[i] = encoded
		}
		s.backend.Send(&pgproto3.DataRow{Values: values})
	}
	return nil
}

// firstRow returns the first row of the result, or nil if it has none.
func firstRow(result *store.Result) []any {
	if len(result.Rows) == 0 {
		return nil
	}
	return result.Rows[0]
}
