package statement

import "bytes"

// LeavesState reports whether messages, of one exchange, may leave state on the connection to the target beyond their
// transaction: a block or procedure, or a function that is not known to have no side effects. It does not see what
// triggers, rules, defaults and views run.
func LeavesState(messages []byte) bool {
	for rest := messages; ; {
		m, after, ok := Next(rest)
		if !ok {
			return false
		}
		rest = after
		if textLeavesState(string(m.sql())) {
			return true
		}
	}
}

// sql returns the SQL text of a Query or Parse message, nil for any other one.
func (m Message) sql() []byte {
	text := m.Body()
	switch m.Type {
	case typeParse:
		_, text, _ = bytes.Cut(text, []byte{0})
	case typeQuery:
	default:
		return nil
	}
	text, _, _ = bytes.Cut(text, []byte{0})
	return text
}

func textLeavesState(sql string) bool {
	s := scanner{text: sql}
	for {
		first := s.next()
		for first.kind == '(' {
			first = s.next()
		}
		if first.kind == tokenEnd {
			return false
		}
		if first.kind == ';' {
			continue
		}
		t, more := scanTraits(&s)
		switch lookup(first.text).text {
		case "do", "call":
			return true
		}
		if t.runsFunction {
			return true
		}
		if !more {
			return false
		}
	}
}
