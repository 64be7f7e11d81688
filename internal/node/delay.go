package node

import (
	"net"
	"time"
)

// delayTo returns the artificial one-way latency for messages to the node at address. It is
// zero for nodes in this node's failure domain.
func (n *Node) delayTo(address string) time.Duration {
	delay := n.settings.Delay.Domains.Std()
	if delay == 0 {
		return 0
	}
	for _, m := range n.membership.View().Members {
		if m.Address == address && m.Domain == n.settings.Node.Domain {
			return 0
		}
	}
	return delay
}

// withCallerDelay returns listener with the configured artificial latency between callers and
// this node added to each of its connections.
func (n *Node) withCallerDelay(listener net.Listener) net.Listener {
	delay := n.settings.Delay.Callers.Std()
	if delay == 0 {
		return listener
	}
	return delayListener{Listener: listener, delay: delay}
}

// delayListener adds a latency to the connections that it accepts.
type delayListener struct {
	net.Listener
	delay time.Duration
}

// Accept implements net.Listener.
func (l delayListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return delayConn{Conn: conn, delay: l.delay}, nil
}

// delayConn adds a latency to each read and each write.
type delayConn struct {
	net.Conn
	delay time.Duration
}

// Read implements net.Conn.
func (c delayConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == nil {
		time.Sleep(c.delay)
	}
	return n, err
}

// Write implements net.Conn.
func (c delayConn) Write(p []byte) (int, error) {
	time.Sleep(c.delay)
	return c.Conn.Write(p)
}
