package statement

// traits records which keywords and calls occur in a statement after its first word.
type traits struct {
	into          bool // INTO
	locksRows     bool // FOR UPDATE, FOR NO KEY UPDATE, FOR SHARE or FOR KEY SHARE
	impureCall    bool // a call of a function that is not known to be free of side effects
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
	qualified := false
	for {
		next := s.next()
		switch next.kind {
		case tokenEnd:
			return t, false
		case ';':
			return t, true
		case '(':
			t.recordCall(lastToken, lastWord, qualified)
		case tokenWord:
			qualified = lastToken.kind == '.'
			previousWord, lastWord = lastWord, lookup(next.text)
			t.recordWord(previousWord, lastWord)
		case tokenQuotedIdent:
			qualified = lastToken.kind == '.'
			previousWord, lastWord = lastWord, lookup(next.text)
		}
		lastToken = next
	}
}

// recordCall records the word before an opening parenthesis, which may be a function's name. Only
// an unquoted and unqualified name can be pure, as a quoted or qualified one may be another
// function of the same name.
func (t *traits) recordCall(lastToken token, lastWord word, qualified bool) {
	switch lastToken.kind {
	case tokenQuotedIdent:
		t.impureCall = true
		t.sessionScoped = t.sessionScoped || lastWord.sessionScoped
	case tokenWord:
		t.impureCall = t.impureCall || qualified || !lastWord.pure
		t.sessionScoped = t.sessionScoped || lastWord.sessionScoped
	}
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
