package wire

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"crocusyoke/internal/standin/targetd/sqltext"
	"crocusyoke/internal/standin/targetd/store"
)

// Messages of the answer that echo mode gives to every statement except those that begin or
// end a transaction: one row with the number 1.
var (
	echoColumns           = []store.Column{{Name: "n", DeclaredType: "BIGINT"}}
	echoTextDescription   = rowDescription(echoColumns, []uint32{sqltext.OIDInt8}, nil)
	echoBinaryDescription = rowDescription(echoColumns, []uint32{sqltext.OIDInt8}, []int16{pgproto3.BinaryFormat})
	echoTextRow           = &pgproto3.DataRow{Values: [][]byte{[]byte("1")}}
	echoBinaryRow         = &pgproto3.DataRow{Values: [][]byte{{0, 0, 0, 0, 0, 0, 0, 1}}}
	echoCommandComplete   = &pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}
	echoParseComplete     = &pgproto3.ParseComplete{}
	echoBindComplete      = &pgproto3.BindComplete{}
	echoCloseComplete     = &pgproto3.CloseComplete{}
)

// isEchoed reports whether echo mode answers the statement from memory. Calls of the control
// functions are executed instead.
func isEchoed(text string) bool { return !strings.HasPrefix(text, "SELECT group_") }

// echoQuery answers a simple query in echo mode.
func (s *session) echoQuery(text string) error {
	if kind, tag := echoTransactionControl(text); kind != 0 {
		s.status = kind
		s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
		return s.sendReady()
	}
	s.backend.Send(echoTextDescription)
	s.backend.Send(echoTextRow)
	s.backend.Send(echoCommandComplete)
	return s.sendReady()
}

// echoTransactionControl returns the new transaction status and the command tag of a statement
// that begins or ends a block, and a zero status for other statements.
func echoTransactionControl(text string) (byte, string) {
	switch {
	case hasPrefixFold(text, "BEGIN"), hasPrefixFold(text, "START"):
		return statusInBlock, "BEGIN"
	case hasPrefixFold(text, "COMMIT"), hasPrefixFold(text, "END"):
		return statusIdle, "COMMIT"
	case hasPrefixFold(text, "ROLLBACK"):
		return statusIdle, "ROLLBACK"
	}
	return 0, ""
}

// hasPrefixFold reports whether text starts with prefix, ignoring case.
func hasPrefixFold(text, prefix string) bool {
	return len(text) >= len(prefix) && strings.EqualFold(text[:len(prefix)], prefix)
}

// echoExtended answers a message of the extended protocol in echo mode.
func (s *session) echoExtended(message pgproto3.FrontendMessage) error {
	switch m := message.(type) {
	case *pgproto3.Parse:
		s.echoParams = len(sqltext.Split(m.Query)[0].Params)
		s.backend.Send(echoParseComplete)
	case *pgproto3.Bind:
		s.echoFormat = formatAt(m.ResultFormatCodes, 0)
		s.backend.Send(echoBindComplete)
	case *pgproto3.Describe:
		s.echoDescribe(m)
	case *pgproto3.Execute:
		if s.echoFormat == pgproto3.BinaryFormat {
			s.backend.Send(echoBinaryRow)
		} else {
			s.backend.Send(echoTextRow)
		}
		s.backend.Send(echoCommandComplete)
	case *pgproto3.Close:
		s.backend.Send(echoCloseComplete)
	case *pgproto3.Flush:
		return s.flush()
	case *pgproto3.Sync:
		return s.sendReady()
	}
	return nil
}

func (s *session) echoDescribe(m *pgproto3.Describe) {
	if m.ObjectType == 'S' {
		s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: make([]uint32, s.echoParams)})
		s.backend.Send(echoTextDescription)
		return
	}
	if s.echoFormat == pgproto3.BinaryFormat {
		s.backend.Send(echoBinaryDescription)
		return
	}
	s.backend.Send(echoTextDescription)
}
