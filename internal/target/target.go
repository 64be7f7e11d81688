// Package target defines the interface to database targets, independent of their protocol.
// Package pgtarget implements it for the PostgreSQL protocol.
//
// The system assumes only the following of targets (docs/ASSUMPTIONS.md):
//   - A target reports its role, its term and the position of its log.
//   - A target adopts a higher term when told to, for a single orderer, which is the node that
//     carries out a promotion. From then on the target is a replica, and refuses log entries
//     and commits of lower terms.
//   - A target can be promoted to primary at the term that it adopted.
//   - A target that follows a new primary first drops the log entries that the new primary's
//     log lacks.
package target

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"crocusyoke/internal/logpos"
)

// ErrNotOrdered is the class of errors after which a promotion is known not to have been ordered,
// and so won't take effect.
var ErrNotOrdered = errs.Class("promotion not ordered")

// ErrDeclined is the class of errors of control calls that the target has answered without carrying them out, for
// want of a connection or a slot. The target is alive.
var ErrDeclined = errs.Class("declined by the target")

// ErrLoginRefused is the class of errors of Dial that concern only the login's customer: the target has answered,
// and has refused it.
var ErrLoginRefused = errs.Class("login refused by the target")

// Role is a target's role in its group.
type Role string

// The roles of a target.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
)

// Status is the state that a target reports of itself.
type Status struct {
	// Target is the target's name.
	Target string `json:"target"`
	Role   Role   `json:"role"`
	// Term is the highest term that the target has adopted.
	Term uint64 `json:"term"`
	// Orderer is the node for which the target adopted Term; empty for the first term.
	Orderer string `json:"orderer"`
	// Last is the position of the last entry of the target's log.
	Last logpos.Position `json:"last"`
	// Applied is the position up to which reads reflect the log. At a replica it may be behind
	// Last. It is Last or zero for a target that does not distinguish the two; see ReadablePosition.
	Applied logpos.Position `json:"applied"`
	// Following is the address of the primary that a replica pulls from.
	Following string `json:"following"`
	// LinkAge is the time since a replica last received anything from the primary that it
	// follows, encoded in nanoseconds. It is zero for a primary and for a target that does not
	// report it.
	LinkAge time.Duration `json:"link_age"`
	// OwnTerm is the term that the target itself is in. Term is higher while the target has adopted
	// a term only in memory and an orderer holds it back (held terms). OwnTerm is zero for a target
	// that does not distinguish the two.
	OwnTerm uint64 `json:"own"`
	// Busy is the number of statements that the target is running or queueing; zero for a target
	// that does not report it.
	Busy int `json:"busy"`
}

// ReadablePosition returns the position that reads at the target reflect.
func (s *Status) ReadablePosition() logpos.Position {
	if s.Applied.IsZero() {
		return s.Last
	}
	return s.Applied
}

// Control is a control connection to one target. All its calls are idempotent. After an error
// a call may or may not have taken effect, unless its comment says otherwise.
type Control interface {
	// Status returns the target's status.
	Status(ctx context.Context) (Status, error)
	// Adopt makes the target adopt term for orderer. It fails without effect if the
	// target has adopted a higher term, or the same term for another orderer.
	Adopt(ctx context.Context, term uint64, orderer string) (Status, error)
	// Promote makes the target the primary of term. The target must have adopted term for
	// orderer before. After an error of class ErrNotOrdered the promotion does not take effect;
	// after any other error it may still do so.
	Promote(ctx context.Context, term uint64, orderer string) (Status, error)
	// Follow makes the target a replica that pulls from the primary at address in term.
	Follow(ctx context.Context, term uint64, address string) (Status, error)
	// Close ends the control connection.
	Close() error
}

// Outcome classifies a target's answer independently of its protocol.
type Outcome uint8

// The outcomes of an exchange.
const (
	// Done means that the statement ran and succeeded.
	Done Outcome = iota
	// Failed means that the target answered with an error and may have run the statement.
	Failed
	// ReadOnly means that the target refused a write because it is a replica. Nothing ran.
	ReadOnly
	// Declined means that the target ran nothing, and another target may run the statement.
	Declined
)

// Reply is a target's complete answer to one exchange.
type Reply struct {
	// Messages holds the answer in the wire format of the target's protocol.
	Messages []byte
	// TxStatus is the transaction status after the answer: 'I' (idle), 'T' (in a transaction)
	// or 'E' (in a failed transaction).
	TxStatus byte
	// Code is the target's error code from the first error in the answer; empty if there is none.
	Code string
	// Outcome classifies the answer by its Code.
	Outcome Outcome
	// Position is the target's last log position when the exchange ended. After a commit
	// on a primary it is at or after the commit.
	Position logpos.Position
}

// Conn is one data connection to a target. Only Cancel may be called concurrently with other
// methods. After any error from Exchange other than a *SetUpRefused the connection is unusable and
// must be closed.
type Conn interface {
	// Exchange sends one request in the wire format of the target's protocol and reads the
	// complete answer. sent is false if it failed before anything of the request was written to the
	// connection. With a *SetUpRefused nothing ran, sent is false, and only the reply's TxStatus and Position are
	// set.
	Exchange(ctx context.Context, messages []byte) (reply Reply, sent bool, err error)
	// Cancel asks the target to cancel the running statement.
	Cancel(ctx context.Context) error
	// Close closes the connection without waiting for a running exchange.
	Close() error
}

// Login identifies the target, the database and the customer of a connection.
type Login struct {
	// Address is the target's IP:port, Target its name.
	Address string
	Target  string
	// Database is the name of the database; by default the name of the group.
	Database string
	// Customer is the customer on whose behalf the connection is used; empty if a connection
	// may serve several customers.
	Customer string
}

// Commands holds the requests that the owner sends on its own account, in the wire format of the
// target's protocol.
type Commands struct {
	// Probe checks that a connection works; empty if connections are not probed.
	Probe []byte
	// Rollback rolls the open transaction back.
	Rollback []byte
	// PerCustomer is true if a connection serves only the customer named in its Login.
	PerCustomer bool
}

// Dialer opens connections to targets with the system's own credentials.
type Dialer interface {
	// Dial opens a data connection.
	Dial(ctx context.Context, login Login) (Conn, error)
	// Control opens a control connection.
	Control(ctx context.Context, login Login) (Control, error)
	// Commands returns the requests that the owner sends on its own account.
	Commands() Commands
}

// Names of a parameter and a table at targets, and timeouts of control calls.
const (
	// ParamPosition is the parameter status in which a target reports its last log
	// position (term/index) before ReadyForQuery, whenever it has changed.
	ParamPosition = "group_position"
	// RequestsTable is the table that records idempotency keys in the same database as the
	// data. Its columns are (customer text, key text, fingerprint text, outcome text, primary
	// key (customer, key)).
	RequestsTable = "crocusyoke_requests"
	// ControlTimeout is the timeout of a control call that has no earlier deadline.
	ControlTimeout = 400 * time.Millisecond
	// HeldControlTimeout replaces ControlTimeout for targets that adopt terms only in memory
	// (held terms). It is shorter because the status of such a target is a single short line.
	HeldControlTimeout = 200 * time.Millisecond
)
