package quicpeer

import (
	"context"
	"net"
	"sync"

	"github.com/quic-go/quic-go"
)

const (
	// maxStrangers bounds the connections that are not yet allowed, maxAddressStrangers those from one IP address,
	// which is that of one node or a few.
	maxStrangers        = 1024
	maxAddressStrangers = 32
	// validateFrom is the part of these bounds, as a divisor, from which on a new connection's source address is
	// validated first. That takes no memory, but one more round trip.
	validateFrom = 4
)

// errCrowded refuses a connection at these bounds.
var errCrowded = Error.New("too many connections that are not yet allowed")

// strangers counts the accepted connections that Server.Allow has not allowed yet: anyone can open them.
type strangers struct {
	mu        sync.Mutex
	total     int
	byAddress map[string]int
}

// mustValidate is quic.Transport.VerifySourceAddress.
func (s *strangers) mustValidate(from net.Addr) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total >= maxStrangers/validateFrom || s.byAddress[ipOf(from)] >= maxAddressStrangers/validateFrom
}

// allowKey is the key of the function that ends the counting of a connection in its context.
type allowKey struct{}

// begin is quic.Transport.ConnContext.
func (s *strangers) begin(ctx context.Context, from *quic.ClientInfo) (context.Context, error) {
	ip := ipOf(from.RemoteAddr)
	if !s.add(ip) {
		counters.Add(counterCrowded, 1)
		return nil, errCrowded
	}
	end := sync.OnceFunc(func() { s.remove(ip) })
	context.AfterFunc(ctx, end)
	return context.WithValue(ctx, allowKey{}, end), nil
}

// allow ends the counting of conn.
func (s *strangers) allow(conn *quic.Conn) {
	if end, ok := conn.Context().Value(allowKey{}).(func()); ok {
		end()
	}
}

// add counts a connection from ip. It reports false if there are too many.
func (s *strangers) add(ip string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.total >= maxStrangers || s.byAddress[ip] >= maxAddressStrangers {
		return false
	}
	s.total++
	if s.byAddress == nil {
		s.byAddress = make(map[string]int)
	}
	s.byAddress[ip]++
	return true
}

func (s *strangers) remove(ip string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total--
	if s.byAddress[ip]--; s.byAddress[ip] == 0 {
		delete(s.byAddress, ip)
	}
}

func ipOf(address net.Addr) string {
	if udp, ok := address.(*net.UDPAddr); ok {
		return udp.IP.String()
	}
	return ""
}
