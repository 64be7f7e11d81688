package idle

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestCheckSeesTheFarEnd checks what is found on a connection that is quiet, on which bytes arrive, and whose far
// end closes it, and that a check consumes nothing.
func TestCheckSeesTheFarEnd(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	near, err := net.Dial("tcp", listener.Addr().String())
	must.NoError(t, err)
	defer near.Close()
	far, err := listener.Accept()
	must.NoError(t, err)
	c := New(near)
	must.NoError(t, c.Err())
	_, err = far.Write([]byte("x"))
	must.NoError(t, err)
	eventually(t, c, ErrUnsolicited)
	buffer := make([]byte, 2)
	n, err := near.Read(buffer)
	must.NoError(t, err)
	must.Eq(t, 1, n)
	must.NoError(t, c.Err())
	must.NoError(t, far.Close())
	eventually(t, c, io.EOF)
	must.Zero(t, testing.AllocsPerRun(10, func() { _ = c.Err() }))
	pipe, _ := net.Pipe()
	must.NoError(t, New(pipe).Err())
}

func eventually(t *testing.T, c *Check, want error) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); {
		if c.Err() == want {
			return
		}
	}
	must.ErrorIs(t, c.Err(), want)
}
