package session

import "crocusyoke/internal/logpos"

// groupPosition is the newest position that a session has observed in one group.
type groupPosition struct {
	position logpos.Position
	// known is false if the session may have written beyond position.
	known bool
}

// State holds the positions that one session has observed, by group. It is not safe for
// concurrent use.
type State struct {
	positions map[string]groupPosition
	changed   bool
}

// Position returns the newest observed position of group, and whether it covers all of the
// session's writes. If it does not, the position is zero.
func (s *State) Position(group string) (logpos.Position, bool) {
	v := s.positions[group]
	if !v.known {
		return logpos.Position{}, false
	}
	return v.position, true
}

// InitGroup marks the zero position as known for a group that the session has not used yet.
// It is only for sessions that begin with their connection and so have written nothing before.
func (s *State) InitGroup(group string) {
	if _, used := s.positions[group]; !used {
		s.setPosition(group, groupPosition{known: true})
	}
}

// Merge adds the positions of a token that the caller presented. Positions never decrease.
func (s *State) Merge(t Token) {
	for group, position := range t.Positions {
		s.setPosition(group, groupPosition{logpos.Max(s.positions[group].position, position), true})
	}
}

// Observe records the position that an answer reflects. If the position of the group is not
// known, an answer from a replica does not make it known: the session may have written beyond
// it on an earlier connection.
func (s *State) Observe(group string, position logpos.Position, replica bool) {
	if position.IsZero() {
		return
	}
	v := s.positions[group]
	if replica && !v.known {
		return
	}
	s.setPosition(group, groupPosition{logpos.Max(v.position, position), true})
}

// MarkWriteUnknown records a write whose outcome is unknown. The write may lie beyond the known
// position, so the position stays unknown until the primary answers or a token is merged.
func (s *State) MarkWriteUnknown(group string) {
	v := s.positions[group]
	if v.known {
		s.setPosition(group, groupPosition{v.position, false})
	}
}

// Token returns a token with all known positions.
func (s *State) Token() Token {
	t := Token{Positions: make(map[string]logpos.Position, len(s.positions))}
	for group, v := range s.positions {
		if v.known {
			t.Positions[group] = v.position
		}
	}
	return t
}

// TakeChanged reports whether any position has changed since the last call, and resets the
// flag.
func (s *State) TakeChanged() bool {
	changed := s.changed
	s.changed = false
	return changed
}

func (s *State) setPosition(group string, v groupPosition) {
	if s.positions[group] == v {
		return
	}
	if s.positions == nil {
		s.positions = make(map[string]groupPosition)
	}
	s.positions[group] = v
	s.changed = true
}
