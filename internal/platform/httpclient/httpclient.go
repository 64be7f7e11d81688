// Package httpclient is an HTTP client of the platform. It distinguishes writes that certainly
// had no effect from those that may have had one: if a write gets no answer and any byte of
// it may have left this process, its outcome is unknown.
package httpclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"

	"github.com/zeebo/errs"

	"crocusyoke/internal/platform"
)

// maxBodyBytes is the maximum number of bytes read from the body of an answer.
const maxBodyBytes = 64 << 20

type client struct {
	base string
	http *http.Client
}

// New returns a client of the platform at the URL base, such as http://127.0.0.1:8080. If
// httpClient is nil, a new one with its own connections is used.
func New(base string, httpClient *http.Client) platform.Platform {
	if httpClient == nil {
		httpClient = &http.Client{Transport: http.DefaultTransport.(*http.Transport).Clone()}
	}
	return &client{base: strings.TrimSuffix(base, "/"), http: httpClient}
}

// putRequest is the body of a conditional write of a row.
type putRequest struct {
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Get implements platform.Table.
func (c *client) Get(ctx context.Context, key string) (platform.Row, error) {
	var row platform.Row
	err := c.getJSON(ctx, "/rows/"+escapePath(key), &row)
	return row, err
}

// List implements platform.Table.
func (c *client) List(ctx context.Context, prefix string) ([]platform.Row, error) {
	var list struct {
		Rows []platform.Row `json:"rows"`
	}
	err := c.getJSON(ctx, "/rows?prefix="+url.QueryEscape(prefix), &list)
	return list.Rows, err
}

// Put implements platform.Table.
func (c *client) Put(ctx context.Context, key string, version uint64, value []byte) (platform.Row, error) {
	body, err := json.Marshal(putRequest{Version: version, Value: value})
	if err != nil {
		return platform.Row{}, errs.Wrap(err)
	}
	reply, err := c.write(ctx, "/rows/"+escapePath(key), body)
	if err != nil {
		return platform.Row{}, err
	}
	var row platform.Row
	if err := json.Unmarshal(reply, &row); err != nil {
		return platform.Row{}, platform.ErrOutcomeUnknown.New("put %s: malformed answer: %v", key, err)
	}
	return row, nil
}

// PutObject implements platform.Objects.
func (c *client) PutObject(ctx context.Context, name string, body []byte) error {
	_, err := c.write(ctx, "/objects/"+escapePath(name), body)
	return err
}

// GetObject implements platform.Objects.
func (c *client) GetObject(ctx context.Context, name string) ([]byte, error) {
	return c.read(ctx, "/objects/"+escapePath(name))
}

// ListVMs implements platform.VMs.
func (c *client) ListVMs(ctx context.Context) ([]platform.VM, error) {
	var list struct {
		VMs []platform.VM `json:"vms"`
	}
	err := c.getJSON(ctx, "/vms", &list)
	return list.VMs, err
}

func (c *client) getJSON(ctx context.Context, path string, into any) error {
	body, err := c.read(ctx, path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, into); err != nil {
		return platform.ErrOutage.New("GET %s: malformed answer: %v", path, err)
	}
	return nil
}

func (c *client) read(ctx context.Context, path string) ([]byte, error) {
	status, body, _, err := c.call(ctx, http.MethodGet, path, nil)
	switch {
	case err != nil:
		return nil, platform.ErrOutage.Wrap(err)
	case status == http.StatusNotFound:
		return nil, platform.ErrNotFound.New("GET %s", path)
	case status != http.StatusOK:
		return nil, platform.ErrOutage.New("GET %s: status %d", path, status)
	}
	return body, nil
}

func (c *client) write(ctx context.Context, path string, request []byte) ([]byte, error) {
	status, body, sent, err := c.call(ctx, http.MethodPut, path, request)
	switch {
	case err != nil && !sent:
		return nil, platform.ErrOutage.Wrap(err)
	case err != nil:
		return nil, platform.ErrOutcomeUnknown.Wrap(err)
	case status == http.StatusConflict:
		return nil, platform.ErrConflict.New("PUT %s: %s", path, body)
	case status == http.StatusServiceUnavailable:
		// The platform answers with this status only if the write had no effect.
		return nil, platform.ErrOutage.New("PUT %s: refused", path)
	case status >= http.StatusInternalServerError:
		return nil, platform.ErrOutcomeUnknown.New("PUT %s: status %d", path, status)
	case status != http.StatusOK:
		return nil, errs.New("platform: PUT %s: status %d", path, status)
	}
	return body, nil
}

// call sends a request and returns the status and body of the answer. The third result is true
// if any byte of the request may have left this process.
func (c *client) call(ctx context.Context, method, path string, body []byte) (int, []byte, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	var gotConn atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bodyReader(body))
	if err != nil {
		return 0, nil, false, err
	}
	// Without GetBody the transport can't send a write a second time on its own.
	req.GetBody = nil
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, gotConn.Load(), err
	}
	defer resp.Body.Close()
	reply, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	return resp.StatusCode, reply, true, err
}

func bodyReader(body []byte) io.Reader {
	if body == nil {
		return nil
	}
	return bytes.NewReader(body)
}

func escapePath(name string) string {
	parts := strings.Split(name, "/")
	for i := range parts {
		parts[i] = url.PathEscape(parts[i])
	}
	return strings.Join(parts, "/")
}
