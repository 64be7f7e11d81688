package quicpeer

import (
	"context"
	"crypto/tls"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/peer"
)

// process is a process of a node, with an ephemeral certificate.
type process struct {
	address string
	config  *tls.Config
	client  *Client
	stop    func()
}

// startProcess starts a process of the named node at address. allow is its Server.Allow and may
// be nil.
func startProcess(t *testing.T, name, address string, allow func(context.Context, Peer) bool) *process {
	config, err := EphemeralTLS(name, RoleNode)
	must.NoError(t, err)
	packets, err := net.ListenPacket("udp", address)
	must.NoError(t, err)
	s := NewServer(name, config, clock.Wall{}, &stubOwner{})
	s.Allow = allow
	s.ResetKey = DeriveResetKey(name, packets.LocalAddr().String())
	s.Handle(peer.KindProbe, false, func(_ context.Context, from string, _ []byte) (any, error) { return from, nil })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, packets) }()
	p := &process{address: packets.LocalAddr().String(), config: config, client: NewClient(config, listenUDP(t), clock.Wall{}, nil)}
	stopped := false
	p.stop = func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		must.NoError(t, <-done)
		_ = p.client.Close()
		_ = packets.Close()
	}
	t.Cleanup(p.stop)
	return p
}

func (p *process) probe(address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var from string
	return p.client.Call(ctx, address, peer.KindProbe, "", &from)
}

// HoldsKey must accept the key of the process that runs at the listed address, also after a
// restart, and reject every other key. A check for a wrong key must not close the existing
// connection.
func TestProvesOnlyKeyOfRunningProcess(t *testing.T) {
	verifier := startProcess(t, "n2", "127.0.0.1:0", nil)
	// No other test listens on this IP address, so the port stays free for the next process.
	first := startProcess(t, "n1", "127.0.0.79:0", nil)
	impostor, err := EphemeralTLS("n1", RoleNode)
	must.NoError(t, err)
	proves := func(config *tls.Config) bool {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		return verifier.client.HoldsKey(ctx, first.address, Fingerprint(config))
	}
	must.True(t, proves(first.config))
	link, err := verifier.client.connect(context.Background(), linkKey{first.address, useSessions})
	must.NoError(t, err)
	must.False(t, proves(impostor))
	must.NoError(t, link.Context().Err())
	first.stop()
	// The connection may look open until its end has been noticed.
	for limit := time.Now().Add(5 * time.Second); proves(first.config); time.Sleep(time.Millisecond) {
		must.True(t, time.Now().Before(limit))
	}
	second := startProcess(t, "n1", first.address, nil)
	must.True(t, proves(second.config))
	must.False(t, proves(first.config))
}

// A server must refuse a process that uses a node's name with another certificate, and a client
// must refuse a server whose name is not the listed one.
func TestNameWithoutListedKeyIsRejected(t *testing.T) {
	listed := startProcess(t, "n1", "127.0.0.1:0", nil)
	server := startProcess(t, "n2", "127.0.0.1:0", func(_ context.Context, p Peer) bool {
		return p.Name == "n1" && p.Fingerprint == Fingerprint(listed.config) && p.IP == "127.0.0.1"
	})
	impostor := startProcess(t, "n1", "127.0.0.1:0", nil)
	must.NoError(t, listed.probe(server.address))
	err := impostor.probe(server.address)
	must.True(t, peer.ErrRefused.Has(err), must.Sprint(err))
	strict := startProcess(t, "n1", "127.0.0.1:0", nil)
	strict.client.Accept = func(_, name string) bool { return name == "n3" }
	err = strict.probe(server.address)
	must.ErrorContains(t, err, "node n2 answers")
	server.stop()
	must.False(t, peer.ErrRefused.Has(impostor.probe(server.address)))
}
