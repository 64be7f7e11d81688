// Package request defines what passes along the filter chain: one Request is one
// exchange of the PostgreSQL protocol (a simple query, or an extended batch up to its
// Sync), one Response is the whole answer up to ReadyForQuery.
//
// A Handler owns a Request until it returns. A Handler that returns an error has sent
// the caller nothing; the error is a *Refusal whose Fate is true.
package request

import (
	"context"
	"time"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/logpos"
)

// ID identifies one request for its whole way to a target and back.
type ID struct {
	// Session identifies the caller's connection; unique over the fleet.
	Session string `cbor:"1,keyasint"`
	// Sequence counts the session's requests from 1.
	Sequence uint64 `cbor:"2,keyasint"`
}

// Kind is what a request is known to do.
type Kind uint8

// The kinds of request.
const (
	// KindWrite may change data, or nothing is known of it.
	KindWrite Kind = iota
	// KindRead changes nothing.
	KindRead
	// KindBegin opens a transaction that may write.
	KindBegin
	// KindBeginRead opens a read-only transaction.
	KindBeginRead
	// KindInTransaction continues the session's open transaction.
	KindInTransaction
	// KindCommit ends it and keeps its effect.
	KindCommit
	// KindRollback ends it and drops its effect.
	KindRollback
)

// Request is one exchange asked for by a caller.
type Request struct {
	ID       ID     `cbor:"1,keyasint"`
	Customer string `cbor:"2,keyasint"`
	Service  string `cbor:"3,keyasint"`
	Group    string `cbor:"4,keyasint"`
	Kind     Kind   `cbor:"5,keyasint"`
	// Profile is the profile in force when the request arrived.
	Profile fleet.Profile `cbor:"6,keyasint"`
	// Token is the newest position of Group that the session has written or read; it is
	// zero when Known is false.
	Token logpos.Position `cbor:"7,keyasint"`
	// TokenKnown is false when the caller's position is not known, so that only the
	// primary may answer.
	TokenKnown bool `cbor:"8,keyasint"`
	// IdempotencyKey makes a write run at most once; empty for none.
	IdempotencyKey string `cbor:"9,keyasint"`
	// Weight is the customer's weight at a contended target.
	Weight int `cbor:"10,keyasint"`
	// Deadline is when the caller stops waiting. It crosses nodes as Remaining.
	Deadline time.Time `cbor:"-"`
	// Remaining is the time left until Deadline when the request left its last node.
	Remaining time.Duration `cbor:"11,keyasint"`
	// Messages holds frontend messages in wire format: one Query, or an extended batch
	// that ends with Sync. Statements are unnamed.
	Messages []byte `cbor:"12,keyasint"`
	// ConfigVersion is the configuration version that the request was admitted under.
	ConfigVersion uint64 `cbor:"13,keyasint"`
	// Preparation is true for an exchange that only parses and describes what the
	// session's next one may run. It is not charged; two in a row are.
	Preparation bool `cbor:"14,keyasint,omitempty"`
}

// Response is the whole answer to one Request.
type Response struct {
	ID ID `cbor:"1,keyasint"`
	// Messages holds backend messages in wire format; the last is ReadyForQuery.
	Messages []byte `cbor:"2,keyasint"`
	// TxStatus is ReadyForQuery's status: 'I', 'T' or 'E'.
	TxStatus byte `cbor:"3,keyasint"`
	// Position is the log position that the answer reflects; zero if not known.
	Position logpos.Position `cbor:"4,keyasint"`
	// Replica is true when a replica served the request.
	Replica bool `cbor:"5,keyasint"`
	// Target names the target that served it.
	Target string `cbor:"6,keyasint"`
	// Repeated is true when the answer is the recorded outcome of an earlier request
	// with the same idempotency key.
	Repeated bool `cbor:"7,keyasint"`
	// Times say where the time of the answer went.
	Times Times `cbor:"8,keyasint"`
}

// Times are spans of the serving of one request, in nanoseconds.
type Times struct {
	// AtOwner is from the request's arrival at the group's owner to its answer there.
	AtOwner time.Duration `cbor:"1,keyasint"`
	// AtTarget is the exchange with the target that brought the answer. The rest of AtOwner is
	// waiting: for a primary, a slot, a connection, former exchanges, the confirmation.
	AtTarget time.Duration `cbor:"2,keyasint"`
	// Exchanges counts the targets that were asked.
	Exchanges int `cbor:"3,keyasint"`
}

// Handler serves requests. Serve may be called concurrently for different sessions and
// one at a time for one session.
type Handler interface {
	Serve(ctx context.Context, req *Request) (*Response, error)
	// End releases what is held for a session: its open transaction is rolled back.
	End(session string)
}

// String returns the kind's name.
func (k Kind) String() string {
	return [...]string{"write", "read", "begin", "begin read", "in transaction", "commit", "rollback"}[k]
}
