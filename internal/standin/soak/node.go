package soak

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"crocusyoke/internal/standin/link"
	"crocusyoke/internal/standin/supervise"
)

const (
	// grace is the time between SIGTERM and SIGKILL.
	grace = 6 * time.Second
	// afterGrace is how long after the grace period a SIGTERM still counts as planned work.
	afterGrace = time.Second
	// restartDelay is the delay before a node that has ended is started again.
	restartDelay = 300 * time.Millisecond
	// startTime is how long a process may take until it handles signals.
	startTime = 500 * time.Millisecond
	// smallPipe is the capacity in bytes of the pipe to a reader that reads no log.
	smallPipe = 4096
)

// The signals of planned work.
const (
	sigterm = "SIGTERM"
	sighup  = "SIGHUP"
)

// layout is the order in which nodes are placed in zones; six nodes are three, two and one.
var layout = []string{"a", "b", "c", "a", "b", "a"}

// node is one node of the fleet.
type node struct {
	name, zone, ip string
	front, ready   string
	// callers is the address at which callers reach front, through entry if their links have a delay.
	callers string
	entry   *link.Link
	spec    supervise.Spec
	// settingsPath is the settings file, which is replaced while settingsMu is held.
	settingsPath string
	settingsMu   sync.Mutex

	mu sync.Mutex
	// stops and hangups hold when the node was sent SIGTERM, the first one of each stop, and SIGHUP.
	stops, hangups []time.Time
	// isDown is true while the supervisor or the schedule has ended the node, or is about to.
	isDown bool
	// isTerminating is true from SIGTERM until the process has ended.
	isTerminating bool
	startedAt     time.Time
	misses        int
	// isAbsent is set until the node is added and after it was removed, wasMember once either was done.
	isAbsent, wasMember bool
	// claims counts the events that ended or paused the node's process.
	claims int
}

// newNode returns the node with the given index, whose settings and log are in dir.
func newNode(index int, prefix, dir, binary, store, promotions string) (*node, error) {
	zone := layout[index%len(layout)]
	number := 1
	for i := range index {
		if layout[i%len(layout)] == zone {
			number++
		}
	}
	host := index + 1
	n := &node{name: fmt.Sprintf("node-%s-%d", zone, number), zone: zone, ip: fmt.Sprintf("%s.%d", prefix, host)}
	n.front, n.ready = address(prefix, host, frontPort), address(prefix, host, readyPort)
	n.callers = n.front
	n.settingsPath = filepath.Join(dir, n.name+".toml")
	settings := fmt.Sprintf(`node = %q
ip = %q
zone = %q
port_range = [%d, %d]
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
`, n.name, n.ip, n.zone, peerPort, lastPort, n.front, n.ready, int(grace.Seconds()), store, promotions)
	n.spec = supervise.Spec{
		Name: n.name, Path: binary, Args: []string{"serve"}, Log: filepath.Join(dir, n.name+".log"),
		Env: []string{"CROCUSYOKE_NODE_FILE=" + n.settingsPath},
	}
	return n, os.WriteFile(n.settingsPath, []byte(settings), 0o600)
}

// noteStop and noteHangup record a signal, noteEnd that the process has ended.
func (n *node) noteStop(at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stops = append(n.stops, at)
	n.isTerminating = true
}

func (n *node) noteEnd() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isTerminating = false
}

func (n *node) noteStart(at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.startedAt = at
}

// noteHangup reports false if the process began less than startTime ago, or is about to begin: it may not
// handle signals yet.
func (n *node) noteHangup(at time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isDown && !n.isTerminating || at.Sub(n.startedAt) < startTime {
		return false
	}
	n.hangups = append(n.hangups, at)
	return true
}

// plannedWork returns the last signal to the node that a request from from until to must survive, and
// when it was sent; "" if there is none.
func (n *node) plannedWork(from, to time.Time) (signal string, at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, hangup := range n.hangups {
		if to.After(hangup) && from.Before(hangup.Add(inForceWithin)) {
			signal, at = sighup, hangup
		}
	}
	for _, stop := range n.stops {
		if to.After(stop) && from.Before(stop.Add(grace+afterGrace)) {
			signal, at = sigterm, stop
		}
	}
	return signal, at
}

func (n *node) isStopping(from, to time.Time) bool {
	signal, _ := n.plannedWork(from, to)
	return signal == sigterm
}

// claim marks the node as down, for the event that ends it. It reports false if it is down already.
func (n *node) claim() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isDown {
		return false
	}
	n.isDown = true
	n.claims++
	return true
}

// boot identifies the node's process, which nothing happens to; "" if something does.
func (n *node) boot() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isDown {
		return ""
	}
	return fmt.Sprintf("%s %d", n.name, n.claims)
}

func (n *node) release() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isDown = false
}

func (n *node) inRotation() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.misses < missesUntilOut
}

func (n *node) noteReadiness(ready bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.misses++
	if ready {
		n.misses = 0
	}
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
