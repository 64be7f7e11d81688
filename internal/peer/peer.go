// Package peer defines how nodes send each other requests and control messages. Package
// quicpeer implements it over QUIC with mutual TLS: the requests of one caller's session
// share a stream, and each control call has a stream of its own.
package peer

import (
	"context"

	"github.com/zeebo/errs"

	"crocusyoke/internal/request"
)

// Kind is the type of a control message.
type Kind uint8

// The kinds of control message. The request and reply types of a kind are defined by the part of
// the system that its comment names first, and are encoded as CBOR.
const (
	KindProbe       Kind = iota + 1 // membership: probe a node and gossip versions
	KindConfig                      // configuration: fetch the body of a version
	KindQuotaReport                 // quota: report the use of customers' rates and obtain shares of them
	KindSuspect                     // promotion: ask a node in another failure domain whether it reaches a target
	KindUnfit                       // ownership: announce the groups that a node can't serve
	KindCancel                      // entry: cancel a caller's running statement
	KindStatus                      // cli: read a node's status
	KindNews                        // configuration: announce a new version
)

// ErrRefused is the class of errors that show that the other node is running: it closed the
// connection on purpose, for example because it does not know this node.
var ErrRefused = errs.Class("refused by peer")

// Caller calls other nodes.
type Caller interface {
	// Call sends request to the node at address and decodes its answer into reply.
	// Both must be encodable as CBOR. After an error the call may or may not have taken
	// effect. An error of class ErrRefused shows that the other node is running.
	Call(ctx context.Context, address string, kind Kind, request, reply any) error
}

// Sessions forwards the requests of sessions to other nodes.
type Sessions interface {
	// Open returns a Handler that sends one session's requests to the node at address.
	Open(address string) request.Handler
}

// ServeFunc handles a control message, whose payload is encoded as CBOR. from is the node name
// in the caller's certificate.
type ServeFunc func(ctx context.Context, from string, payload []byte) (reply any, err error)
