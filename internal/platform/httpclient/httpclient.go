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
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/zeebo/errs"

	"crocusyoke/internal/platform"
)

// maxBodyBytes is the maximum number of bytes read from the body of an answer.
const maxBodyBytes = 64 << 20

// HeaderEra is the header of an answer that states the store's era, which grows with each restore of
// the store from a copy.
const HeaderEra = "Platform-Era"

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
	era, err := c.getJSON(ctx, "/rows/"+escapePath(key), &row)
	row.Era = era
	return row, err
}

// List implements platform.Table.
func (c *client) List(ctx context.Context, prefix string) ([]platform.Row, error) {
	var list struct {
		Rows []platform.Row `json:"rows"`
	}
	era, err := c.getJSON(ctx, "/rows?prefix="+url.QueryEscape(prefix), &list)
	for i := range list.Rows {
		list.Rows[i].Era = era
	}
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
	if err := json.Unmarshal(reply.body, &row); err != nil {
		return platform.Row{}, platform.ErrOutcomeUnknown.New("put %s: malformed answer: %v", key, err)
	}
	row.Era = reply.era
	return row, nil
}

// PutObject implements platform.Objects.
func (c *client) PutObject(ctx context.Context, name string, body []byte) error {
	_, err := c.write(ctx, "/objects/"+escapePath(name), body)
	return err
}

// GetObject implements platform.Objects.
func (c *client) GetObject(ctx context.Context, name string) ([]byte, error) {
	reply, err := c.read(ctx, "/objects/"+escapePath(name))
	return reply.body, err
}

// ListVMs implements platform.VMs.
func (c *client) ListVMs(ctx context.Context) ([]platform.VM, error) {
	var list struct {
		VMs []platform.VM `json:"vms"`
	}
	_, err := c.getJSON(ctx, "/vms", &list)
	return list.VMs, err
}

// getJSON decodes the body of the answer to a read. It returns the store's era also if nothing was
// found.
func (c *client) getJSON(ctx context.Context, path string, into any) (era uint64, err error) {
	reply, err := c.read(ctx, path)
	if err != nil {
		return reply.era, err
	}
	if err := json.Unmarshal(reply.body, into); err != nil {
		return 0, platform.ErrOutage.New("GET %s: malformed answer: %v", path, err)
	}
	return reply.era, nil
}

func (c *client) read(ctx context.Context, path string) (answer, error) {
	reply, _, err := c.call(ctx, http.MethodGet, path, nil)
	switch {
	case err != nil:
		return answer{}, platform.ErrOutage.Wrap(err)
	case reply.status == http.StatusNotFound:
		return answer{era: reply.era}, platform.ErrNotFound.New("GET %s", path)
	case reply.status != http.StatusOK:
		return answer{}, platform.ErrOutage.New("GET %s: status %d", path, reply.status)
	}
	return reply, nil
}

func (c *client) write(ctx context.Context, path string, request []byte) (answer, error) {
	reply, sent, err := c.call(ctx, http.MethodPut, path, request)
	switch {
	case err != nil && !sent:
		return answer{}, platform.ErrOutage.Wrap(err)
	case err != nil:
		return answer{}, platform.ErrOutcomeUnknown.Wrap(err)
	case reply.status == http.StatusConflict:
		return answer{}, platform.ErrConflict.New("PUT %s: %s", path, reply.body)
	case reply.status == http.StatusServiceUnavailable:
		// The platform answers with this status only if the write had no effect.
		return answer{}, platform.ErrOutage.New("PUT %s: refused", path)
	case reply.status >= http.StatusInternalServerError:
		return answer{}, platform.ErrOutcomeUnknown.New("PUT %s: status %d", path, reply.status)
	case reply.status != http.StatusOK:
		return answer{}, errs.New("platform: PUT %s: status %d", path, reply.status)
	}
	return reply, nil
}

// answer is the platform's answer to a call.
type answer struct {
	status int
	body   []byte
	// era is the store's era; 0 if the answer does not state it.
	era uint64
}

// call sends a request and returns the answer. sent is true if any byte of the request may have
// left this process.
func (c *client) call(ctx context.Context, method, path string, body []byte) (reply answer, sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	var gotConn atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bodyReader(body))
	if err != nil {
		return answer{}, false, err
	}
	// Without GetBody the transport can't send a write a second time on its own.
	req.GetBody = nil
	resp, err := c.http.Do(req)
	if err != nil {
		return answer{}, gotConn.Load(), err
	}
	defer resp.Body.Close()
	reply = answer{status: resp.StatusCode, era: parseEra(resp.Header)}
	reply.body, err = io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	return reply, true, err
}

// parseEra returns the store's era that an answer's header states, or 0.
func parseEra(header http.Header) uint64 {
	era, err := strconv.ParseUint(header.Get(HeaderEra), 10, 64)
	if err != nil {
		return 0
	}
	return era
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
