package front

import (
	"slices"

	"crocusyoke/internal/request"
)

// The states of a session's transaction, as callers see them.
const (
	stateIdle   = 'I'
	stateOpen   = 'T'
	stateFailed = 'E'
)

// state is what a session keeps for its caller, whichever target serves it: values,
// prepared statements and the transaction's state.
type state struct {
	settings []Setting
	prepared map[string]Shape
	tx       byte
	sequence uint64
}

func newState() *state {
	return &state{prepared: make(map[string]Shape), tx: stateIdle}
}

// set keeps a session value. Settings are never changed in place: a call that is under
// way holds the former slice.
func (s *state) set(name, value string) {
	next := slices.Clone(s.settings)
	i := slices.IndexFunc(next, func(v Setting) bool { return v.Name == name })
	if i < 0 {
		s.settings = append(next, Setting{Name: name, Value: value})
		return
	}
	next[i].Value = value
	s.settings = next
}

// verdict is how a statement goes on.
type verdict uint8

const (
	// forward sends the statement to a target.
	forward verdict = iota
	// done answers it here with success.
	done
	// refuse answers it here with a refusal.
	refuse
	// abandon rolls back a transaction that has failed.
	abandon
)

// plan decides how a statement goes on, applies what is kept here, and returns the
// request's kind for what is forwarded.
func (s *state) plan(st *Statement) (verdict, request.Kind, *request.Refusal) {
	if s.tx == stateFailed {
		return s.planFailed(st)
	}
	switch st.Verb {
	case VerbSet:
		s.set(st.Name, st.Value)
		return done, 0, nil
	case VerbPrepare:
		s.prepared[st.Name] = st.Shape
		return done, 0, nil
	case VerbDeallocate:
		if _, ok := s.prepared[st.Name]; !ok {
			return refuse, 0, unprepared(st.Name)
		}
		delete(s.prepared, st.Name)
		return done, 0, nil
	case VerbBegin:
		if s.tx != stateIdle {
			return refuse, 0, malformed("a transaction is open already")
		}
		if st.ReadOnly {
			return forward, request.KindBeginRead, nil
		}
		return forward, request.KindBegin, nil
	case VerbCommit, VerbRollback:
		if s.tx == stateIdle {
			return refuse, 0, malformed("no transaction is open")
		}
		if st.Verb == VerbCommit {
			return forward, request.KindCommit, nil
		}
		return forward, request.KindRollback, nil
	case VerbRead, VerbWrite:
		return forward, s.kind(st.Verb == VerbWrite), nil
	case VerbExecute:
		shape, ok := s.prepared[st.Name]
		if !ok {
			return refuse, 0, unprepared(st.Name)
		}
		return forward, s.kind(shape.Writes), nil
	default:
		return refuse, 0, malformed("the statement can't be read")
	}
}

// planFailed plans a statement in a transaction that has failed.
func (s *state) planFailed(st *Statement) (verdict, request.Kind, *request.Refusal) {
	if st.Verb == VerbRollback || st.Verb == VerbCommit {
		return abandon, 0, nil
	}
	return refuse, 0, malformed("the transaction has failed")
}

func (s *state) kind(writes bool) request.Kind {
	switch {
	case s.tx == stateOpen:
		return request.KindInTransaction
	case writes:
		return request.KindWrite
	default:
		return request.KindRead
	}
}

// call returns what the target is sent for st.
func (s *state) call(st *Statement) *Call {
	c := &Call{ID: st.ID, Text: st.Text, Settings: s.settings}
	switch st.Verb {
	case VerbExecute:
		shape := s.prepared[st.Name]
		c.Shape = &shape
		c.Text = st.Arguments
	case VerbCommit, VerbRollback:
		c.KeepSettings = true
	}
	return c
}

func malformed(why string) *request.Refusal {
	return request.Refuse(request.CodeProtocol, step, "", "%s", why)
}

func unprepared(name string) *request.Refusal {
	return request.Refuse(request.CodeUnprepared, step, "", "no prepared statement %q", name)
}
