// Package statement classifies exchanges of the PostgreSQL protocol by the keywords of their
// SQL, and rewrites prepared statements so that targets see only unnamed ones. An exchange is a
// simple Query, or a batch of extended-query messages up to its Sync.
//
// Invariant: what is classified as a read changes nothing, so that it may run on a replica and
// may be sent twice. Everything that is not known to be a read is classified as a write. The
// classification scans for keywords and does not parse SQL: for example, a SELECT is a write if
// it calls a function that is not in the list of functions without side effects.
package statement

// Class is the effect of a statement.
type Class uint8

// The classes.
const (
	// ClassEmpty is text without a statement.
	ClassEmpty Class = iota
	// ClassRead changes nothing.
	ClassRead
	// ClassWrite may change data, or is not known to be anything else.
	ClassWrite
	// ClassBegin opens a transaction.
	ClassBegin
	// ClassBeginRead opens a read-only transaction.
	ClassBeginRead
	// ClassCommit commits a transaction.
	ClassCommit
	// ClassRollback rolls back a transaction.
	ClassRollback
	// ClassSetting sets, resets or shows a session variable.
	ClassSetting
	// ClassUnsupported is refused, with Info.Reason as the reason.
	ClassUnsupported
)

// Info is the classification of one or more statements.
type Info struct {
	Class Class
	// Reason is why a statement of ClassUnsupported is not supported.
	Reason string
	// Setting is the content of a statement of ClassSetting.
	Setting Setting
	// afterBegin is the offset of the text after a statement that opens a transaction; 0 if no
	// other statement follows it.
	afterBegin int
}

func unsupported(reason string) Info {
	return Info{Class: ClassUnsupported, Reason: reason}
}

// Classify classifies SQL text, which may hold several statements.
func Classify(sql string) Info {
	s := scanner{text: sql}
	var whole Info
	beginEnd := 0
	for {
		info, more := classifyNext(&s)
		if isBegin(whole.Class) && isReadOrWrite(info.Class) && whole.afterBegin == 0 {
			whole.afterBegin = beginEnd
		}
		whole = combine(whole, info)
		if isBegin(info.Class) {
			beginEnd = s.pos
		}
		if !more {
			return whole
		}
	}
}

// combine classifies two statements, or sequences of statements, that run one after the other in
// one exchange. If one that opens a transaction is followed by reads or writes, the class is that
// of the first: the rest is sent separately, see Plan.SplitOffset.
func combine(a, b Info) Info {
	switch {
	case a.Class == ClassEmpty:
		return b
	case b.Class == ClassEmpty:
		return a
	case a.Class == ClassUnsupported:
		return a
	case b.Class == ClassUnsupported:
		return b
	case a.Class == ClassRead && b.Class == ClassRead:
		return a
	case isReadOrWrite(a.Class) && isReadOrWrite(b.Class):
		return Info{Class: ClassWrite}
	case isBegin(a.Class) && isReadOrWrite(b.Class):
		return a
	}
	return unsupported("transaction control or a session variable together with other statements")
}

func isReadOrWrite(c Class) bool { return c == ClassRead || c == ClassWrite }
func isBegin(c Class) bool       { return c == ClassBegin || c == ClassBeginRead }

// classifyNext classifies the statement at the scanner's position and moves past it. more is
// false after the last statement.
func classifyNext(s *scanner) (info Info, more bool) {
	t := s.next()
	for t.kind == '(' {
		t = s.next()
	}
	switch t.kind {
	case tokenEnd:
		return Info{}, false
	case ';':
		return Info{}, true
	case tokenWord:
	default:
		_, more = scanTraits(s)
		return Info{Class: ClassWrite}, more
	}
	first := lookup(t.text).text
	if first == "set" || first == "reset" || first == "show" {
		return parseSetting(s, first)
	}
	traits, more := scanTraits(s)
	return classifyByKeyword(first, traits), more
}

func classifyByKeyword(first string, t traits) Info {
	if t.sessionScoped {
		return unsupported("a function whose effect stays with the connection")
	}
	switch first {
	case "select", "values":
		return classifySelect(t)
	case "begin", "start":
		if t.readOnly {
			return Info{Class: ClassBeginRead}
		}
		return Info{Class: ClassBegin}
	case "commit", "end":
		return classifyEnd(ClassCommit, t)
	case "rollback", "abort":
		if t.to {
			return Info{Class: ClassWrite}
		}
		return classifyEnd(ClassRollback, t)
	case "listen", "unlisten", "copy", "prepare", "execute", "deallocate", "discard", "load":
		return unsupported(first + " is not supported on a pooled connection")
	case "create":
		if t.temporary {
			return unsupported("temporary objects do not fit a pooled connection")
		}
	case "declare":
		if t.withHold {
			return unsupported("cursors WITH HOLD do not fit a pooled connection")
		}
	}
	return Info{Class: ClassWrite}
}

func classifySelect(t traits) Info {
	switch {
	case t.into && t.temporary:
		return unsupported("temporary objects do not fit a pooled connection")
	case t.into, t.locksRows, t.impureCall:
		return Info{Class: ClassWrite}
	}
	return Info{Class: ClassRead}
}

func classifyEnd(class Class, t traits) Info {
	switch {
	case t.prepared:
		return unsupported("two-phase commit")
	case t.chain:
		return unsupported("AND CHAIN")
	}
	return Info{Class: class}
}
