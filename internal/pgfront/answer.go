package pgfront

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"crocusyoke/internal/request"
	"crocusyoke/internal/statement"
)

// textOID is the object ID of PostgreSQL's type text.
const textOID = 25

// typeErrorResponse is the type byte of the backend message ErrorResponse.
const typeErrorResponse = 'E'

// Severities of an error response.
const (
	severityError = "ERROR"
	severityFatal = "FATAL"
)

// appendMessages appends the encoded messages to dst. A message that cannot be encoded is
// left out; this does not happen, as the messages built here are far below the size limit.
func appendMessages(dst []byte, messages ...pgproto3.BackendMessage) []byte {
	for _, m := range messages {
		if out, err := m.Encode(dst); err == nil {
			dst = out
		}
	}
	return dst
}

// readyForQueryLength is the length in bytes of ReadyForQuery, which ends every answer.
const readyForQueryLength = 6

// hasError reports whether answer contains an ErrorResponse.
func hasError(answer []byte) bool {
	for {
		m, rest, ok := statement.Next(answer)
		if !ok {
			return false
		}
		if m.Type == typeErrorResponse {
			return true
		}
		answer = rest
	}
}

func appendReadyForQuery(dst []byte, tx byte) []byte {
	return appendMessages(dst, &pgproto3.ReadyForQuery{TxStatus: tx})
}

func appendParameterStatus(dst []byte, name, value string) []byte {
	return appendMessages(dst, &pgproto3.ParameterStatus{Name: name, Value: value})
}

func appendError(dst []byte, severity, state, message, detail string) []byte {
	return appendMessages(dst, &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                state,
		Message:             message,
		Detail:              detail,
	})
}

// appendRefusal appends an ErrorResponse for r, whose detail begins with the request's fate.
func appendRefusal(dst []byte, severity string, r *request.Refusal) []byte {
	message := r.Detail
	if message == "" {
		message = r.Code.Name
	}
	detail := r.Code.Fate.String() + "; code " + r.Code.Name + "; step " + r.Step
	if r.Peer != "" {
		detail += "; peer " + r.Peer
	}
	return appendError(dst, severity, r.Code.SQLState, message, detail)
}

// localAnswer is the result of a statement that the proxy answers without a target.
type localAnswer struct {
	// column is the name of the only column; empty if the answer has no rows.
	column string
	value  string
	// tag is the command tag; empty for an empty query.
	tag string
}

func (l localAnswer) appendDescription(dst []byte) []byte {
	if l.column == "" {
		return appendMessages(dst, &pgproto3.NoData{})
	}
	return appendMessages(dst, &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name: []byte(l.column), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1,
	}}})
}

func (l localAnswer) appendResult(dst []byte) []byte {
	if l.column != "" {
		dst = appendMessages(dst, &pgproto3.DataRow{Values: [][]byte{[]byte(l.value)}})
	}
	if l.tag == "" {
		return appendMessages(dst, &pgproto3.EmptyQueryResponse{})
	}
	return appendMessages(dst, &pgproto3.CommandComplete{CommandTag: []byte(l.tag)})
}

// appendAnswer appends the replies of a target to each of the messages of an exchange. tx is
// the transaction status for ReadyForQuery.
func (l localAnswer) appendAnswer(dst, messages []byte, tx byte) []byte {
	for {
		m, rest, ok := statement.Next(messages)
		if !ok {
			return dst
		}
		dst = l.appendMessageAnswer(dst, m, tx)
		messages = rest
	}
}

func (l localAnswer) appendMessageAnswer(dst []byte, m statement.Message, tx byte) []byte {
	switch m.Type {
	case typeQuery:
		if l.column != "" {
			dst = l.appendDescription(dst)
		}
		return appendReadyForQuery(l.appendResult(dst), tx)
	case typeParse:
		return appendMessages(dst, &pgproto3.ParseComplete{})
	case typeBind:
		return appendMessages(dst, &pgproto3.BindComplete{})
	case typeClose:
		return appendMessages(dst, &pgproto3.CloseComplete{})
	case typeDescribe:
		if m.Body()[0] == 'S' {
			dst = appendMessages(dst, &pgproto3.ParameterDescription{})
		}
		return l.appendDescription(dst)
	case typeExecute:
		return l.appendResult(dst)
	case typeSync:
		return appendReadyForQuery(dst, tx)
	}
	return dst
}
