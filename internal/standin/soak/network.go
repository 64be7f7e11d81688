package soak

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
)

// The ports of a node. The metrics port is the product's own and fixed, so runs at the same time need
// networks of their own.
const (
	frontPort   = 8465
	readyPort   = 8460
	peerPort    = 7560
	lastPort    = 7575
	metricsPort = 9100
	// lockHost is the host of a network whose metrics port a run holds as long as it uses the network.
	lockHost = 250
	// maxNetworks is how many networks are tried, networkStep the distance between two of them.
	maxNetworks = 50
	networkStep = 37
	// firstByte, byteCount and lastCount bound the networks 127.firstByte.0 and up.
	firstByte = 20
	byteCount = 200
	lastCount = 250
)

// network is a part of the loopback network that no other run uses.
type network struct {
	prefix string
	lock   net.Listener
}

// takeNetwork finds and holds a network with free addresses for so many nodes. The caller must call
// release.
func takeNetwork(nodes int) (*network, error) {
	var err error
	for i := range maxNetworks {
		number := (os.Getpid() + i*networkStep) % (byteCount * lastCount)
		var taken *network
		if taken, err = tryNetwork(fmt.Sprintf("127.%d.%d", firstByte+number%byteCount, 1+number/byteCount), nodes); err == nil {
			return taken, nil
		}
	}
	return nil, Error.New("the network is taken: %w", err)
}

func tryNetwork(prefix string, nodes int) (*network, error) {
	lock, err := net.Listen("tcp", address(prefix, lockHost, metricsPort))
	if err != nil {
		return nil, err
	}
	n := &network{prefix: prefix, lock: lock}
	for i := range nodes {
		if err := checkHost(prefix, i+1); err != nil {
			n.release()
			return nil, err
		}
	}
	return n, nil
}

// checkHost checks that the ports of a node are free.
func checkHost(prefix string, host int) error {
	for _, port := range []int{frontPort, readyPort, metricsPort} {
		listener, err := net.Listen("tcp", address(prefix, host, port))
		if err != nil {
			return err
		}
		_ = listener.Close()
	}
	for port := peerPort; port <= lastPort; port++ {
		conn, err := net.ListenPacket("udp", address(prefix, host, port))
		if err != nil {
			return err
		}
		_ = conn.Close()
	}
	return nil
}

func (n *network) release() { _ = n.lock.Close() }

func address(prefix string, host, port int) string {
	return net.JoinHostPort(fmt.Sprintf("%s.%d", prefix, host), strconv.Itoa(port))
}

// takeDirectory creates the directory of a run and locks it against other runs. The file must be kept
// open as long as the directory is used.
func takeDirectory(dir string) (*os.File, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(filepath.Join(dir, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, Error.New("another run uses %s: %w", dir, err)
	}
	return lock, nil
}
