package once

import (
	"context"

	"github.com/daisyrack/daisyrack/pkg/table"
)

// ClaimResult tells the caller of Claim what to do with a request.
type ClaimResult int

const (
	// Run means that this request, and no other, may be sent to a backend server.
	Run ClaimResult = iota
	// Replay means that the request has run; the Claim holds its response.
	Replay
	// InProgress means that a request with this key is running on this instance; see Claim.Wait.
	InProgress
	// MayHaveRun means that another request claimed the key and its response is not known.
	MayHaveRun
	// Mismatch means that the key belongs to a request with another body.
	Mismatch
	// Unavailable means that the store is unavailable: the key is not claimed and the request must
	// not run.
	Unavailable
)

var claimResultNames = [...]string{"run", "replay", "in progress", "may have run", "mismatch", "unavailable"}

func (r ClaimResult) String() string {
	if r < 0 || int(r) >= len(claimResultNames) {
		return "invalid"
	}
	return claimResultNames[r]
}

// Response is the response of a backend server to a request.
type Response struct {
	Status      int
	Body        []byte
	ContentType string
}

// Claim is the permission to run a request, or what is known about an earlier request with the
// same key.
type Claim struct {
	User, Key string

	// Response is the recorded response if the ClaimResult is Replay.
	Response Response

	entry *keyEntry
}

// Wait waits for the running request with the same key and returns its response. It returns false
// if ctx ended or the request ended without a response; in the latter case claim the key again.
func (c Claim) Wait(ctx context.Context) (Response, bool) {
	if c.entry == nil {
		return Response{}, false
	}
	select {
	case <-c.entry.done:
		return c.entry.response, c.entry.hasResponse
	case <-ctx.Done():
		return Response{}, false
	}
}

// entryState is the state of a key on this instance.
type entryState int

const (
	// active means that the request is being claimed or is running.
	active entryState = iota
	// recorded means that the response is known; it may not be stored in the row yet.
	recorded
	// releasing means that the request did not run and its row is still to be deleted.
	releasing
)

// keyEntry is what this instance knows about a key. The fields from state on are guarded by
// Deduplicator.mu; response and hasResponse don't change after done is closed.
type keyEntry struct {
	rowKey   string
	bodyHash uint64
	nonce    string
	version  int64
	done     chan struct{}

	state       entryState
	closed      bool
	hasResponse bool
	response    Response
}

func (e *keyEntry) rowCheck() table.Check {
	return table.Check{Key: e.rowKey, Version: e.version}
}
