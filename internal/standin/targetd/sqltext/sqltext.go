// Package sqltext translates PostgreSQL statement texts to SQLite, as far as the stand-in
// target needs it. It splits a text at semicolons, rewrites parameters such as $1::bigint
// to ?1 and removes casts. It recognizes quotes and comments but does not parse the grammar.
package sqltext

import (
	"strconv"
	"strings"
)

// Kind classifies a statement by its first words.
type Kind uint8

// The kinds of statement.
const (
	// KindEmpty is a statement without any text.
	KindEmpty Kind = iota
	// KindRead returns rows and changes nothing.
	KindRead
	// KindWrite may change data.
	KindWrite
	KindBegin
	KindBeginRead
	KindCommit
	KindRollback
	// KindSet is SET, RESET or DISCARD, which is accepted and has no effect.
	KindSet
	// KindUnsupported is a statement that the stand-in rejects.
	KindUnsupported
	// KindControl calls one of the group_ functions, which control replication and
	// promotion.
	KindControl
)

// Statement is one statement in SQLite's form.
type Statement struct {
	// SQL is the text to run in SQLite.
	SQL  string
	Kind Kind
	// Verb is the first word in capitals, followed by the second one for CREATE, DROP and
	// ALTER.
	Verb string
	// Params holds the type OID to which each parameter is cast; 0 for one without a cast.
	Params []uint32
	// Returning is true for a write with a RETURNING clause.
	Returning bool
	// Call is set only for KindControl.
	Call Call
}

// Call is a call of a control function. Args holds the integer and string literals among
// its arguments, the strings without quotes.
type Call struct {
	Function string
	Args     []string
}

// OIDs of the column types that the stand-in supports.
const (
	OIDBool   uint32 = 16
	OIDInt8   uint32 = 20
	OIDText   uint32 = 25
	OIDFloat8 uint32 = 701
)

// typeOIDs maps the type names in casts to the supported types.
var typeOIDs = map[string]uint32{
	"bool": OIDBool, "boolean": OIDBool,
	"int": OIDInt8, "int2": OIDInt8, "int4": OIDInt8, "int8": OIDInt8,
	"integer": OIDInt8, "bigint": OIDInt8, "smallint": OIDInt8,
	"float": OIDFloat8, "float4": OIDFloat8, "float8": OIDFloat8, "real": OIDFloat8,
	"double": OIDFloat8, "numeric": OIDFloat8,
	"text": OIDText, "varchar": OIDText, "uuid": OIDText, "timestamptz": OIDText,
	"timestamp": OIDText, "json": OIDText, "jsonb": OIDText,
}

// Split returns the statements of text without the empty ones. If all are empty, it returns
// one statement of KindEmpty.
func Split(text string) []Statement {
	s := scanner{text: text}
	for s.pos < len(text) {
		s.scanToken()
	}
	s.endStatement()
	if len(s.statements) == 0 {
		return []Statement{{Kind: KindEmpty}}
	}
	return s.statements
}

// scanner translates a text token by token.
type scanner struct {
	text string
	pos  int
	// out and params hold the translated part of the current statement.
	out        strings.Builder
	params     []uint32
	statements []Statement
}

// scanToken translates the token at pos and advances pos past it.
func (s *scanner) scanToken() {
	rest := s.text[s.pos:]
	switch c := rest[0]; {
	case c == '\'' || c == '"':
		s.copy(quotedLength(rest, c))
	case strings.HasPrefix(rest, "--"):
		s.skip(lengthThrough(rest, "\n"))
	case strings.HasPrefix(rest, "/*"):
		s.skip(lengthThrough(rest, "*/"))
	case c == ';':
		s.pos++
		s.endStatement()
	case c == '$' && len(rest) > 1 && isDigit(rest[1]):
		s.scanParameter()
	case strings.HasPrefix(rest, "::"):
		s.scanCast()
	case isWordByte(c):
		s.copy(wordLength(rest))
	default:
		s.copy(1)
	}
}

// copy copies n bytes to the output.
func (s *scanner) copy(n int) {
	s.out.WriteString(s.text[s.pos : s.pos+n])
	s.pos += n
}

// skip replaces n bytes by one space.
func (s *scanner) skip(n int) {
	s.out.WriteByte(' ')
	s.pos += n
}

// scanParameter rewrites "$n" to "?n" and records the OID of a cast that follows it. The
// first cast of a parameter decides. An invalid parameter number is copied as it is.
func (s *scanner) scanParameter() {
	n := 1
	for s.pos+n < len(s.text) && isDigit(s.text[s.pos+n]) {
		n++
	}
	number, err := strconv.ParseUint(s.text[s.pos+1:s.pos+n], 10, 16)
	if err != nil || number == 0 {
		s.copy(n)
		return
	}
	s.pos += n
	s.out.WriteString("?" + strconv.FormatUint(number, 10))
	for uint64(len(s.params)) < number {
		s.params = append(s.params, 0)
	}
	if !strings.HasPrefix(s.text[s.pos:], "::") {
		return
	}
	if oid := s.scanCast(); s.params[number-1] == 0 {
		s.params[number-1] = oid
	}
}

// scanCast removes "::type" and returns the type's OID, which is OIDText for an unknown type.
// A cast of an expression has no effect, since the stand-in takes result types from SQLite.
func (s *scanner) scanCast() uint32 {
	s.pos += len("::")
	n := wordLength(s.text[s.pos:])
	name := strings.ToLower(s.text[s.pos : s.pos+n])
	s.pos += n
	rest := strings.ToLower(s.text[s.pos:])
	if name == "double" && strings.HasPrefix(rest, " precision") {
		s.pos += len(" precision")
	}
	if strings.HasPrefix(rest, "(") {
		s.pos += lengthThrough(rest, ")")
	}
	if oid, ok := typeOIDs[name]; ok {
		return oid
	}
	return OIDText
}

// endStatement appends the current statement to statements, unless it is empty.
func (s *scanner) endStatement() {
	sql := strings.TrimSpace(s.out.String())
	s.out.Reset()
	params := s.params
	s.params = nil
	if sql != "" {
		s.statements = append(s.statements, classify(sql, params))
	}
}

// quotedLength returns the length of the quoted text, with its quotes, at the start of rest.
// A doubled quote is part of the text. Without a closing quote it is the length of rest.
func quotedLength(rest string, quote byte) int {
	for i := 1; i < len(rest); i++ {
		if rest[i] != quote {
			continue
		}
		if i+1 < len(rest) && rest[i+1] == quote {
			i++
			continue
		}
		return i + 1
	}
	return len(rest)
}

// lengthThrough returns the length of rest up to and including the first occurrence of end,
// or the length of rest if there is none.
func lengthThrough(rest, end string) int {
	if i := strings.Index(rest, end); i >= 0 {
		return i + len(end)
	}
	return len(rest)
}

// wordLength returns the length of the word at the start of rest.
func wordLength(rest string) int {
	n := 0
	for n < len(rest) && (isWordByte(rest[n]) || isDigit(rest[n])) {
		n++
	}
	return n
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// isWordByte reports whether c can start a word. Bytes of multi-byte UTF-8 characters can.
func isWordByte(c byte) bool {
	return c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}
