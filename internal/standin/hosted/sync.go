package hosted

import "time"

const (
	// syncTimeout bounds the wait of a commit for replicas, syncInterval is how often they are looked at.
	syncTimeout  = 3 * time.Second
	syncInterval = 5 * time.Millisecond
)

// appendEntry commits items. The caller holds group.mu.
func (s *session) appendEntry(items map[string]string) {
	s.target.appendEntry(items)
	s.committed = logPosition{s.target.term, uint64(len(s.target.log))}
}

// awaitReplicas waits until Group.SyncReplicas replicas have received what the statement in hand has committed. The
// failure is TIMEOUT if they do not or if the target no longer leads; lost is true if the target ended meanwhile.
func (s *session) awaitReplicas() (failure string, lost bool) {
	committed := s.committed
	s.committed = logPosition{}
	for deadline := time.Now().Add(syncTimeout); ; time.Sleep(syncInterval) {
		received, leads, isLost := s.countReceivers(committed)
		switch {
		case isLost:
			return "", true
		case received >= s.target.group.SyncReplicas:
			return "", false
		case !leads || time.Now().After(deadline):
			return "TIMEOUT " + s.target.ID, false
		}
	}
}

// countReceivers counts the replicas that have received the log up to a position. leads reports whether the
// target still leads the position's term, isLost whether it has ended since the session began.
func (s *session) countReceivers(committed logPosition) (received int, leads, isLost bool) {
	g := s.target.group
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range g.targets {
		if t != s.target && !t.down && t.term == committed.term && uint64(len(t.log)) >= committed.entries {
			received++
		}
	}
	return received, s.target.primary && s.target.term == committed.term, s.hasLostTarget()
}
