// Package request defines the messages that pass along the filter chain. A Request is one
// exchange of the PostgreSQL protocol: a simple query, or an extended-query batch up to its
// Sync. A Response is the complete answer up to ReadyForQuery.
//
// A Handler owns a Request until Serve returns. A Handler that returns an error has sent the
// caller nothing. The error is a *Refusal whose Fate is correct: NotRun only if the request
// certainly had no effect.
package request

import (
	"context"
	"time"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/logpos"
	"crocusyoke/internal/region"
)

// ID identifies one request on its way to a target and back.
type ID struct {
	// Session identifies the caller's connection and is unique in the fleet.
	Session string `cbor:"1,keyasint"`
	// Sequence is the number of the request in its session, from 1.
	Sequence uint64 `cbor:"2,keyasint"`
}

// Kind classifies a request by its effect.
type Kind uint8

// Kinds of requests.
const (
	// KindWrite may change data. It is also the kind of requests that cannot be classified.
	KindWrite Kind = iota
	// KindRead changes nothing.
	KindRead
	// KindBegin opens a transaction that may write.
	KindBegin
	// KindBeginRead opens a read-only transaction.
	KindBeginRead
	// KindInTransaction continues the session's open transaction.
	KindInTransaction
	// KindCommit commits the session's open transaction.
	KindCommit
	// KindRollback rolls back the session's open transaction.
	KindRollback
)

// Request is one exchange requested by a caller.
type Request struct {
	ID       ID     `cbor:"1,keyasint"`
	Customer string `cbor:"2,keyasint"`
	Service  string `cbor:"3,keyasint"`
	Group    string `cbor:"4,keyasint"`
	Kind     Kind   `cbor:"5,keyasint"`
	// Profile is the profile in force when the request arrived.
	Profile fleet.Profile `cbor:"6,keyasint"`
	// MinPosition is the newest position of Group that the session has written or read, which
	// a read must reflect. It is zero if MinPositionKnown is false.
	MinPosition logpos.Position `cbor:"7,keyasint"`
	// MinPositionKnown is false if the session's position in Group is not known. Then only the
	// primary may serve the request.
	MinPositionKnown bool `cbor:"8,keyasint"`
	// IdempotencyKey makes a write run at most once; empty if the caller gave none.
	IdempotencyKey string `cbor:"9,keyasint"`
	// Weight is the customer's weight in scheduling at a contended target.
	Weight int `cbor:"10,keyasint"`
	// Deadline is when the caller stops waiting. It is not sent to other nodes; Remaining is.
	Deadline time.Time `cbor:"-"`
	// Remaining is the time left until Deadline when the request was sent to another node.
	Remaining time.Duration `cbor:"11,keyasint"`
	// Messages holds frontend messages in wire format: one Query, or an extended-query batch
	// that ends with Sync. It refers to no named statements.
	Messages []byte `cbor:"12,keyasint"`
	// ConfigVersion is the version of the configuration under which the request was admitted.
	ConfigVersion uint64 `cbor:"13,keyasint"`
	// PrepareOnly is true for a preparation: an exchange that only parses and describes
	// statements for the session's next exchange. It is not charged. The second of two such exchanges in a row
	// is not marked as a preparation, and so is charged.
	PrepareOnly bool `cbor:"14,keyasint,omitempty"`
	// Priority orders requests that compete for the same room, the lowest first. It is 0 for all requests where
	// the entry node's settings do not enable priorities.
	Priority int `cbor:"15,keyasint,omitempty"`
	// HomeRegions are the regions that the request may be sent to. The caller's node alone may be elsewhere.
	HomeRegions region.Set `cbor:"17,keyasint,omitempty"`
	// Nearby restricts a read to replicas in the failure domain of the node that serves it.
	Nearby bool `cbor:"16,keyasint,omitempty"`
}

// Response is the complete answer to one Request.
type Response struct {
	ID ID `cbor:"1,keyasint"`
	// Messages holds backend messages in wire format; the last one is ReadyForQuery.
	Messages []byte `cbor:"2,keyasint"`
	// TxStatus is the transaction status in ReadyForQuery: 'I', 'T' or 'E'.
	TxStatus byte `cbor:"3,keyasint"`
	// Position is the log position that the answer reflects; zero if unknown.
	Position logpos.Position `cbor:"4,keyasint"`
	// Replica is true if a replica served the request.
	Replica bool `cbor:"5,keyasint"`
	// Target is the name of the target that served the request.
	Target string `cbor:"6,keyasint"`
	// Repeated is true if the answer is the recorded outcome of an earlier request with the
	// same idempotency key.
	Repeated bool `cbor:"7,keyasint"`
	// Times breaks down the time that the request took.
	Times Times `cbor:"8,keyasint"`
}

// Times breaks down the time that serving one request took. Durations are in nanoseconds.
type Times struct {
	// AtOwner is the time from the request's arrival at the group's owner to its answer there.
	AtOwner time.Duration `cbor:"1,keyasint"`
	// AtTarget is the duration of the exchange with the target that gave the answer. The rest
	// of AtOwner is waiting: for a primary, a slot or a connection, in earlier exchanges, and
	// for the confirmation.
	AtTarget time.Duration `cbor:"2,keyasint"`
	// Exchanges is the number of exchanges with targets that the request took.
	Exchanges int `cbor:"3,keyasint"`
}

// Handler serves requests. Serve may be called concurrently for different sessions, but only
// one call at a time is made for one session.
type Handler interface {
	Serve(ctx context.Context, req *Request) (*Response, error)
	// End releases everything held for a session and rolls back its open transaction.
	End(session string)
}

// IsInTransaction reports whether a request of this kind belongs to the session's open transaction.
func (k Kind) IsInTransaction() bool {
	return k == KindInTransaction || k == KindCommit || k == KindRollback
}

func (k Kind) String() string {
	return [...]string{"write", "read", "begin", "begin read", "in transaction", "commit", "rollback"}[k]
}
