package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"

	"crocusyoke/internal/standin/hosted"
)

const (
	// spareNodes is the number of nodes that may be added in the course of a run, and minNodes how many are
	// left at least when one is removed.
	spareNodes = 4
	minNodes   = 4
	// shareUnsignalled is the percentage of changes of a settings file without a signal.
	shareUnsignalled = 30
	// minDescriptors and maxDescriptors bound the limit of descriptors in a settings file that changes.
	minDescriptors = 3000
	maxDescriptors = 4000
)

// isMember reports whether a node belongs to the fleet: it was added, and not removed for good.
func (n *node) isMember() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.isAbsent
}

func (n *node) setMember(isMember bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isAbsent = !isMember
	n.wasMember = true
}

// members returns the nodes of the fleet.
func (r *run) members() []*node {
	var members []*node
	for _, n := range r.nodes {
		if n.isMember() {
			members = append(members, n)
		}
	}
	return members
}

// grow adds a node that was none before, if there is one.
func (r *run) grow() {
	r.resizing.Lock()
	defer r.resizing.Unlock()
	for _, n := range r.nodes {
		if n.isMember() || n.wasMember {
			continue
		}
		r.start(n)
		if hosted.WaitFor(readyTimeout, n.isReady) {
			r.judge.count("nodes added")
		}
		n.setMember(true)
		n.release()
		return
	}
}

// shrink stops a node and does not start it again, unless few are left.
func (r *run) shrink(e Event) {
	r.resizing.Lock()
	defer r.resizing.Unlock()
	n := r.nodeOf(e)
	if len(r.members()) <= minNodes || !n.claim() {
		return
	}
	r.terminate(n, string(e.Kind))
	n.setMember(false)
	r.judge.count("nodes removed")
}

// changeSettings replaces the settings file of a node and, most of the times, tells it so.
func (r *run) changeSettings(e Event) {
	n := r.nodeOf(e)
	random := randomOf(e)
	if err := n.rewriteSettings(random); err != nil {
		r.judge.count("settings files not replaced")
		return
	}
	r.judge.count("settings files replaced")
	if !isOneOf(random, shareUnsignalled) {
		r.hangUp(n)
	}
}

// rewriteSettings replaces the settings file by one with another limit of descriptors.
func (n *node) rewriteSettings(random *rand.Rand) error {
	n.settingsMu.Lock()
	defer n.settingsMu.Unlock()
	body, err := os.ReadFile(n.settingsPath)
	if err != nil {
		return err
	}
	limit := minDescriptors + random.IntN(maxDescriptors-minDescriptors)
	lines := bytes.Split(body, []byte("\n"))
	for i, line := range lines {
		if bytes.HasPrefix(line, []byte("max_fds")) {
			lines[i] = []byte(fmt.Sprintf("max_fds = %d", limit))
		}
	}
	next := n.settingsPath + ".next"
	if err := os.WriteFile(next, bytes.Join(lines, []byte("\n")), 0o600); err != nil {
		return err
	}
	return os.Rename(next, n.settingsPath)
}
