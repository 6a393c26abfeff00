package table

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// Commit sends a transaction and returns its outcome. If the response is lost, Commit looks up the
// transaction's token until ctx ends. It sends the transaction again only if the token is unknown
// and at most one copy of the transaction can take effect.
func (c *Client) Commit(ctx context.Context, tx Transaction) Result {
	if tx.Token == "" {
		tx.Token = uuid.NewString()
	}
	body, err := json.Marshal(tx)
	if err != nil {
		return Result{Outcome: Refused, Err: errors.Wrap(err, "table: unable to encode commit")}
	}
	res := c.post(ctx, body)
	if res.Outcome != Unknown {
		return res
	}
	c.LostAnswers.Add(1)
	res = c.resolve(ctx, tx, body, res)
	if res.Outcome != Unknown {
		c.Resolved.Add(1)
	}
	return res
}

// post makes one attempt to commit a transaction.
func (c *Client) post(ctx context.Context, body []byte) Result {
	const path = "/v1/table/commit"
	if err := ctx.Err(); err != nil {
		return Result{Outcome: Refused, Err: errors.Wrap(err, "table: commit was not sent")}
	}
	status, respBody, err := c.call(ctx, http.MethodPost, path, body)
	if errors.Is(err, errNotSent) {
		return Result{Outcome: Refused, Err: err}
	}
	if err != nil {
		return Result{Outcome: Unknown, Err: err}
	}
	var decoded struct {
		Version   int64   `json:"version"`
		Conflicts []Check `json:"conflicts"`
	}
	switch {
	case status == http.StatusOK:
		if err := json.Unmarshal(respBody, &decoded); err != nil {
			return Result{Outcome: Unknown, Err: errors.Wrap(err, "table: unable to decode the answer to a commit")}
		}
		return Result{Outcome: Committed, Version: decoded.Version}
	case status == http.StatusConflict:
		// The status alone means that nothing took effect, so a list that can't be decoded is no
		// reason to retry.
		_ = json.Unmarshal(respBody, &decoded)
		return Result{Outcome: Conflict, Conflicts: decoded.Conflicts}
	case status/100 == 4 && status != http.StatusTooManyRequests && status != http.StatusRequestTimeout:
		err := statusError(status, http.MethodPost, path, respBody)
		return Result{Outcome: Refused, Err: errors.Mark(err, ErrInvalid)}
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return Result{Outcome: Refused, Err: statusError(status, http.MethodPost, path, respBody)}
	}
	return Result{Outcome: Unknown, Err: statusError(status, http.MethodPost, path, respBody)}
}

// resolve determines whether a transaction whose response was lost took effect. It returns
// initial, the result of the first attempt, if that is still unknown when ctx ends.
func (c *Client) resolve(ctx context.Context, tx Transaction, body []byte, initial Result) Result {
	var backoff Backoff
	safe := tx.safeToResend()
	for {
		version, found, err := c.readToken(ctx, tx.Token)
		if found {
			return Result{Outcome: Committed, Version: version}
		}
		if err == nil && safe {
			if res, done := c.resend(ctx, tx, body); done {
				return res
			}
		}
		if !backoff.Sleep(ctx) {
			return initial
		}
	}
}

// resend sends a transaction whose token is unknown again. The first copy may still be in flight,
// so the outcome is final, and the returned bool true, only for Committed, or for Conflict if the
// token is still unknown.
func (c *Client) resend(ctx context.Context, tx Transaction, body []byte) (Result, bool) {
	c.Resends.Add(1)
	res := c.post(ctx, body)
	switch res.Outcome {
	case Committed:
		return res, true
	case Conflict:
		// The first copy may have taken effect after its token was read.
		version, found, err := c.readToken(ctx, tx.Token)
		if found {
			return Result{Outcome: Committed, Version: version}, true
		}
		return res, err == nil
	}
	return res, false
}

// readToken looks up a token and returns the version of its transaction. It returns false if the
// token is unknown.
func (c *Client) readToken(ctx context.Context, token string) (int64, bool, error) {
	var commit struct {
		Version int64 `json:"version"`
	}
	found, err := c.getJSON(ctx, "/v1/table/commits/"+url.PathEscape(token), &commit)
	return commit.Version, found, err
}
