package pgtarget_test

import (
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/shoenig/test/must"

	"crocusyoke/internal/budget"
	"crocusyoke/internal/request"
)

// TestAnswerWithoutRoom guards against an answer that takes more than the room of its session, and against one that is
// reported as not run: the target has run the statement.
func TestAnswerWithoutRoom(t *testing.T) {
	answers := make(chan []byte, 1)
	defer close(answers)
	c := dial(t, startScriptedTarget(t, answers))
	var row []byte
	for _, message := range []pgproto3.BackendMessage{
		&pgproto3.DataRow{Values: [][]byte{[]byte(strings.Repeat("x", 100<<10))}},
		&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}, &pgproto3.ReadyForQuery{TxStatus: 'I'},
	} {
		var err error
		row, err = message.Encode(row)
		must.NoError(t, err)
	}
	room := budget.New(budget.Limits{Share: 1 << 10, Common: 64 << 10})
	account := room.Account()
	time.AfterFunc(20*time.Millisecond, func() { answers <- row })
	_, sent, err := c.Exchange(budget.NewContext(t.Context(), account), query("SELECT 1"))
	must.True(t, sent)
	must.Eq(t, request.CodeOutcomeUnknown, request.AsRefusal(err).Code)
	must.Eq(t, 0, room.Held())
}
