package session

import "crocusyoke/internal/logpos"

// view is what a session has seen of one group.
type view struct {
	position logpos.Position
	// known is false if the session may have written beyond position.
	known bool
}

// State is what one caller's connection has seen. It is not safe for concurrent use.
type State struct {
	views   map[string]view
	changed bool
}

// Position returns the newest position of group, and whether it covers all that the
// session has written. It is zero if not known.
func (s *State) Position(group string) (logpos.Position, bool) {
	v := s.views[group]
	if !v.known {
		return logpos.Position{}, false
	}
	return v.position, true
}

// Begin makes the position known of a group that the session has not used: a session that
// begins here has written nothing.
func (s *State) Begin(group string) {
	if _, used := s.views[group]; !used {
		s.set(group, view{known: true})
	}
}

// Merge adds a token that the caller showed. Positions only grow.
func (s *State) Merge(t Token) {
	for group, position := range t.Positions {
		s.set(group, view{logpos.Max(s.views[group].position, position), true})
	}
}

// Saw notes the position of an answer. An answer from a replica makes no position known:
// the session may have written beyond it in an earlier connection.
func (s *State) Saw(group string, position logpos.Position, replica bool) {
	if position.IsZero() {
		return
	}
	v := s.views[group]
	if replica && !v.known {
		return
	}
	s.set(group, view{logpos.Max(v.position, position), true})
}

// Lost notes a write whose outcome is unknown: it may lie beyond the known position,
// which is therefore not known until the primary has answered again.
func (s *State) Lost(group string) {
	v := s.views[group]
	if v.known {
		s.set(group, view{v.position, false})
	}
}

// Token returns the known positions.
func (s *State) Token() Token {
	t := Token{Positions: make(map[string]logpos.Position, len(s.views))}
	for group, v := range s.views {
		if v.known {
			t.Positions[group] = v.position
		}
	}
	return t
}

// TakeChanged reports whether the token has changed since the last call.
func (s *State) TakeChanged() bool {
	changed := s.changed
	s.changed = false
	return changed
}

func (s *State) set(group string, v view) {
	if s.views[group] == v {
		return
	}
	if s.views == nil {
		s.views = make(map[string]view)
	}
	s.views[group] = v
	s.changed = true
}
