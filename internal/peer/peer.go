// Package peer carries messages between nodes over QUIC with mutual TLS: one stream a
// caller's session for requests, and one stream a call for control messages.
package peer

import (
	"context"

	"github.com/zeebo/errs"

	"crocusyoke/internal/request"
)

// Kind tells control messages apart.
type Kind uint8

// The kinds of control message. The package that owns a kind defines its request and
// reply types, encoded as CBOR.
const (
	KindProbe   Kind = iota + 1 // membership: probe, with gossip of versions
	KindConfig                  // configuration: fetch a version's body
	KindShare                   // quota: parts of a customer's rate
	KindSuspect                 // promotion: ask another failure domain's view of a target
	KindUnfit                   // ownership: the groups that a node can't serve
	KindCancel                  // entry: cancel a caller's running statement
	KindStatus                  // cli: a node's status
)

// Refused is the class of errors after which the other node is known to run: it ended the
// connection on purpose, as one that does not know this node does.
var Refused = errs.Class("refused by peer")

// Caller calls other nodes.
type Caller interface {
	// Call sends request to the node at address and decodes its answer into reply.
	// Both are CBOR-encodable structs. An error leaves the effect unknown; it may be Refused.
	Call(ctx context.Context, address string, kind Kind, request, reply any) error
}

// Sessions opens a session's way to another node.
type Sessions interface {
	// Open returns a Handler that serves one session's requests at the node at address.
	Open(address string) request.Handler
}

// ServeFunc answers a control message. from is the name in the caller's certificate.
type ServeFunc func(ctx context.Context, from string, payload []byte) (reply any, err error)
