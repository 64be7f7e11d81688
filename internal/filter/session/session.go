// Package session is the filter that guarantees read-your-writes. It sets the position that a
// request must see before passing the request on, and records the position of each answer.
//
// Invariant: a request carries a known position only if that position covers every write
// that was acknowledged to the session and every write that it may have made.
package session

import (
	"context"
	"sync"
	"sync/atomic"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/request"
	sessionstate "crocusyoke/internal/session"
)

const step = "session"

// Filter sets MinPosition and MinPositionKnown of each request and keeps the State of each session.
type Filter struct {
	next   request.Handler
	source fleet.Source
	// ownWritesOnly is true if a session is one connection and needs to see only its own writes.
	ownWritesOnly bool

	// states maps a session to its *sessionstate.State.
	states sync.Map
	codec  atomic.Pointer[configCodec]
}

// configCodec caches the Codec of one configuration, or the error of creating it.
type configCodec struct {
	config *fleet.Config
	codec  *sessionstate.Codec
	err    error
}

// New returns a Filter in front of next, for sessions that can move between nodes with their
// token.
func New(next request.Handler, source fleet.Source) *Filter {
	return &Filter{next: next, source: source}
}

// NewOwnWritesOnly returns a Filter for sessions that begin and end with their connection, never
// move to another node, and need to see only their own writes.
func NewOwnWritesOnly(next request.Handler, source fleet.Source) *Filter {
	f := New(next, source)
	f.ownWritesOnly = true
	return f
}

// Merge adds the positions of a token that the caller presented to the session's state. It fails
// with CodeBadToken if the token is invalid, and with CodeStaleConfig if there is no
// configuration or it has no valid token secret.
func (f *Filter) Merge(session, token string) error {
	codec, err := f.currentCodec()
	if err != nil {
		return err
	}
	t, err := codec.Decode(token)
	if err != nil {
		return request.Refuse(request.CodeBadToken, step, "", "session token refused").WithCause(err)
	}
	f.state(session).Merge(t)
	return nil
}

// TakeChangedToken returns the session's token if it has changed since the last call, and whether
// it has. The text is empty if it has not changed, or if the token cannot be encoded, such as
// before the first configuration has arrived.
func (f *Filter) TakeChangedToken(session string) (text string, changed bool) {
	state := f.state(session)
	if !state.TakeChanged() {
		return "", false
	}
	return f.encode(state), true
}

// CurrentToken returns the session's current token, or "" if it cannot be encoded.
func (f *Filter) CurrentToken(session string) string { return f.encode(f.state(session)) }

func (f *Filter) encode(state *sessionstate.State) string {
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
	if f.ownWritesOnly {
		state.InitGroup(req.Group)
	}
	req.MinPosition, req.MinPositionKnown = state.Position(req.Group)
	group := req.Group
	resp, err := f.next.Serve(ctx, req)
	if err != nil {
		if req.Kind != request.KindRead && request.AsRefusal(err).Code.Fate == request.Unknown {
			state.MarkWriteUnknown(group)
		}
		return nil, err
	}
	if f.updatesPosition(req, resp) {
		state.Observe(group, resp.Position, resp.Replica)
	}
	return resp, nil
}

// updatesPosition reports whether the session's later requests must see the answer's position.
func (f *Filter) updatesPosition(req *request.Request, resp *request.Response) bool {
	if !f.ownWritesOnly {
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

func (f *Filter) state(session string) *sessionstate.State {
	state, ok := f.states.Load(session)
	if !ok {
		state, _ = f.states.LoadOrStore(session, &sessionstate.State{})
	}
	return state.(*sessionstate.State)
}

// currentCodec returns the Codec for the current configuration's token secret. It fails with
// CodeStaleConfig.
func (f *Filter) currentCodec() (*sessionstate.Codec, error) {
	config := f.source.Current()
	if config == nil {
		return nil, request.Refuse(request.CodeStaleConfig, step, "", "no configuration yet")
	}
	current := f.codec.Load()
	if current == nil || current.config != config {
		codec, err := sessionstate.NewCodec(config.TokenSecret)
		current = &configCodec{config, codec, err}
		f.codec.Store(current)
	}
	if current.err != nil {
		return nil, request.Refuse(request.CodeStaleConfig, step, "", "the configuration has no valid token secret").WithCause(current.err)
	}
	return current.codec, nil
}
