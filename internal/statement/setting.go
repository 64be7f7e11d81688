package statement

import "strings"

// Verb is the operation of a Setting.
type Verb uint8

// The verbs.
const (
	VerbSet Verb = iota
	VerbReset
	VerbShow
)

// Setting is a statement that sets, resets or shows a session variable.
type Setting struct {
	Verb Verb
	// Name is the variable's name in lower case; "all" for RESET ALL and SHOW ALL.
	Name string
	// Value is the value of a SET: its tokens without quotes and white space. The commas of a
	// list stay.
	Value string
	// Local is true for SET LOCAL.
	Local bool
}

// parseSetting reads the rest of a statement that begins with keyword: set, reset or show. The
// bool is false at the end of the text. SET TRANSACTION and SET CONSTRAINTS set no session
// variable and count as writes.
func parseSetting(s *scanner, keyword string) (Info, bool) {
	var setting Setting
	switch keyword {
	case "reset":
		setting.Verb = VerbReset
	case "show":
		setting.Verb = VerbShow
	}
	name, t := parseSettingName(s, &setting)
	// The name must not keep the whole text of which it is a part.
	setting.Name = strings.Clone(name)
	if setting.Verb == VerbSet && (name == "transaction" || name == "constraints") {
		_, more := skipStatement(s, t)
		return Info{Class: ClassWrite}, more
	}
	value, more := parseSettingValue(s, t)
	setting.Value = value
	if setting.Name == "" || setting.Name == "session characteristics" {
		return unsupported("this form of " + strings.ToUpper(keyword)), more
	}
	return Info{Class: ClassSetting, Setting: setting}, more
}

// parseSettingName reads a variable's name and returns it with the token after it. It records a
// SET LOCAL in setting.
func parseSettingName(s *scanner, setting *Setting) (string, token) {
	t := s.next()
	if setting.Verb == VerbSet {
		switch lookup(t.text).text {
		case "local":
			setting.Local = true
			t = s.next()
		case "session":
			t = s.next()
		}
	}
	if t.kind != tokenWord && t.kind != tokenQuotedIdent {
		return "", t
	}
	name := strings.ToLower(t.text)
	switch name {
	case "time":
		s.next()
		return "timezone", s.next()
	case "names":
		return "client_encoding", s.next()
	case "characteristics":
		return "session characteristics", s.next()
	}
	t = s.next()
	for t.kind == '.' {
		part := s.next()
		name += "." + strings.ToLower(part.text)
		t = s.next()
	}
	return name, t
}

// parseSettingValue reads the value and returns it as in Setting.Value; t is the token after the
// name. The bool is false at the end of the text.
func parseSettingValue(s *scanner, t token) (string, bool) {
	if t.kind == '=' || t.kind == tokenWord && lookup(t.text).text == "to" {
		t = s.next()
	}
	var value strings.Builder
	for ; t.kind != tokenEnd && t.kind != ';'; t = s.next() {
		switch t.kind {
		case tokenString:
			value.WriteString(strings.ReplaceAll(t.text, "''", "'"))
		case tokenWord, tokenQuotedIdent:
			value.WriteString(t.text)
		default:
			value.WriteByte(t.kind)
		}
	}
	return value.String(), t.kind == ';'
}

// skipStatement skips the rest of the statement after t, the last token read. It returns the
// traits of that rest, and false at the end of the text.
func skipStatement(s *scanner, t token) (traits, bool) {
	switch t.kind {
	case tokenEnd:
		return traits{}, false
	case ';':
		return traits{}, true
	}
	return scanTraits(s)
}
