package front

import "github.com/fxamacker/cbor/v2"

// Verb is the kind of a statement.
type Verb uint8

// The verbs.
const (
	// VerbInvalid is a statement that cannot be parsed.
	VerbInvalid Verb = iota
	// VerbBegin opens a transaction.
	VerbBegin
	// VerbCommit commits the open transaction.
	VerbCommit
	// VerbRollback rolls back the open transaction.
	VerbRollback
	// VerbRead reads one item.
	VerbRead
	// VerbWrite writes one item.
	VerbWrite
	// VerbSet sets a session setting.
	VerbSet
	// VerbPrepare prepares a statement under a name.
	VerbPrepare
	// VerbExecute runs a prepared statement.
	VerbExecute
	// VerbDeallocate drops a prepared statement.
	VerbDeallocate
)

// String returns the verb's name in log lines.
func (v Verb) String() string {
	names := [...]string{
		"invalid", "begin", "commit", "rollback", "read", "write", "set", "prepare", "execute", "deallocate",
	}
	return names[min(v, VerbDeallocate)]
}

// StatementTemplate is the content of a prepared statement, without the name that the caller
// prepared it under. Connections to targets prepare templates under names of their own, so that
// callers can share them.
type StatementTemplate struct {
	// Writes is true if the statement writes, false if it reads.
	Writes bool `cbor:"1,keyasint"`
	// Name is the item that the statement reads or writes.
	Name string `cbor:"2,keyasint"`
}

// Statement is one statement of a caller. Which fields are set depends on Verb.
type Statement struct {
	// ID identifies the statement. The caller chooses it, and it is passed on to the target.
	ID   string
	Verb Verb
	// ReadOnly is true if a VerbBegin opens a read-only transaction.
	ReadOnly bool
	// Name is the name of the session setting or of the prepared statement.
	Name string
	// Value is the new value of the session setting.
	Value string
	// Shape is the content of the statement that a VerbPrepare prepares.
	Shape StatementTemplate
	// Arguments are the arguments of a VerbExecute, as the caller wrote them.
	Arguments string
	// Text is the statement as the caller wrote it.
	Text string
}

// Setting is one session setting.
type Setting struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Call is one statement for a target, with the session state that the connection to the target
// must have before the statement runs. Its encoded form is sent as request.Request.Messages.
type Call struct {
	ID   string `cbor:"1,keyasint"`
	Text string `cbor:"2,keyasint"`
	// Shape is the prepared statement to run, with Text as its arguments; nil if Text is the
	// statement itself.
	Shape *StatementTemplate `cbor:"3,keyasint,omitempty"`
	// Settings are all settings of the session. Before the statement runs, the connection is
	// given exactly these settings. If the field KeepSettings is true, the connection's settings
	// are left as they are instead.
	Settings     []Setting `cbor:"4,keyasint,omitempty"`
	KeepSettings bool      `cbor:"5,keyasint,omitempty"`
}

// Encode returns the CBOR form of the call.
func (c *Call) Encode() ([]byte, error) { return cbor.Marshal(c) }

// callDecoder takes texts as they are: a caller's statement need not be valid UTF-8.
var callDecoder = newCallDecoder()

func newCallDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// DecodeCall decodes what Encode returned.
func DecodeCall(messages []byte) (*Call, error) {
	call := &Call{}
	if err := callDecoder.Unmarshal(messages, call); err != nil {
		return nil, Error.New("undecodable call: %w", err)
	}
	return call, nil
}
