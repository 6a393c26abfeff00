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

// Outcome tells whether a worker executed a call, as far as the caller knows.
type Outcome int

const (
	// Accepted means that the worker executed the call.
	Accepted Outcome = iota
	// Fenced means that the worker rejected the call because an owner of a later epoch has claimed
	// it.
	Fenced
	// NotClaimed means that the worker rejected the call because no owner, or only an owner of an
	// earlier epoch, has claimed it.
	NotClaimed
	// NotSent means that no byte of the call reached the worker.
	NotSent
	// Unknown means that the worker may have executed the call.
	Unknown
)

const (
	// DefaultTimeout limits one call to a worker when Client.Timeout is 0.
	DefaultTimeout = 2 * time.Second

	// maxReplyBytes limits the part of a worker's reply that is read.
	maxReplyBytes = 8 << 20
)

// Client sends claims and syncs to workers over HTTP.
type Client struct {
	HTTP    *http.Client
	Timeout time.Duration
}

// Claim sends a claim to the worker at address.
func (c *Client) Claim(ctx context.Context, address string, msg Claim) (ClaimReply, Outcome, error) {
	var reply ClaimReply
	outcome, err := c.post(ctx, address, "/v1/claim", msg.Epoch, msg, &reply)
	return reply, outcome, err
}

// Sync sends commands to the worker at address.
func (c *Client) Sync(ctx context.Context, address string, msg Sync) (SyncReply, Outcome, error) {
	var reply SyncReply
	outcome, err := c.post(ctx, address, "/v1/sync", msg.Epoch, msg, &reply)
	return reply, outcome, err
}

func (c *Client) post(ctx context.Context, address, path string, epoch int64, msg, reply any) (Outcome, error) {
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
	// As long as the transport has no connection, no byte of the request can have been sent.
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
		return Unknown, errors.Wrap(err, "agent: no reply from worker")
	}
	defer func() { _ = res.Body.Close() }()
	return decodeReply(res, epoch, reply)
}

func baseURL(address string) string {
	if strings.Contains(address, "://") {
		return address
	}
	return "http://" + address
}

func decodeReply(res *http.Response, epoch int64, reply any) (Outcome, error) {
	body, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes))
	if err != nil {
		return Unknown, errors.Wrap(err, "agent: unable to read reply from worker")
	}
	switch res.StatusCode {
	case http.StatusOK:
		if err := json.Unmarshal(body, reply); err != nil {
			return Unknown, errors.Wrap(err, "agent: unable to decode reply from worker")
		}
		return Accepted, nil
	case http.StatusConflict:
		return conflictOutcome(body, epoch)
	default:
		return Unknown, errors.Newf("agent: worker replied with unexpected status %d", res.StatusCode)
	}
}

// conflictOutcome reads the worker's current epoch from a conflict reply and compares it with the
// epoch of the call.
func conflictOutcome(body []byte, epoch int64) (Outcome, error) {
	var current struct {
		Epoch int64 `json:"epoch"`
	}
	if err := json.Unmarshal(body, &current); err != nil {
		return Unknown, errors.Wrap(err, "agent: unable to decode reply from worker")
	}
	if current.Epoch < epoch {
		return NotClaimed, errors.Newf("agent: worker has been claimed for epoch %d, not for epoch %d", current.Epoch, epoch)
	}
	if current.Epoch == epoch {
		return Unknown, errors.New("agent: worker has already executed a later call of this owner")
	}
	return Fenced, errors.Newf("agent: worker has been claimed by an owner of later epoch %d", current.Epoch)
}
