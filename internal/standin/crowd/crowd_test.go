package crowd

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// pieceTime is the pause between two bytes of a member that sends or reads slowly.
	pieceTime = 300 * time.Millisecond
	// returnTime is the pause before a member whose connection was closed opens another one.
	returnTime = 20 * time.Millisecond
	// readBuffer is the size of a member's receive buffer in bytes, so that few answers fill it.
	readBuffer = 4 << 10
	// longStay is the same where targets have to prepare large answers.
	longStay = 3 * time.Second
	// shortStay is how long a crowd is there before an ordinary caller comes.
	shortStay = 700 * time.Millisecond
)

// crowd is a number of callers that each open connections to an address, one after the other, and misbehave on them.
type crowd struct {
	size int
	// from is the IP address that they come from.
	from, address string
	// visit is what a member does on a connection. When it returns, the member closes the connection.
	visit visit
}

// member is a member's connection. stopped is closed when the crowd leaves.
type member struct {
	net.Conn
	stopped <-chan struct{}
}

// visit is what a member does on a connection. It ends at an error, such as that the connection was closed.
type visit func(m member) error

// start has all members come. They leave when stopped is closed, and the returned function waits for that.
func (c crowd) start(stopped <-chan struct{}) (wait func()) {
	var members sync.WaitGroup
	for range c.size {
		members.Go(func() { c.runMember(stopped) })
	}
	return members.Wait
}

func (c crowd) runMember(stopped <-chan struct{}) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(c.from)}, Timeout: time.Second}
	for {
		if conn, err := dialer.Dial("tcp", c.address); err == nil {
			_ = conn.(*net.TCPConn).SetReadBuffer(readBuffer)
			member{Conn: conn, stopped: stopped}.pay(c.visit)
		}
		select {
		case <-stopped:
			return
		case <-time.After(returnTime):
		}
	}
}

// pay does the visit, which ends at once when the crowd leaves.
func (m member) pay(v visit) {
	over := make(chan struct{})
	defer close(over)
	go func() {
		select {
		case <-m.stopped:
		case <-over:
		}
		// Without this the kernel would keep what was not sent.
		_ = m.Conn.(*net.TCPConn).SetLinger(0)
		_ = m.Close()
	}()
	_ = v(m)
}

// pause waits for d. It fails when the crowd leaves.
func (m member) pause(d time.Duration) error {
	select {
	case <-m.stopped:
		return net.ErrClosed
	case <-time.After(d):
		return nil
	}
}

// steps does one visit after the other on the same connection.
func steps(all ...visit) visit {
	return func(m member) error {
		for _, step := range all {
			if err := step(m); err != nil {
				return err
			}
		}
		return nil
	}
}

// sends sends bytes in one piece, as fast as the other end reads.
func sends(all ...[]byte) visit {
	return func(m member) error {
		_, err := m.Write(bytes.Join(all, nil))
		return err
	}
}

// sendsEndlessly sends the same bytes again and again.
func sendsEndlessly(body []byte) visit {
	return func(m member) error {
		for {
			if _, err := m.Write(body); err != nil {
				return err
			}
		}
	}
}

// sendsInPieces sends a byte at a time, with a pause behind each if it is above 0.
func sendsInPieces(body []byte, pause time.Duration) visit {
	return func(m member) error {
		for i := range body {
			if _, err := m.Write(body[i : i+1]); err != nil {
				return err
			}
			if pause > 0 && m.pause(pause) != nil {
				return net.ErrClosed
			}
		}
		return nil
	}
}

// readsInPieces reads a byte at a time, with a pause behind each.
func readsInPieces(m member) error {
	for {
		if _, err := m.Read(make([]byte, 1)); err != nil {
			return err
		}
		if err := m.pause(pieceTime); err != nil {
			return err
		}
	}
}

// reads reads all that comes until the connection is closed.
func reads(m member) error {
	_, err := io.Copy(io.Discard, m)
	return err
}

// readsByte reads one byte.
func readsByte(m member) error {
	_, err := m.Read(make([]byte, 1))
	return err
}

// sleeps reads nothing and keeps the connection until the crowd leaves.
func sleeps(m member) error {
	<-m.stopped
	return nil
}
