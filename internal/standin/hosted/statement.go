package hosted

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// ownID is the ID of statements that no caller sent.
const ownID = "-"

// The kinds of prepared statements.
const (
	KindRead  = "READ"
	KindWrite = "WRITE"
)

// Prepared is the content of a prepared statement, as its PREPARE had it.
type Prepared struct{ Kind, Shape string }

// Statement is a statement that a target received, with the state of the session at that time. An ID of
// "-" marks a statement of the proxy itself.
type Statement struct {
	ID       string
	Text     string
	Customer string
	Settings map[string]string
	// Prepared is what an EXEC runs, nil if its name is unknown, and Arguments what follows the name.
	Prepared  *Prepared
	Arguments string
	// Connection identifies the connection, among those to all targets of the process.
	Connection uint64
	// Transaction identifies the transaction in which the statement ran, or that a BEGIN began, in the same
	// way; 0 if there is none.
	Transaction uint64
	// ReceivedAt is when the target read the statement.
	ReceivedAt time.Time
	// StartedAt is when the target's process had started.
	StartedAt time.Time
	// Target is the ID of the target. Result is the code of its error, empty if the statement succeeded.
	Target, Result string
	// Rows are those of its answer.
	Rows []string
	// Commit is what the statement committed, zero if nothing.
	Commit Commit
	// log is what a read of the statement saw.
	log []logEntry
}

// Commit identifies a commit that wrote something.
type Commit struct {
	position logPosition
	number   uint64
}

// IsZero reports whether c is none.
func (c Commit) IsZero() bool { return c.number == 0 }

// Less reports whether c comes before other, in an earlier term or at an earlier place of the same one.
func (c Commit) Less(other Commit) bool { return c.position.isBehind(other.position) }

// Lacks reports whether the log on which the statement ran lacks a commit.
func (st *Statement) Lacks(c Commit) bool { return !c.isIn(st.log) }

func (c Commit) isIn(log []logEntry) bool {
	n := c.position.entries
	return n >= 1 && n <= uint64(len(log)) && log[n-1].number == c.number
}

// CallerText returns the text without the position that a proxy may have put before it.
func (st *Statement) CallerText() string {
	_, text := cutPosition(st.Text)
	return text
}

// cutPosition returns the position that precedes a statement, "" if there is none, and the statement.
func cutPosition(text string) (position, rest string) {
	if after, ok := strings.CutPrefix(text, "AFTER "); ok {
		position, rest, _ = strings.Cut(after, " ")
		return position, rest
	}
	return "", text
}

// logPosition is a place in a log: the number of entries in a term.
type logPosition struct{ term, entries uint64 }

// parsePosition reports false if the text is no position.
func parsePosition(text string) (logPosition, bool) {
	term, entries, _ := strings.Cut(text, ".")
	t, termErr := strconv.ParseUint(term, 10, 64)
	n, entriesErr := strconv.ParseUint(entries, 10, 64)
	return logPosition{t, n}, termErr == nil && entriesErr == nil
}

// isBehind reports whether a log at position p lacks what one at other has.
func (p logPosition) isBehind(other logPosition) bool {
	return p.term < other.term || p.term == other.term && p.entries < other.entries
}

// command is a parsed statement. The last field extends to the end of the text and may have blanks.
type command struct {
	word   string
	fields []string
	// after is the position that the log must have.
	after logPosition
}

// form is how many fields a statement has, and whether the last of them may be empty.
type form struct {
	min, max    int
	mayEndEmpty bool
}

var forms = map[string]form{
	"BEGIN":    {min: 0, max: 1},
	"COMMIT":   {},
	"ROLLBACK": {},
	"RESET":    {},
	"READ":     {min: 1, max: 1},
	"WRITE":    {min: 2, max: 2, mayEndEmpty: true},
	"SET":      {min: 2, max: 2, mayEndEmpty: true},
	"PREPARE":  {min: 3, max: 3},
	"EXEC":     {min: 2, max: 3, mayEndEmpty: true},
	"DEALLOC":  {min: 1, max: 1},
	"STATUS":   {},
	"PAUSE":    {min: 1, max: 1},
	"RESUME":   {min: 0, max: 1},
	"STEPDOWN": {min: 1, max: 1},
}

// controls are the statements that ask for a target's status or give it an order.
var controls = []string{"STATUS", "PAUSE", "RESUME", "STEPDOWN"}

// mayFollowPosition are the statements that a position may precede.
var mayFollowPosition = []string{"BEGIN", "READ", "EXEC"}

// IsRequest reports whether the statement is one that a session runs: no setting up of the session, no question for the
// target's status and no order to it.
func (st *Statement) IsRequest() bool {
	word, _, _ := strings.Cut(st.CallerText(), " ")
	return !command{word: word}.isSetup() && !slices.Contains(controls, word)
}

// parseCommand reports false if the text is no statement.
func parseCommand(text string) (command, bool) {
	position, text := cutPosition(text)
	word, rest, hasFields := strings.Cut(text, " ")
	c := command{word: word}
	form, ok := forms[word]
	if position != "" && ok {
		c.after, ok = parsePosition(position)
	}
	if !ok || position != "" && !slices.Contains(mayFollowPosition, word) {
		return c, false
	}
	if hasFields {
		if form.max == 0 {
			return c, false
		}
		c.fields = strings.SplitN(rest, " ", form.max)
	}
	return c, len(c.fields) >= form.min && form.hasValidFields(c.fields) && c.hasValidKind()
}

func (f form) hasValidFields(fields []string) bool {
	for i, field := range fields {
		if field == "" && !(f.mayEndEmpty && i > 0 && i == f.max-1) {
			return false
		}
	}
	return true
}

// hasValidKind reports whether the field that states a kind of transaction or statement, if there is one,
// is valid.
func (c command) hasValidKind() bool {
	switch {
	case c.word == "BEGIN" && len(c.fields) > 0:
		return c.fields[0] == KindRead
	case c.word == "PREPARE":
		return c.fields[1] == KindRead || c.fields[1] == KindWrite
	}
	return true
}

// isSetup reports whether the statement changes what later ones run with, and nothing else.
func (c command) isSetup() bool {
	switch c.word {
	case "SET", "PREPARE", "RESET", "DEALLOC":
		return true
	}
	return false
}

// occupiesSlot reports whether a statement occupies a slot: reads, writes, commits and the status do.
func occupiesSlot(text string) bool {
	_, text = cutPosition(text)
	word, _, _ := strings.Cut(text, " ")
	switch word {
	case "READ", "WRITE", "EXEC", "COMMIT", "STATUS":
		return true
	}
	return false
}
