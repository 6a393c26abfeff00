package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Outcome says what is known of a call to a worker.
type Outcome int

const (
	// Accepted means that the worker carried out the call.
	Accepted Outcome = iota
	// Fenced means that the worker obeys a newer owner.
	Fenced
	// NotClaimed means that the worker obeys no owner yet, or an older one.
	NotClaimed
	// NotSent means that no byte of the call reached the worker.
	NotSent
	// Unknown means that the call may have been carried out.
	Unknown
)

const (
	// DefaultTimeout bounds one call to a worker.
	DefaultTimeout = 2 * time.Second

	// maxAnswerBytes bounds a worker's answer.
	maxAnswerBytes = 8 << 20
)

// Client calls workers.
type Client struct {
	HTTP    *http.Client
	Timeout time.Duration
}

// Claim sends a claim to the worker at address.
func (c *Client) Claim(ctx context.Context, address string, msg Claim) (ClaimReply, Outcome, error) {
	var answer ClaimReply
	outcome, err := c.post(ctx, address, "/v1/claim", msg.Epoch, msg, &answer)
	return answer, outcome, err
}

// Sync sends commands to the worker at address.
func (c *Client) Sync(ctx context.Context, address string, msg Sync) (SyncReply, Outcome, error) {
	var answer SyncReply
	outcome, err := c.post(ctx, address, "/v1/sync", msg.Epoch, msg, &answer)
	return answer, outcome, err
}

func (c *Client) post(ctx context.Context, address, path string, epoch int64, msg, answer any) (Outcome, error) {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := json.Marshal(msg)
	if err != nil {
		return NotSent, errors.Wrap(err, "agent: unable to encode message")
	}
	// Without a connection no byte can have been sent.
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, baseURL(address)+path, bytes.NewReader(body))
	if err != nil {
		return NotSent, errors.Wrap(err, "agent: unable to build request")
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := c.HTTP.Do(req)
	if err != nil && !connected.Load() {
		return NotSent, errors.Wrap(err, "agent: unable to reach worker")
	}
	if err != nil {
		return Unknown, errors.Wrap(err, "agent: unable to get answer of worker")
	}
	defer func() { _ = res.Body.Close() }()
	return decode(res, epoch, answer)
}

func baseURL(address string) string {
	if strings.Contains(address, "://") {
		return address
	}
	return "http://" + address
}

func decode(res *http.Response, epoch int64, answer any) (Outcome, error) {
	text, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return Unknown, errors.Wrap(err, "agent: unable to read answer of worker")
	}
	switch res.StatusCode {
	case http.StatusOK:
		if err := json.Unmarshal(text, answer); err != nil {
			return Unknown, errors.Wrap(err, "agent: unable to decode answer of worker")
		}
		return Accepted, nil
	case http.StatusConflict:
		return conflict(text, epoch)
	default:
		return Unknown, errors.Newf("agent: worker answered with status %d", res.StatusCode)
	}
}

// conflict tells a newer owner from a worker that has not been claimed.
func conflict(text []byte, epoch int64) (Outcome, error) {
	var current struct {
		Epoch int64 `json:"epoch"`
	}
	if err := json.Unmarshal(text, &current); err != nil {
		return Unknown, errors.Wrap(err, "agent: unable to decode answer of worker")
	}
	if current.Epoch < epoch {
		return NotClaimed, errors.Newf("agent: worker is claimed for epoch %d, not %d", current.Epoch, epoch)
	}
	if current.Epoch == epoch {
		return Unknown, errors.New("agent: worker has taken a later call of this owner")
	}
	return Fenced, errors.Newf("agent: worker obeys the owner of epoch %d", current.Epoch)
}
