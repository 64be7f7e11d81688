package front

import (
	"context"
	"io"
	"time"
)

// lingerTime is how long a session that has ended waits for its caller to close the connection. It is
// longer than the shortest time after which a lost packet is sent again.
const lingerTime = 500 * time.Millisecond

// maxLingerBytes is how much is read and dropped of what a caller still sends: more than a message. A caller that sends
// more has to wait, which costs the node nothing.
const maxLingerBytes = 4 << 20

// linger ends the sending side of the connection. The caller gets all that was written and then the end of
// the stream; what it still sends is read and dropped until it closes the connection too, at most for
// lingerTime and maxLingerBytes. Closing a connection with input unread would reset it, and the caller could lose the end of
// the last answer.
func (s *session) linger() {
	half, ok := s.conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	end := time.Now().Add(lingerTime)
	_ = s.conn.SetReadDeadline(end)
	if _, err := io.CopyN(io.Discard, s.conn, maxLingerBytes); err == nil {
		ctx, cancel := context.WithDeadline(s.server.ctx, end)
		defer cancel()
		<-ctx.Done()
	}
}
