package front

import (
	"strconv"
	"strings"
	"unicode/utf8"

	"crocusyoke/internal/request"
)

// Bounds on texts of callers in refusals and log lines, in bytes.
const (
	// maxQuoted bounds what the detail of a refusal quotes of a caller's text.
	maxQuoted = 64
	// maxDetail bounds the detail of a refusal.
	maxDetail = 512
	// maxLoggedID bounds the identifier of a statement.
	maxLoggedID = 64
	// maxLoggedCause bounds the text of an error. It leaves room for the stack of a panic.
	maxLoggedCause = 4 << 10
)

// cutMark stands at the end of a text that was cut.
const cutMark = "..."

// cutText returns text, or as many of its first bytes as are whole runes and at most limit, with cutMark.
func cutText(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	end := limit
	for end > limit-utf8.UTFMax && !utf8.RuneStart(text[end]) {
		end--
	}
	return text[:end] + cutMark
}

// quote returns a caller's text in quotes, cut at maxQuoted.
func quote(text string) string { return strconv.Quote(cutText(text, maxQuoted)) }

// withShortDetail returns refusal, or a copy with its detail cut at maxDetail.
func withShortDetail(refusal *request.Refusal) *request.Refusal {
	if len(refusal.Detail) <= maxDetail {
		return refusal
	}
	short := *refusal
	short.Detail = cutText(refusal.Detail, maxDetail)
	return &short
}

// loggedID returns the identifier of a statement for a log line. It is no part of the caller's message, which must
// not be kept with it.
func loggedID(id string) string { return strings.Clone(cutText(id, maxLoggedID)) }

// loggedCause returns err for a log line, nil if there is none.
func loggedCause(err error) any {
	if err == nil {
		return nil
	}
	return cutText(err.Error(), maxLoggedCause)
}
