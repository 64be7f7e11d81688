package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"crocusyoke/internal/standin/supervise"
)

const (
	// grace is the time between SIGTERM and SIGKILL.
	grace = 6 * time.Second
	// restartDelay is the delay before a node that has ended is started again.
	restartDelay = 300 * time.Millisecond
	// readinessInterval is the interval at which the balancer asks nodes whether they are ready. A node
	// that fails missesUntilOut times in a row gets no new connections.
	readinessInterval = time.Second
	missesUntilOut    = 2
	// smallPipe is the capacity in bytes of the pipe to a reader that reads no log.
	smallPipe = 4096
)

// node is one node of the fleet.
type node struct {
	name, zone, ip string
	front, ready   string
	spec           supervise.Spec

	mu sync.Mutex
	// stopAt is when the node was last sent SIGTERM. isDown is true while the supervisor or the
	// schedule has ended it, or is about to.
	stopAt   time.Time
	isDown   bool
	isPicked bool
	misses   int
}

// isStopping reports whether the node was being stopped at some time from from until to.
func (n *node) isStopping(from, to time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.stopAt.IsZero() && to.After(n.stopAt) && from.Before(n.stopAt.Add(grace+time.Second))
}

func (n *node) stoppingSince() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stopAt
}

// claim marks the node as down, for the event that ends it. It reports false if it is down already.
func (n *node) claim() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isDown {
		return false
	}
	n.isDown = true
	return true
}

func (n *node) release() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isDown = false
}

// newNode returns the node with the given index, whose settings and log are in dir.
func newNode(index int, network, dir, binary, store, promotions string) (*node, error) {
	zone := string(rune('a' + index%len(zones)))
	n := &node{name: fmt.Sprintf("node-%s-%d", zone, index+1), zone: zone, ip: fmt.Sprintf("%s.%d", network, index+1), isPicked: true}
	n.front, n.ready = n.ip+":8465", n.ip+":8460"
	path := filepath.Join(dir, n.name+".toml")
	settings := fmt.Sprintf(`node = %q
ip = %q
zone = %q
port_range = [7560, 7575]
[listen]
front = %q
ready = %q
[limits]
max_fds = 4000
cpu_share = 0.4
[bounds]
grace_s = %d
[platform]
addr = %q
[cloud_api]
addr = %q
`, n.name, n.ip, n.zone, n.front, n.ready, int(grace.Seconds()), store, promotions)
	n.spec = supervise.Spec{
		Name: n.name, Path: binary, Args: []string{"serve"}, Log: filepath.Join(dir, n.name+".log"),
		Env: []string{"CROCUSYOKE_NODE_FILE=" + path},
	}
	return n, os.WriteFile(path, []byte(settings), 0o600)
}

// isReady asks the node whether it takes callers.
func (n *node) isReady() bool {
	client := http.Client{Timeout: readinessInterval}
	response, err := client.Get("http://" + n.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// unreadPipe replaces the log of the node's next process by a small pipe that nobody reads. close removes
// it.
func (n *node) unreadPipe() (spec supervise.Spec, closePipe func(), err error) {
	spec = n.spec
	spec.Log = n.spec.Log + ".pipe"
	_ = os.Remove(spec.Log)
	if err := syscall.Mkfifo(spec.Log, 0o600); err != nil {
		return spec, nil, err
	}
	pipe, err := os.OpenFile(spec.Log, os.O_RDWR, 0)
	if err != nil {
		return spec, nil, err
	}
	_, err = unix.FcntlInt(pipe.Fd(), unix.F_SETPIPE_SZ, smallPipe)
	return spec, func() { _ = pipe.Close() }, err
}

// balancer chooses nodes for new sessions as the platform does.
type balancer struct{ nodes []*node }

// pick returns a node that gets new connections.
func (b *balancer) pick(random *rand.Rand) *node {
	var in []*node
	for _, n := range b.nodes {
		n.mu.Lock()
		if n.isPicked {
			in = append(in, n)
		}
		n.mu.Unlock()
	}
	if len(in) == 0 {
		in = b.nodes
	}
	return in[random.IntN(len(in))]
}

// ask asks every node once whether it is ready.
func (b *balancer) ask() {
	var wait sync.WaitGroup
	for _, n := range b.nodes {
		wait.Go(func() {
			ready := n.isReady()
			n.mu.Lock()
			defer n.mu.Unlock()
			n.misses++
			if ready {
				n.misses = 0
			}
			n.isPicked = n.misses < missesUntilOut
		})
	}
	wait.Wait()
}
