package table

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// DefaultTimeout is the default timeout of one HTTP call.
	DefaultTimeout = 2 * time.Second

	// maxResponseBytes is the largest response body that is accepted.
	maxResponseBytes = 64 << 20

	failureDomainHeader = "Daisyrack-Failure-Domain"
)

// Client calls the platform; set the fields before the first call. All methods may be called
// concurrently.
type Client struct {
	// BaseURL is the platform's address, for example "http://10.0.0.1:7000".
	BaseURL string

	// FailureDomain is the caller's own failure domain.
	FailureDomain string

	// HTTP makes the calls; nil means http.DefaultClient.
	HTTP *http.Client

	// Timeout is the timeout of each HTTP call; 0 means DefaultTimeout.
	Timeout time.Duration

	// Calls counts HTTP calls.
	Calls atomic.Int64

	// LostAnswers counts commits whose first response was lost.
	LostAnswers atomic.Int64

	// Resolved counts commits whose response was lost and whose outcome was determined later.
	Resolved atomic.Int64

	// Resends counts transactions that were sent again because their token was unknown.
	Resends atomic.Int64
}

// call makes one HTTP call and reads the whole response.
func (c *Client) call(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(c.BaseURL, "/")+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Mark(errors.Wrapf(err, "table: unable to build %s %s", method, path), errNotSent)
	}
	// Without GetBody, the HTTP transport can't retry the request by itself.
	req.GetBody = nil
	req.Header.Set(failureDomainHeader, c.FailureDomain)
	if method == http.MethodPost {
		req.Header.Set("Content-Type", "application/json")
	}
	c.Calls.Add(1)
	resp, err := c.httpClient().Do(req)
	if err != nil {
		return 0, nil, callError(err, method, path)
	}
	defer func() { _ = resp.Body.Close() }()
	respBody, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return 0, nil, errors.Wrapf(err, "table: unable to read the answer to %s %s", method, path)
	}
	if len(respBody) > maxResponseBytes {
		return 0, nil, errors.Newf("table: answer to %s %s exceeds %d bytes", method, path, maxResponseBytes)
	}
	return resp.StatusCode, respBody, nil
}

// errNotSent marks errors of calls that failed before any byte was sent.
var errNotSent = errors.New("table: not sent")

func callError(err error, method, path string) error {
	wrapped := errors.Wrapf(err, "table: unable to call %s %s", method, path)
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Mark(wrapped, errNotSent)
	}
	return wrapped
}

func (c *Client) httpClient() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return http.DefaultClient
}

func (c *Client) timeout() time.Duration {
	if c.Timeout > 0 {
		return c.Timeout
	}
	return DefaultTimeout
}

// getJSON sends a GET request and decodes the response into v. It returns false on status 404.
func (c *Client) getJSON(ctx context.Context, path string, v any) (bool, error) {
	status, respBody, err := c.call(ctx, http.MethodGet, path, nil)
	if err != nil {
		return false, err
	}
	switch status {
	case http.StatusOK:
	case http.StatusNotFound:
		return false, nil
	default:
		return false, statusError(status, http.MethodGet, path, respBody)
	}
	if err := json.Unmarshal(respBody, v); err != nil {
		return false, errors.Wrapf(err, "table: unable to decode the answer to GET %s", path)
	}
	return true, nil
}

func statusError(status int, method, path string, body []byte) error {
	const maxShown = 200
	if len(body) > maxShown {
		body = body[:maxShown]
	}
	return errors.Newf("table: %s %s answered with status %d: %s", method, path, status, body)
}

// ReadRow reads one row; false means that it does not exist.
func (c *Client) ReadRow(ctx context.Context, key string) (Row, bool, error) {
	var row Row
	found, err := c.getJSON(ctx, "/v1/table/row?key="+url.QueryEscape(key), &row)
	return row, found, err
}
