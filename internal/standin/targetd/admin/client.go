package admin

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"crocusyoke/internal/standin/httpjson"
)

// callTimeout bounds one call to the endpoint.
const callTimeout = 5 * time.Second

// Client calls the admin endpoint of one target.
type Client struct{ base string }

// NewClient returns a client for the endpoint at address, which has the form IP:port.
func NewClient(address string) *Client { return &Client{base: "http://" + address} }

// State returns the target's status and counters.
func (c *Client) State(ctx context.Context) (State, error) {
	var state State
	return state, c.call(ctx, http.MethodGet, PathState, nil, &state)
}

// Seen returns how many texts that the target received contain text.
func (c *Client) Seen(ctx context.Context, text string) (Seen, error) {
	var seen Seen
	return seen, c.call(ctx, http.MethodGet, PathSeen+"?text="+url.QueryEscape(text), nil, &seen)
}

// Change updates the active faults.
func (c *Client) Change(ctx context.Context, change Change) error {
	return c.call(ctx, http.MethodPut, PathFaults, change, nil)
}

// Silence permanently silences a random share of the open connections.
func (c *Client) Silence(ctx context.Context, silence Silence) (Silenced, error) {
	var silenced Silenced
	return silenced, c.call(ctx, http.MethodPut, PathSilence, silence, &silenced)
}

// Kill kills the target's process. It ignores the error of the call, since the process ends
// before it can answer.
func (c *Client) Kill(ctx context.Context) {
	_ = c.call(ctx, http.MethodPut, PathKill, nil, nil)
}

func (c *Client) call(ctx context.Context, method, path string, body, into any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return httpjson.Call(ctx, method, c.base+path, body, into)
}
