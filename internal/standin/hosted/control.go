package hosted

import (
	"fmt"
	"strconv"
)

// executeControl carries out a control command (STATUS, PAUSE, RESUME or STEPDOWN) and returns
// the target's status as one row. PAUSE and STEPDOWN take a term and have no effect unless it
// is newer than the target's. The caller holds group.mu.
func (s *session) executeControl(command, arg string) (rows []string, failure string) {
	t := s.target
	requestedTerm, _ := strconv.ParseUint(arg, 10, 64)
	switch {
	case command == "PAUSE" && !t.primary && requestedTerm > t.term:
		t.pausedForTerm = requestedTerm
	case command == "RESUME":
		t.pausedForTerm = 0
		for _, other := range t.group.targets {
			if other.primary && !other.down && other.term == t.term {
				t.group.replicate(other)
			}
		}
	case command == "STEPDOWN" && t.primary && requestedTerm > t.term:
		t.primary = false
	}
	role := "replica"
	if t.primary {
		role = "primary"
	}
	t.mu.Lock()
	conns := len(t.conns)
	t.mu.Unlock()
	return []string{fmt.Sprintf("%s %d %s %d 0 1 %d", role, t.term, formatPosition(t.term, len(t.log)), t.pausedForTerm, conns)}, ""
}
