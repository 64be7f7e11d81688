package wire

import (
	"regexp"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"crocusyoke/internal/standin/targetd/sqltext"
	"crocusyoke/internal/standin/targetd/store"
)

var (
	// integerCall matches calls of functions that usually return integers.
	integerCall = regexp.MustCompile(`(?i)^(count|sum|length|coalesce|max|min)\s*\(`)
	// parameterOnly matches an expression that starts with a parameter, such as "?1 AS a".
	parameterOnly = regexp.MustCompile(`^\?(\d+)\b`)
)

// describeColumns sets the statement's result columns by asking SQLite, which also validates
// the statement.
func (s *session) describeColumns(prepared *statement) error {
	switch prepared.stmt.Kind {
	case sqltext.KindControl:
		prepared.columns = []store.Column{{Name: prepared.stmt.Call.Function, DeclaredType: "TEXT"}}
		return nil
	case sqltext.KindRead, sqltext.KindWrite:
	default:
		return nil
	}
	if s.status == statusFailed {
		return errFailedTx
	}
	columns, err := s.describeText(prepared.stmt.SQL)
	prepared.columns = columns
	return err
}

// describeText returns the result columns of text. It uses the open write transaction, if
// there is one, since that may have created tables.
func (s *session) describeText(text string) ([]store.Column, error) {
	if s.writeTx != nil {
		return s.writeTx.Describe(s.ctx, text)
	}
	return s.store.Describe(s.ctx, text)
}

// resolveColumnTypes sets the types that are sent for the statement's columns, once. For
// columns without a declared type it uses the values of a sample row, and where there is no
// value, the text of the expression.
func (s *session) resolveColumnTypes(prepared *statement) {
	if prepared.described {
		return
	}
	prepared.described = true
	var sample []any
	if prepared.stmt.Kind == sqltext.KindRead && hasUndeclared(prepared.columns) {
		sample = s.sampleRow(prepared)
	}
	prepared.oids = columnOIDs(prepared.columns, sample)
	list := sqltext.SelectList(prepared.stmt.SQL)
	for i, c := range prepared.columns {
		known := c.DeclaredType != "" || sample != nil && sample[i] != nil
		if !known && len(list) == len(prepared.columns) {
			prepared.oids[i] = inferOID(prepared.params, list[i])
		}
	}
}

// sampleRow returns the first row of the statement with null parameters, or nil if there is
// none.
func (s *session) sampleRow(prepared *statement) []any {
	text := "SELECT * FROM (" + prepared.stmt.SQL + ") LIMIT 1"
	result, _, err := s.store.Read(text, make([]any, len(prepared.params)))
	if err != nil {
		return nil
	}
	return firstRow(result)
}

// hasUndeclared reports whether a column has no declared type.
func hasUndeclared(columns []store.Column) bool {
	for _, c := range columns {
		if c.DeclaredType == "" {
			return true
		}
	}
	return false
}

// inferOID infers the type of an expression from its text. The default is text.
func inferOID(params []uint32, expression string) uint32 {
	if found := parameterOnly.FindStringSubmatch(expression); found != nil {
		n, _ := strconv.Atoi(found[1])
		if n >= 1 && n <= len(params) && params[n-1] != 0 {
			return params[n-1]
		}
		return sqltext.OIDText
	}
	if integerCall.MatchString(expression) {
		return sqltext.OIDInt8
	}
	return sqltext.OIDText
}

// columnOIDs returns each column's type from its declaration, or else from the value in the
// sample row, which may be nil. The default is text.
func columnOIDs(columns []store.Column, sample []any) []uint32 {
	oids := make([]uint32, len(columns))
	for i, c := range columns {
		oids[i] = declaredOID(c.DeclaredType)
		if oids[i] == 0 && sample != nil {
			oids[i] = valueOID(sample[i])
		}
		if oids[i] == 0 {
			oids[i] = sqltext.OIDText
		}
	}
	return oids
}

// declaredOID returns the type for a declared SQLite type, or 0 if declared is empty.
func declaredOID(declared string) uint32 {
	declared = strings.ToUpper(declared)
	switch {
	case declared == "":
		return 0
	case strings.Contains(declared, "INT"):
		return sqltext.OIDInt8
	case strings.HasPrefix(declared, "BOOL"):
		return sqltext.OIDBool
	case strings.Contains(declared, "REAL"), strings.Contains(declared, "FLOA"),
		strings.Contains(declared, "DOUB"), strings.Contains(declared, "NUMERIC"):
		return sqltext.OIDFloat8
	}
	return sqltext.OIDText
}

// valueOID returns the type of a value, or 0 for nil.
func valueOID(v any) uint32 {
	switch v.(type) {
	case nil:
		return 0
	case int64:
		return sqltext.OIDInt8
	case float64:
		return sqltext.OIDFloat8
	case bool:
		return sqltext.OIDBool
	}
	return sqltext.OIDText
}

func rowDescription(columns []store.Column, oids []uint32, formats []int16) *pgproto3.RowDescription {
	fields := make([]pgproto3.FieldDescription, len(columns))
	for i, c := range columns {
		fields[i] = pgproto3.FieldDescription{
			Name: []byte(c.Name), DataTypeOID: oids[i], DataTypeSize: typeSize(oids[i]),
			TypeModifier: -1, Format: formatAt(formats, i),
		}
	}
	return &pgproto3.RowDescription{Fields: fields}
}

// typeSize returns a type's size in bytes as in a RowDescription; -1 is variable.
func typeSize(oid uint32) int16 {
	switch oid {
	case sqltext.OIDInt8, sqltext.OIDFloat8:
		return 8
	case sqltext.OIDBool:
		return 1
	}
	return -1
}

// formatAt returns the format code of column or parameter i. A single code applies to all,
// and the default is text.
func formatAt(formats []int16, i int) int16 {
	switch {
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	}
	return pgproto3.TextFormat
}
