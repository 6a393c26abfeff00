package table

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// Commit carries out a transaction. An answer that is lost is resolved by reading the token
// back until ctx ends; the transaction is sent again only if its token is unknown and at most
// one copy of it can take effect.
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

// post sends a transaction once.
func (c *Client) post(ctx context.Context, body []byte) Result {
	const path = "/v1/table/commit"
	if err := ctx.Err(); err != nil {
		return Result{Outcome: Refused, Err: errors.Wrap(err, "table: commit was not sent")}
	}
	status, answer, err := c.call(ctx, http.MethodPost, path, body)
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
		if err := json.Unmarshal(answer, &decoded); err != nil {
			return Result{Outcome: Unknown, Err: errors.Wrap(err, "table: unable to decode the answer to a commit")}
		}
		return Result{Outcome: Committed, Version: decoded.Version}
	case status == http.StatusConflict:
		// The status alone says that nothing took effect, so a damaged list is no reason to retry.
		_ = json.Unmarshal(answer, &decoded)
		return Result{Outcome: Conflict, Conflicts: decoded.Conflicts}
	case status/100 == 4 && status != http.StatusTooManyRequests && status != http.StatusRequestTimeout:
		err := statusError(status, http.MethodPost, path, answer)
		return Result{Outcome: Refused, Err: errors.Mark(err, ErrInvalid)}
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return Result{Outcome: Refused, Err: statusError(status, http.MethodPost, path, answer)}
	}
	return Result{Outcome: Unknown, Err: statusError(status, http.MethodPost, path, answer)}
}

// resolve finds out whether a transaction whose answer was lost took effect.
func (c *Client) resolve(ctx context.Context, tx Transaction, body []byte, lost Result) Result {
	var backoff Backoff
	repeatable := tx.repeatable()
	for {
		version, found, err := c.token(ctx, tx.Token)
		if found {
			return Result{Outcome: Committed, Version: version}
		}
		if err == nil && repeatable {
			if res, done := c.repeat(ctx, tx, body); done {
				return res
			}
		}
		if !backoff.Sleep(ctx) {
			return lost
		}
	}
}

// repeat sends a transaction again whose token is unknown. The first copy may still be on its
// way, so only Committed, and Conflict with the token still unknown, end the search.
func (c *Client) repeat(ctx context.Context, tx Transaction, body []byte) (Result, bool) {
	c.Repeats.Add(1)
	res := c.post(ctx, body)
	switch res.Outcome {
	case Committed:
		return res, true
	case Conflict:
		// The first copy may have taken effect after its token was read.
		version, found, err := c.token(ctx, tx.Token)
		if found {
			return Result{Outcome: Committed, Version: version}, true
		}
		return res, err == nil
	}
	return res, false
}

// token reads the version of the transaction with this token; false means that it is unknown.
func (c *Client) token(ctx context.Context, token string) (int64, bool, error) {
	var answer struct {
		Version int64 `json:"version"`
	}
	found, err := c.read(ctx, "/v1/table/commits/"+url.PathEscape(token), &answer)
	return answer.Version, found, err
}
