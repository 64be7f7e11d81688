package idempotency

import (
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"

	"crocusyoke/internal/target"
)

// textOID is the OID of PostgreSQL's type text.
const textOID = 25

// Statements on the table of records. Values are bound as parameters, never part of the text.
const (
	sqlInsert = "INSERT INTO " + target.RequestsTable +
		" (customer, key, fingerprint, outcome) VALUES ($1, $2, $3, $4)"
	sqlSelect = "SELECT fingerprint, outcome FROM " + target.RequestsTable +
		" WHERE customer = $1 AND key = $2"
	sqlUpdate = "UPDATE " + target.RequestsTable +
		" SET outcome = $1 WHERE customer = $2 AND key = $3"
)

// statement is one statement of a batch with its text parameters.
type statement struct {
	sql    string
	values []string
}

// encodeBatch encodes statements as one extended-query batch that ends with Sync.
func encodeBatch(statements ...statement) ([]byte, error) {
	var out []byte
	for _, s := range statements {
		var err error
		if out, err = appendStatement(out, s); err != nil {
			return nil, err
		}
	}
	return (&pgproto3.Sync{}).Encode(out)
}

func appendStatement(out []byte, s statement) ([]byte, error) {
	parse := &pgproto3.Parse{Query: s.sql}
	bind := &pgproto3.Bind{}
	for _, value := range s.values {
		parse.ParameterOIDs = append(parse.ParameterOIDs, textOID)
		bind.Parameters = append(bind.Parameters, []byte(value))
	}
	var err error
	for _, message := range []pgproto3.FrontendMessage{parse, bind, &pgproto3.Execute{}} {
		if out, err = message.Encode(out); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// encodeQuery encodes a simple query.
func encodeQuery(sql string) []byte {
	out, _ := (&pgproto3.Query{String: sql}).Encode(nil)
	return out
}

// Types of the backend messages that are decoded.
const (
	typeDataRow         = 'D'
	typeCommandComplete = 'C'
	typeErrorResponse   = 'E'
)

const headerLength = 5

// forEachMessage calls visit for each message, until visit returns false or a message is
// malformed. raw includes the message's header.
func forEachMessage(messages []byte, visit func(kind byte, raw []byte) bool) {
	for len(messages) >= headerLength {
		length := int(binary.BigEndian.Uint32(messages[1:headerLength])) + 1
		if length < headerLength || length > len(messages) {
			return
		}
		if !visit(messages[0], messages[:length]) {
			return
		}
		messages = messages[length:]
	}
}

// lastCommandTag returns the last command tag, or "".
func lastCommandTag(messages []byte) string {
	tag := ""
	forEachMessage(messages, func(kind byte, raw []byte) bool {
		var complete pgproto3.CommandComplete
		if kind == typeCommandComplete && complete.Decode(raw[headerLength:]) == nil {
			tag = string(complete.CommandTag)
		}
		return true
	})
	return tag
}

// firstRow returns the values of the first data row, or nil.
func firstRow(messages []byte) [][]byte {
	var values [][]byte
	forEachMessage(messages, func(kind byte, raw []byte) bool {
		var row pgproto3.DataRow
		if kind != typeDataRow || row.Decode(raw[headerLength:]) != nil {
			return true
		}
		values = row.Values
		return false
	})
	return values
}

// errorReply reduces a reply to its error response and an idle ReadyForQuery, which is a valid
// answer to any exchange.
func errorReply(reply target.Reply) target.Reply {
	var out []byte
	forEachMessage(reply.Messages, func(kind byte, raw []byte) bool {
		if kind != typeErrorResponse {
			return true
		}
		out = append(out, raw...)
		return false
	})
	out, _ = (&pgproto3.ReadyForQuery{TxStatus: txIdle}).Encode(out)
	reply.Messages = out
	reply.TxStatus = txIdle
	return reply
}

// withIdleStatus returns a copy of reply whose ReadyForQuery says that no transaction is open.
func withIdleStatus(reply target.Reply) target.Reply {
	reply.Messages = append([]byte(nil), reply.Messages...)
	if n := len(reply.Messages); n > 0 {
		reply.Messages[n-1] = txIdle
	}
	reply.TxStatus = txIdle
	return reply
}
