package statement

import "strings"

// The kinds of tokens. The kind of any other token is its character.
const (
	tokenEnd         byte = 0
	tokenWord        byte = 'w'
	tokenString      byte = 's'
	tokenQuotedIdent byte = 'q'
)

// token is one lexical element of SQL text.
type token struct {
	kind byte
	// text is a word as written, or the content of a string or quoted identifier without its
	// quotes; doubled quotes and escapes stay as they are.
	text string
}

// scanner splits SQL text into tokens and skips white space and comments.
type scanner struct {
	text string
	pos  int
}

// next returns the next token, of kind tokenEnd at the end of the text.
func (s *scanner) next() token {
	s.skipSpaceAndComments()
	if s.pos >= len(s.text) {
		return token{}
	}
	switch c := s.text[s.pos]; {
	case c == '\'':
		return token{tokenString, s.scanQuoted('\'', s.isEscapeString())}
	case c == '"':
		return token{tokenQuotedIdent, s.scanQuoted('"', false)}
	case c == '$':
		return s.scanDollar()
	case isWordByte(c):
		return s.scanWord()
	default:
		s.pos++
		return token{kind: c}
	}
}

func (s *scanner) skipSpaceAndComments() {
	for s.pos < len(s.text) {
		rest := s.text[s.pos:]
		switch {
		case isSpace(rest[0]):
			s.pos++
		case strings.HasPrefix(rest, "--"):
			s.skipLineComment(rest)
		case strings.HasPrefix(rest, "/*"):
			s.skipBlockComment()
		default:
			return
		}
	}
}

func (s *scanner) skipLineComment(rest string) {
	end := strings.IndexAny(rest, "\n\r")
	if end < 0 {
		end = len(rest)
	}
	s.pos += end
}

// skipBlockComment skips a block comment. As in PostgreSQL, block comments nest.
func (s *scanner) skipBlockComment() {
	depth := 0
	for s.pos < len(s.text) {
		rest := s.text[s.pos:]
		switch {
		case strings.HasPrefix(rest, "/*"):
			depth++
			s.pos += 2
		case strings.HasPrefix(rest, "*/"):
			depth--
			s.pos += 2
		default:
			s.pos++
		}
		if depth == 0 {
			return
		}
	}
}

// isEscapeString reports whether the string literal at the scanner's position is an escape string,
// E'...', in which a backslash escapes the quote.
func (s *scanner) isEscapeString() bool {
	if s.pos == 0 || s.text[s.pos-1]|0x20 != 'e' {
		return false
	}
	return s.pos == 1 || !isWordByte(s.text[s.pos-2])
}

func (s *scanner) scanQuoted(quote byte, escapes bool) string {
	s.pos++
	start := s.pos
	for s.pos < len(s.text) {
		switch c := s.text[s.pos]; {
		case escapes && c == '\\':
			s.pos++
		case c == quote && s.pos+1 < len(s.text) && s.text[s.pos+1] == quote:
			s.pos++
		case c == quote:
			s.pos++
			return s.text[start : s.pos-1]
		}
		s.pos++
	}
	s.pos = len(s.text)
	return s.text[start:]
}

// scanDollar reads a dollar-quoted string, or a parameter such as $1.
func (s *scanner) scanDollar() token {
	end := s.pos + 1
	for end < len(s.text) && isWordByte(s.text[end]) && s.text[end] != '$' {
		end++
	}
	if end >= len(s.text) || s.text[end] != '$' || isDigit(s.text[s.pos+1]) {
		s.pos = end
		return token{kind: '$'}
	}
	tag := s.text[s.pos : end+1]
	body := s.text[end+1:]
	length := strings.Index(body, tag)
	if length < 0 {
		s.pos = len(s.text)
		return token{tokenString, body}
	}
	s.pos = end + 1 + length + len(tag)
	return token{tokenString, body[:length]}
}

func (s *scanner) scanWord() token {
	start := s.pos
	for s.pos < len(s.text) && isWordByte(s.text[s.pos]) {
		s.pos++
	}
	return token{tokenWord, s.text[start:s.pos]}
}

func isSpace(c byte) bool {
	return c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f' || c == '\v'
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isWordByte(c byte) bool {
	return c|0x20 >= 'a' && c|0x20 <= 'z' || isDigit(c) || c == '_' || c == '$' || c >= 0x80
}
