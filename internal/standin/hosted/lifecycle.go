package hosted

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
	address := t.Address
	g.mu.Unlock()
	t.listen(address)
}
