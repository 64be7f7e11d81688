package sqltext

import (
	"regexp"
	"strconv"
	"strings"
)

var (
	controlCall     = regexp.MustCompile(`(?is)^select\s+(group_(?:status|adopt|promote|follow|pull))\s*\((.*)\)$`)
	controlArgument = regexp.MustCompile(`'(?:[^']|'')*'|-?\d+`)
	returningClause = regexp.MustCompile(`(?i)\breturning\b`)
	writeKeyword    = regexp.MustCompile(`(?i)\b(insert|update|delete|replace)\b`)
	readOnlyMode    = regexp.MustCompile(`(?i)\bread\s+only\b`)
)

// classify returns the statement with the given text in SQLite's form and the given
// parameter OIDs. It decides the kind by the first words, without parsing the statement.
func classify(sql string, params []uint32) Statement {
	s := Statement{SQL: sql, Params: params}
	words := firstWords(sql)
	s.Verb = words[0]
	switch words[0] {
	case "SELECT":
		s.Kind = KindRead
		s.parseControlCall()
	case "VALUES", "EXPLAIN":
		s.Kind = KindRead
	case "WITH":
		s.Kind = KindRead
		if writeKeyword.MatchString(sql) {
			s.Kind = KindWrite
		}
	case "BEGIN", "START":
		s.Kind = KindBegin
		if readOnlyMode.MatchString(sql) {
			s.Kind = KindBeginRead
		}
	case "COMMIT", "END":
		s.Kind = KindCommit
	case "ROLLBACK", "ABORT":
		s.Kind = KindRollback
		if words[1] == "TO" {
			s.Kind = KindUnsupported
		}
	case "PRAGMA", "ATTACH", "DETACH", "VACUUM", "SAVEPOINT", "RELEASE", "SHOW":
		s.Kind = KindUnsupported
	case "SET", "RESET", "DISCARD":
		s.Kind = KindSet
	default:
		s.Kind = KindWrite
	}
	if s.Kind == KindWrite {
		s.Returning = returningClause.MatchString(sql)
	}
	if words[0] == "CREATE" || words[0] == "DROP" || words[0] == "ALTER" {
		s.Verb = words[0] + " " + words[1]
	}
	return s
}

// firstWords returns the first two words of sql in capitals. It looks only at the first 200
// bytes.
func firstWords(sql string) [2]string {
	var words [2]string
	fields := strings.Fields(sql[:min(len(sql), 200)])
	for i := 0; i < len(fields) && i < len(words); i++ {
		words[i] = strings.ToUpper(fields[i][:wordLength(fields[i])])
	}
	return words
}

// parseControlCall sets Kind and Call if the SELECT statement calls a control function.
func (s *Statement) parseControlCall() {
	found := controlCall.FindStringSubmatch(s.SQL)
	if found == nil {
		return
	}
	s.Kind = KindControl
	s.Call.Function = strings.ToLower(found[1])
	for _, arg := range controlArgument.FindAllString(found[2], -1) {
		if strings.HasPrefix(arg, "'") {
			arg = strings.ReplaceAll(arg[1:len(arg)-1], "''", "'")
		}
		s.Call.Args = append(s.Call.Args, arg)
	}
}

// Tag returns the command tag, as in CommandComplete, of a statement that returned or
// affected n rows.
func (s *Statement) Tag(n int64) string {
	count := " " + strconv.FormatInt(n, 10)
	switch s.Verb {
	case "INSERT", "REPLACE":
		return "INSERT 0" + count
	case "UPDATE", "DELETE":
		return s.Verb + count
	case "SELECT", "VALUES", "WITH", "EXPLAIN":
		return "SELECT" + count
	case "START":
		return "START TRANSACTION"
	case "END":
		return "COMMIT"
	case "ABORT":
		return "ROLLBACK"
	}
	return s.Verb
}

// SelectList returns the expressions in the select list of a SELECT in SQLite's form, and
// nil for other statements. It splits the text at commas outside parentheses and quotes and
// does not expand "*".
func SelectList(sql string) []string {
	if len(sql) < len("select") || !strings.EqualFold(sql[:len("select")], "select") {
		return nil
	}
	var list []string
	depth, start, i := 0, len("select"), len("select")
	for i < len(sql) {
		n := 1
		switch c := sql[i]; {
		case c == '\'' || c == '"':
			n = quotedLength(sql[i:], c)
		case c == '(':
			depth++
		case c == ')':
			depth--
		case c == ',' && depth == 0:
			list = append(list, strings.TrimSpace(sql[start:i]))
			start = i + 1
		case isWordByte(c):
			n = wordLength(sql[i:])
			if depth == 0 && strings.EqualFold(sql[i:i+n], "from") {
				return append(list, strings.TrimSpace(sql[start:i]))
			}
		}
		i += n
	}
	return append(list, strings.TrimSpace(sql[start:]))
}
