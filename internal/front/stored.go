package front

import (
	"slices"
	"strings"
	"time"

	"crocusyoke/internal/budget"
	"crocusyoke/internal/request"
)

// Bounds on the settings and prepared statements of one session together.
const (
	// maxEntries bounds their number.
	maxEntries = 256
	// maxStateBytes bounds their size in bytes. All settings travel with each statement, and a connection to
	// a target must be able to hold any prepared statement.
	maxStateBytes = 48 << 10
	// entryBytes is the size in bytes of a setting or prepared statement without its texts.
	entryBytes = 128
)

// stateLimits bound the settings and prepared statements of all sessions of a node.
var stateLimits = budget.Limits{Share: 1 << 10, Common: 8 << 20}

// stateRetryAfter is when a caller may come back for whose settings and prepared statements the node had no room.
const stateRetryAfter = time.Second

// size returns the memory that the setting takes, in bytes.
func (v Setting) size() int { return entryBytes + len(v.Name) + len(v.Value) }

// size returns the memory that the statement takes under the given name, in bytes.
func (t StatementTemplate) size(name string) int { return entryBytes + len(name) + len(t.Name) }

// storeSetting sets a session setting, or refuses it and keeps the former value. It replaces the slice
// instead of changing it in place, because a Call that was made earlier still refers to the old one.
func (s *sessionState) storeSetting(name, value string) *request.Refusal {
	setting, before := Setting{Name: name, Value: value}, 0
	i := slices.IndexFunc(s.settings, func(v Setting) bool { return v.Name == name })
	if i >= 0 {
		before = s.settings[i].size()
	}
	if refusal := s.resizeEntry(before, setting.size()); refusal != nil {
		return refusal
	}
	// The texts are parts of the caller's whole message, which must not be kept with them.
	setting = Setting{Name: strings.Clone(name), Value: strings.Clone(value)}
	next := slices.Clone(s.settings)
	if i < 0 {
		s.settings = append(next, setting)
		return nil
	}
	next[i] = setting
	s.settings = next
	return nil
}

// storePrepared prepares a statement, or refuses it and keeps the former one of that name.
func (s *sessionState) storePrepared(name string, shape StatementTemplate) *request.Refusal {
	before := 0
	if former, ok := s.prepared[name]; ok {
		before = former.size(name)
	}
	if refusal := s.resizeEntry(before, shape.size(name)); refusal != nil {
		return refusal
	}
	shape.Name = strings.Clone(shape.Name)
	s.prepared[strings.Clone(name)] = shape
	return nil
}

// deallocate drops a prepared statement.
func (s *sessionState) deallocate(name string) *request.Refusal {
	shape, ok := s.prepared[name]
	if !ok {
		return unpreparedRefusal(name)
	}
	delete(s.prepared, name)
	s.account.Resize(s.account.Held() - shape.size(name))
	return nil
}

// resizeEntry makes room for an entry of the given size in place of one of size before; 0 stands for no
// entry. It returns a refusal, and changes nothing, if there is no room.
func (s *sessionState) resizeEntry(before, size int) *request.Refusal {
	total := s.account.Held() - before + size
	isNew := before == 0
	switch {
	case isNew && len(s.settings)+len(s.prepared) >= maxEntries, size > before && total > maxStateBytes:
		return request.Refuse(request.CodeTooLarge, step, "",
			"a session keeps at most %d settings and prepared statements of %d bytes together", maxEntries, maxStateBytes)
	case !s.account.Resize(total):
		return request.Refuse(request.CodeOverloaded, step, "",
			"the node has no room for more settings and prepared statements of its sessions").WithRetryAfter(stateRetryAfter)
	}
	return nil
}

// release drops all settings and prepared statements. The session has ended.
func (s *sessionState) release() {
	s.settings, s.prepared = nil, nil
	s.account.Release()
}
