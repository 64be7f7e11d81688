package crowd

import (
	"context"
	"crypto/rand"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/shoenig/test/must"

	"crocusyoke/internal/peer/quicpeer"
)

const (
	// strangers is the number of connections that strangers have under way at the same time.
	strangers = 4000
	// strangerStreams is the number of streams of such a connection, on each of which strangerBytes are sent.
	strangerStreams = 8
	strangerBytes   = 400 << 10
	strangerTimeout = 10 * time.Second
	// strangerStay is how long strangers are there before an ordinary caller comes.
	strangerStay = 2500 * time.Millisecond
	// garbageSize is the size in bytes of a packet that is none of the protocol.
	garbageSize = 1200
)

// deafConn is a socket that drops what it receives, so that handshakes go no further than their first packet.
type deafConn struct{ net.PacketConn }

// ReadFrom implements net.PacketConn.
func (d deafConn) ReadFrom(p []byte) (n int, from net.Addr, err error) {
	for err == nil {
		n, from, err = d.PacketConn.ReadFrom(p)
	}
	return n, from, err
}

func listenStranger(t *testing.T) *net.UDPConn {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(crowdAddress)})
	must.NoError(t, err)
	return conn
}

// dialing has strangers open connections between nodes over packets, again and again, and visit them. They claim
// a listed node's name, but have no certificate of its.
func dialing(t *testing.T, packets net.PacketConn, address string, size int, visit func(*quic.Conn, <-chan struct{})) attack {
	config, err := quicpeer.EphemeralTLS(hostedName, quicpeer.RoleNode)
	must.NoError(t, err)
	to, err := net.ResolveUDPAddr("udp", address)
	must.NoError(t, err)
	return func(stopped <-chan struct{}) func() {
		transport := &quic.Transport{Conn: packets}
		ctx, cancel := context.WithCancel(context.Background())
		var all sync.WaitGroup
		for range size {
			all.Go(func() {
				for ctx.Err() == nil {
					options := &quic.Config{HandshakeIdleTimeout: strangerTimeout, MaxIdleTimeout: strangerTimeout}
					if conn, err := transport.Dial(ctx, to, config, options); err == nil {
						visit(conn, stopped)
						_ = conn.CloseWithError(0, "")
					}
					time.Sleep(returnTime)
				}
			})
		}
		return func() {
			cancel()
			all.Wait()
			_ = packets.Close()
			_ = transport.Close()
		}
	}
}

// sendsOnStreams sends on several streams without reading.
func sendsOnStreams(conn *quic.Conn, stopped <-chan struct{}) {
	for range strangerStreams {
		stream, err := conn.OpenStream()
		if err != nil {
			break
		}
		go func() { _, _ = stream.Write(append([]byte{2, 4, 0, 0, 0}, make([]byte, strangerBytes)...)) }()
	}
	select {
	case <-stopped:
	case <-conn.Context().Done():
	}
}

// sendsGarbage sends packets of random bytes that look like the first ones of connections.
func sendsGarbage(packets *net.UDPConn, address string) attack {
	return func(stopped <-chan struct{}) func() {
		var sender sync.WaitGroup
		sender.Go(func() {
			defer packets.Close()
			to, err := net.ResolveUDPAddr("udp", address)
			body := make([]byte, garbageSize)
			for err == nil {
				select {
				case <-stopped:
					return
				default:
				}
				_, _ = rand.Read(body)
				body[0] |= 0xc0
				copy(body[1:], []byte{0, 0, 0, 1, 8})
				_, _ = packets.WriteTo(body, to)
			}
		})
		return sender.Wait
	}
}

// sufferStrangers plays strangers against the port between nodes of a node that start returns.
func sufferStrangers(t *testing.T, start func() (*victim, string)) {
	t.Helper()
	for _, newAttack := range []func(address string) attack{
		func(address string) attack { return sendsGarbage(listenStranger(t), address) },
		func(address string) attack {
			return dialing(t, deafConn{listenStranger(t)}, address, strangers, sendsOnStreams)
		},
		func(address string) attack {
			return dialing(t, listenStranger(t), address, strangers/20, sendsOnStreams)
		},
	} {
		node, address := start()
		node.suffer(t, newAttack(address), strangerStay)
	}
}

func TestPostgresStrangersAtPeersPort(t *testing.T) {
	sufferStrangers(t, func() (*victim, string) {
		node, n := startPostgres(t)
		return node, n.Peers
	})
}

func TestHostedStrangersAtPeersPort(t *testing.T) {
	sufferStrangers(t, func() (*victim, string) { return startHosted(t), fleet.address(peerPort) })
}
