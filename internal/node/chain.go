package node

import (
	"context"
	"crypto/tls"
	mathrand "math/rand/v2"

	"crocusyoke/internal/filter"
	"crocusyoke/internal/filter/idempotency"
	"crocusyoke/internal/pgfront"
	"crocusyoke/internal/request"
	"crocusyoke/internal/target"
)

// newChain returns the filter chain for the requests of callers that connect to this node.
func (n *Node) newChain() *filter.Chain {
	return filter.New(filter.Options{
		Config:   n.config,
		Fresh:    n.config.Fresh,
		Quota:    n.quota,
		Clock:    n.clock,
		Random:   mathrand.New(mathrand.NewPCG(seed(), seed())),
		Local:    n.owner,
		Sessions: n.peers,
		Owners:   n.owners,
		Readers:  n.owners.readers,
	})
}

// assembleFront builds the filter chain and the PostgreSQL server that callers connect to.
func (n *Node) assembleFront() error {
	s := n.settings.Callers
	var config *tls.Config
	if s.Certificate != "" {
		pair, err := tls.LoadX509KeyPair(s.Certificate, s.Key)
		if err != nil {
			return err
		}
		config = &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12}
	}
	n.chain = n.newChain()
	server := pgfront.New(pgfront.Options{
		Node:             n.settings.Node.Name + "." + n.incarnation,
		Config:           n.config,
		Chain:            n.chain,
		Auth:             n.chain.Auth,
		Session:          n.chain.Session,
		Clock:            n.clock,
		Logger:           n.logger,
		TLS:              config,
		Plaintext:        s.Plaintext,
		MaxConnections:   n.connectionLimit(),
		CustomerShare:    s.CustomerShare,
		Priorities:       n.settings.Policy.Priorities,
		MaxExchangeBytes: s.MaxMessage,
		Memory:           n.limitMemory(),
		ForwardCancel:    n.forwardCancel,
		HandshakeTimeout: s.StartupTimeout.Std(),
		StatementTimeout: s.StatementTimeout.Std(),
		WriteTimeout:     s.WriteTimeout.Std(),
	})
	n.front, n.cancel = server, server.Cancel
	return nil
}

// assemblePeers builds the server of the other nodes. Their requests have as much room for answers as those of the node's
// own callers, and a read may change something at its target.
func (n *Node) assemblePeers(config *tls.Config) {
	n.server = n.newPeerServer(config)
	n.server.LimitAnswers(pgfront.AnswerRoom(n.limitMemory()))
	n.peers.ReadsHaveEffects = true
}

func runIdempotent(ctx context.Context, conn target.Conn, req *request.Request) (target.Reply, bool, bool, error) {
	result, sent, err := idempotency.Execute(ctx, conn, req)
	return result.Reply, result.Repeated, sent, err
}

func runIdempotentBegin(ctx context.Context, conn target.Conn, req *request.Request) (target.Reply, bool, bool, error) {
	result, sent, err := idempotency.ExecuteBegin(ctx, conn, req)
	return result.Reply, result.Repeated, sent, err
}
