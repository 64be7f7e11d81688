// Package quicpeer carries package peer's messages over QUIC with mutual TLS.
//
// Each control call uses its own stream. A caller's session keeps one stream to an owner
// until the session ends. The stream separates its answers from those of other sessions,
// and the end of the stream tells the owner that the session has ended. A connection on
// which nothing arrives for IdleTimeout is closed, because a new connection to the same
// address may work.
//
// Identity: the certificate's common name is the node's name, and its organizational unit
// is the role. Operators may only make calls of the kinds that Server.Handle permits them.
package quicpeer
