package front

import "github.com/fxamacker/cbor/v2"

// Verb says what a statement asks for.
type Verb uint8

// The verbs.
const (
	// VerbInvalid is a statement that can't be read.
	VerbInvalid Verb = iota
	// VerbBegin opens a transaction.
	VerbBegin
	// VerbCommit ends it and keeps its effect.
	VerbCommit
	// VerbRollback ends it and drops its effect.
	VerbRollback
	// VerbRead reads one item.
	VerbRead
	// VerbWrite writes one item.
	VerbWrite
	// VerbSet sets a session value.
	VerbSet
	// VerbPrepare names a statement's shape.
	VerbPrepare
	// VerbExecute runs a prepared statement.
	VerbExecute
	// VerbDeallocate drops a prepared name.
	VerbDeallocate
)

// Shape is what a prepared statement does, whatever its name.
type Shape struct {
	Writes bool   `cbor:"1,keyasint"`
	Name   string `cbor:"2,keyasint"`
}

// Statement is one statement of a caller.
type Statement struct {
	// ID is the caller's name for the statement; the target is told the same.
	ID   string
	Verb Verb
	// ReadOnly is true for a Begin of a transaction that only reads.
	ReadOnly bool
	// Name is the session value's or the prepared statement's name.
	Name string
	// Value is the session value.
	Value string
	// Shape is what a Prepare names.
	Shape Shape
	// Arguments follow the name of an Execute.
	Arguments string
	// Text is the statement as the caller wrote it.
	Text string
}

// Setting is one session value.
type Setting struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Call is one statement on its way to a target, with the session's state that the
// connection there must have first. It is what request.Request.Messages holds.
type Call struct {
	ID   string `cbor:"1,keyasint"`
	Text string `cbor:"2,keyasint"`
	// Shape is set for the run of a prepared statement: Text then holds its arguments.
	Shape *Shape `cbor:"3,keyasint,omitempty"`
	// Settings are the session's values. KeepSettings leaves those of the connection.
	Settings     []Setting `cbor:"4,keyasint,omitempty"`
	KeepSettings bool      `cbor:"5,keyasint,omitempty"`
}

// Encode returns the form that DecodeCall reads.
func (c *Call) Encode() ([]byte, error) { return cbor.Marshal(c) }

// DecodeCall reads the form that Encode writes.
func DecodeCall(messages []byte) (*Call, error) {
	call := &Call{}
	if err := cbor.Unmarshal(messages, call); err != nil {
		return nil, Error.New("undecodable call: %w", err)
	}
	return call, nil
}
