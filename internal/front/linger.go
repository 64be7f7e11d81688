package front

import (
	"io"
	"time"
)

// lingerTime is how long a session that has ended waits for its caller to close the connection. It is
// longer than the shortest time after which a lost packet is sent again.
const lingerTime = 500 * time.Millisecond

// linger ends the sending side of the connection. The caller gets all that was written and then the end of
// the stream; what it still sends is read and dropped until it closes the connection too, at most for
// lingerTime. Closing a connection with input unread would reset it, and the caller could lose the end of
// the last answer.
func (s *session) linger() {
	s.server.lingering.Add(1)
	defer s.server.lingering.Add(-1)
	half, ok := s.conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	_ = s.conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, s.conn)
}
