// Package session is the filter that keeps read-your-writes: it tells the owner which
// position a request must see, and learns from each answer.
//
// Invariant: a request carries a known position only if that position covers every
// write that the session has been told of or may have made.
package session

import (
	"context"
	"sync"
	"sync/atomic"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/request"
	core "crocusyoke/internal/session"
)

const step = "session"

// Filter fills Token and TokenKnown, and keeps each session's State.
type Filter struct {
	next   request.Handler
	source fleet.Source
	// plain is true where a session is one connection and needs to see its own writes only.
	plain bool

	// states holds a *core.State by session.
	states sync.Map
	codec  atomic.Pointer[configCodec]
}

// configCodec is the Codec of one configuration.
type configCodec struct {
	config *fleet.Config
	codec  *core.Codec
	err    error
}

// New returns a Filter in front of next.
func New(next request.Handler, source fleet.Source) *Filter {
	return &Filter{next: next, source: source}
}

// NewPlain returns a Filter for sessions that begin with their connection, roam nowhere and
// need to see nothing but their own writes.
func NewPlain(next request.Handler, source fleet.Source) *Filter {
	f := New(next, source)
	f.plain = true
	return f
}

// Merge adds a token that the caller showed to the session's state. It fails with
// CodeBadToken if the token is not authentic.
func (f *Filter) Merge(session, token string) error {
	codec, err := f.currentCodec()
	if err != nil {
		return err
	}
	t, err := codec.Decode(token)
	if err != nil {
		return request.Refuse(request.CodeBadToken, step, "", "session token refused").Because(err)
	}
	f.state(session).Merge(t)
	return nil
}

// Token returns the session's token, and whether it has changed since the last call.
// The text is empty before the first configuration arrived.
func (f *Filter) Token(session string) (text string, changed bool) {
	state := f.state(session)
	if !state.TakeChanged() {
		return "", false
	}
	return f.encode(state), true
}

// Show returns the session's token.
func (f *Filter) Show(session string) string { return f.encode(f.state(session)) }

func (f *Filter) encode(state *core.State) string {
	codec, err := f.currentCodec()
	if err != nil {
		return ""
	}
	text, err := codec.Encode(state.Token())
	if err != nil {
		return ""
	}
	return text
}

// Serve implements request.Handler.
func (f *Filter) Serve(ctx context.Context, req *request.Request) (*request.Response, error) {
	state := f.state(req.ID.Session)
	if f.plain {
		state.Begin(req.Group)
	}
	req.Token, req.TokenKnown = state.Position(req.Group)
	group := req.Group
	resp, err := f.next.Serve(ctx, req)
	if err != nil {
		if req.Kind != request.KindRead && request.AsRefusal(err).Code.Fate == request.Unknown {
			state.Lost(group)
		}
		return nil, err
	}
	if f.sees(req, resp) {
		state.Saw(group, resp.Position, resp.Replica)
	}
	return resp, nil
}

// sees reports whether the session must see the answer's position from now on.
func (f *Filter) sees(req *request.Request, resp *request.Response) bool {
	if !f.plain {
		return req.Kind != request.KindRollback
	}
	switch req.Kind {
	case request.KindWrite:
		return true
	case request.KindCommit:
		return !resp.Replica
	default:
		return false
	}
}

// End implements request.Handler.
func (f *Filter) End(session string) {
	f.states.Delete(session)
	f.next.End(session)
}

func (f *Filter) state(session string) *core.State {
	state, ok := f.states.Load(session)
	if !ok {
		state, _ = f.states.LoadOrStore(session, &core.State{})
	}
	return state.(*core.State)
}

// currentCodec returns the Codec of the configuration in force.
func (f *Filter) currentCodec() (*core.Codec, error) {
	config := f.source.Current()
	if config == nil {
		return nil, request.Refuse(request.CodeStaleConfig, step, "", "no configuration yet")
	}
	current := f.codec.Load()
	if current == nil || current.config != config {
		codec, err := core.NewCodec(config.TokenSecret)
		current = &configCodec{config, codec, err}
		f.codec.Store(current)
	}
	if current.err != nil {
		return nil, request.Refuse(request.CodeStaleConfig, step, "", "no token secret").Because(current.err)
	}
	return current.codec, nil
}
