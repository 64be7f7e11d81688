package quicpeer

import (
	"context"
	"fmt"
	"net"
	"testing"

	"github.com/quic-go/quic-go"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

// TestStrangersAreBounded guards against strangers that open connections without end, from one address or from many,
// against one address that keeps out the others, and against connections that count for longer than they last.
func TestStrangersAreBounded(t *testing.T) {
	var s strangers
	var cancels []context.CancelFunc
	begin := func(ip string) error {
		ctx, cancel := context.WithCancel(t.Context())
		_, err := s.begin(ctx, &quic.ClientInfo{RemoteAddr: &net.UDPAddr{IP: net.ParseIP(ip)}})
		cancels = append(cancels, cancel)
		return err
	}
	near := &net.UDPAddr{IP: net.ParseIP("127.0.0.9")}
	for i := range maxAddressStrangers {
		must.Eq(t, i >= maxAddressStrangers/validateFrom, s.mustValidate(near))
		must.NoError(t, begin("127.0.0.9"))
	}
	must.Error(t, begin("127.0.0.9"))
	for i := range maxStrangers - maxAddressStrangers {
		must.NoError(t, begin(fmt.Sprintf("127.1.%d.%d", i/16, i%16)))
	}
	must.True(t, s.mustValidate(&net.UDPAddr{IP: net.ParseIP("127.2.0.1")}))
	must.Error(t, begin("127.2.0.1"))
	for _, cancel := range cancels {
		cancel()
	}
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.total == 0 && len(s.byAddress) == 0
	})))
}
