// Package httpjson makes HTTP calls with JSON bodies to the stand-ins' interfaces.
package httpjson

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors. An error for an unexpected status names the
// method, the URL and the status.
var Error = errs.Class("http")

// Call sends body as JSON unless it is nil, and decodes the response into result unless that
// is nil. Any status other than 200 is an error.
func Call(ctx context.Context, method, url string, body, result any) error {
	var payload bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&payload).Encode(body); err != nil {
			return Error.Wrap(err)
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, url, &payload)
	if err != nil {
		return Error.Wrap(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Error.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Error.New("%s %s: status %d", method, url, resp.StatusCode)
	}
	if result == nil {
		return nil
	}
	return Error.Wrap(json.NewDecoder(resp.Body).Decode(result))
}
