package gate

import (
	"net"
	"testing"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"crocusyoke/internal/admission"
	"crocusyoke/internal/clock"
)

// from is a connection from an IP address. closed counts how often it was closed.
type from struct {
	net.Conn
	ip     string
	closed int
}

func (f *from) RemoteAddr() net.Addr { return &net.TCPAddr{IP: net.ParseIP(f.ip)} }

func (f *from) Close() error {
	f.closed++
	return nil
}

// TestConnectionThatGivesWayIsClosed guards against a connection that the table has dropped and that stays open or
// becomes a session, and against one that has left and keeps its place.
func TestConnectionThatGivesWayIsClosed(t *testing.T) {
	g := New("callers", admission.Limits{Connections: 3, Sessions: 2, CustomerShare: 0.5}, clock.Wall{}, log.NewNopLogger())
	conns := make([]*from, 3)
	visits := make([]*Visit, 3)
	for i := range conns {
		conns[i] = &from{ip: "127.0.0.9"}
		visits[i] = g.Enter(conns[i])
		must.NotNil(t, visits[i])
	}
	turnedAway := &from{ip: "127.0.0.9"}
	must.Nil(t, g.Enter(turnedAway))
	must.Eq(t, 1, turnedAway.closed)
	other := g.Enter(&from{ip: "127.0.0.1"})
	must.NotNil(t, other)
	must.Eq(t, 1, conns[2].closed)
	must.False(t, visits[2].Login("a"))
	visits[2].Leave()
	must.True(t, visits[0].Login("a"))
	must.False(t, visits[1].Login("a"))
	must.True(t, other.Login("b"))
	visits[0].End()
	must.True(t, visits[1].Login("a"))
	for _, v := range append(visits, other) {
		v.Leave()
		v.Leave()
	}
	must.Eq(t, 0, g.level((*admission.Table).Connections))
	must.MapEmpty(t, g.conns)
	must.Eq(t, "2", g.customerFull.String())
	must.Eq(t, "1", g.displaced.String())
}
