package hosted

import (
	"fmt"
	"math/rand/v2"
	"net"
	"time"
)

const (
	// firstPort and portCount bound the ports of targets. They are below those that the kernel gives to
	// outgoing connections, so that a target that was killed finds its own port free again.
	firstPort = 20000
	portCount = 12000
	// listenTimeout bounds the wait for a port that another process has taken meanwhile.
	listenTimeout = 5 * time.Second
)

// listenFixed listens on address, or if that is empty on any port that stays free while nobody listens
// on it.
func listenFixed(address string) (listener net.Listener, err error) {
	listens := func() bool {
		at := address
		if at == "" {
			at = fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		}
		listener, err = net.Listen("tcp", at)
		return err == nil
	}
	WaitFor(listenTimeout, listens)
	return listener, err
}

// Kill stops the target: its port refuses connections and the open ones are closed.
func (t *Target) Kill() {
	t.group.mu.Lock()
	if !t.down {
		t.generation++
	}
	t.down = true
	t.group.mu.Unlock()
	_ = t.listener.Close()
	t.Cut()
}

// Restart starts a target that was killed again, with the log that it had. If another target leads a
// higher term, it is its replica.
func (t *Target) Restart() {
	g := t.group
	g.mu.Lock()
	for _, other := range g.targets {
		if other.primary && !other.down && other.term >= t.term {
			t.primary, t.term = false, other.term
			t.log = append([]logEntry(nil), other.log...)
			t.appliedEntries = len(t.log)
		}
	}
	t.down, t.pausedForTerm = false, 0
	t.startedAt, t.sequence = time.Now(), 0
	address := t.Address
	g.mu.Unlock()
	t.listen(address)
}
