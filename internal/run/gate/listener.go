package gate

import "net"

// Listener is a listener whose connections pass a Gate. None of them becomes a session.
type Listener struct {
	net.Listener
	Gate *Gate
}

// Accept implements net.Listener. Connections for which there is no room are closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if visit := l.Gate.Enter(conn); visit != nil {
			return &visitingConn{conn, visit}, nil
		}
	}
}

// visitingConn is a connection that leaves the Gate when it is closed.
type visitingConn struct {
	net.Conn
	visit *Visit
}

// Close implements net.Conn.
func (c *visitingConn) Close() error {
	c.visit.Leave()
	return c.Conn.Close()
}
