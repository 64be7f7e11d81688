package statement

// traits records which keywords and calls occur in a statement after its first word.
type traits struct {
	into          bool // INTO
	locksRows     bool // FOR UPDATE, FOR NO KEY UPDATE, FOR SHARE or FOR KEY SHARE
	impureCall    bool // a call of a function that is not known to be free of side effects
	runsFunction  bool // impureCall, but not of the name behind INTO, which is a table's
	sessionScoped bool // a call of a function whose effect lasts as long as the connection
	readOnly      bool // READ ONLY, without a later READ WRITE
	to            bool // TO
	prepared      bool // PREPARED
	chain         bool // CHAIN, but not NO CHAIN
	temporary     bool // TEMP or TEMPORARY
	withHold      bool // WITH HOLD
}

// scanTraits reads the rest of a statement and returns its traits. more is false at the end of
// the text.
func scanTraits(s *scanner) (t traits, more bool) {
	var lastToken token
	var previousWord, lastWord word
	qualified, isTable := false, false
	for {
		next := s.next()
		switch next.kind {
		case tokenEnd:
			return t, false
		case ';':
			return t, true
		case '(':
			t.recordCall(lastToken, lastWord, qualified, isTable)
		case tokenWord:
			qualified = lastToken.kind == '.'
			isTable = isTable && qualified || isInto(lastToken)
			previousWord, lastWord = lastWord, lookup(next.text)
			t.recordWord(previousWord, lastWord)
		case tokenQuotedIdent:
			qualified = lastToken.kind == '.'
			isTable = isTable && qualified || isInto(lastToken)
			previousWord, lastWord = lastWord, lookup(next.text)
		}
		lastToken = next
	}
}

func isInto(t token) bool { return t.kind == tokenWord && lookup(t.text).text == "into" }

// recordCall records the word before an opening parenthesis, which may be a function's name, or a table's after INTO.
// Only an unquoted and unqualified name can be pure, as a quoted or qualified one may be another
// function of the same name.
func (t *traits) recordCall(lastToken token, lastWord word, qualified, isTable bool) {
	isImpure := false
	switch lastToken.kind {
	case tokenQuotedIdent:
		isImpure = true
	case tokenWord:
		isImpure = qualified || !lastWord.pure
	default:
		return
	}
	t.impureCall = t.impureCall || isImpure
	t.runsFunction = t.runsFunction || isImpure && !isTable
	t.sessionScoped = t.sessionScoped || lastWord.sessionScoped
}

func (t *traits) recordWord(previous, current word) {
	switch current.text {
	case "into":
		t.into = true
	case "update", "share", "no", "key":
		t.locksRows = t.locksRows || previous.text == "for"
	case "only":
		t.readOnly = t.readOnly || previous.text == "read"
	case "write":
		if previous.text == "read" {
			t.readOnly = false
		}
	case "to":
		t.to = true
	case "prepared":
		t.prepared = true
	case "chain":
		t.chain = t.chain || previous.text != "no"
	case "temp", "temporary":
		t.temporary = true
	case "hold":
		t.withHold = t.withHold || previous.text == "with"
	}
}
