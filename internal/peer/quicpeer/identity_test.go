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

// process is one process of a node that made its own certificate.
type process struct {
	address string
	config  *tls.Config
	client  *Client
	stop    func()
}

// startProcess runs a node's process at address. allow may be nil.
func startProcess(t *testing.T, name, address string, allow func(context.Context, Peer) bool) *process {
	config, err := EphemeralTLS(name, RoleNode)
	must.NoError(t, err)
	packets, err := net.ListenPacket("udp", address)
	must.NoError(t, err)
	s := NewServer(name, config, clock.Wall{}, &owner{})
	s.Allow = allow
	s.ResetKey = ResetKeyOf(name, packets.LocalAddr().String())
	s.Handle(peer.KindProbe, false, func(_ context.Context, from string, _ []byte) (any, error) { return from, nil })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, packets) }()
	p := &process{address: packets.LocalAddr().String(), config: config, client: NewClient(config, listen(t), clock.Wall{}, nil)}
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

// A node's next process proves its key at the listed address. Nobody else can, and a false
// claim does not cost the node its link.
func TestKeyIsProvedAtTheListedAddress(t *testing.T) {
	peerNode := startProcess(t, "n2", "127.0.0.1:0", nil)
	// Nobody else listens on this address, so that its port is free for the next process.
	first := startProcess(t, "n1", "127.0.0.79:0", nil)
	stranger, err := EphemeralTLS("n1", RoleNode)
	must.NoError(t, err)
	proves := func(config *tls.Config) bool {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		return peerNode.client.Proves(ctx, first.address, Fingerprint(config))
	}
	must.True(t, proves(first.config))
	link, err := peerNode.client.connect(context.Background(), first.address)
	must.NoError(t, err)
	must.False(t, proves(stranger))
	must.NoError(t, link.Context().Err())
	first.stop()
	// The link may look open until its end has arrived.
	for limit := time.Now().Add(5 * time.Second); proves(first.config); time.Sleep(time.Millisecond) {
		must.True(t, time.Now().Before(limit))
	}
	second := startProcess(t, "n1", first.address, nil)
	must.True(t, proves(second.config))
	must.False(t, proves(first.config))
}

// A stranger that takes a node's name is not heard, and an answer under another name than
// the listed one is not taken.
func TestNamesAloneProveNothing(t *testing.T) {
	known := startProcess(t, "n1", "127.0.0.1:0", nil)
	heard := startProcess(t, "n2", "127.0.0.1:0", func(_ context.Context, p Peer) bool {
		return p.Name == "n1" && p.Fingerprint == Fingerprint(known.config) && p.IP == "127.0.0.1"
	})
	stranger := startProcess(t, "n1", "127.0.0.1:0", nil)
	must.NoError(t, known.probe(heard.address))
	err := stranger.probe(heard.address)
	must.True(t, peer.Refused.Has(err), must.Sprint(err))
	careful := startProcess(t, "n1", "127.0.0.1:0", nil)
	careful.client.Accept = func(_, name string) bool { return name == "n3" }
	err = careful.probe(heard.address)
	must.ErrorContains(t, err, "node n2 answers")
	heard.stop()
	must.False(t, peer.Refused.Has(stranger.probe(heard.address)))
}
