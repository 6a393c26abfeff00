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
	// Replay means that the request has run; the Claim holds its answer.
	Replay
	// InProgress means that a live request of this instance has the key; see Claim.Wait.
	InProgress
	// MayHaveRun means that another request claimed the key and left no answer.
	MayHaveRun
	// Mismatch means that the key belongs to a request with another body.
	Mismatch
	// Unavailable means that the store can't be reached; the request is not claimed and did not run.
	Unavailable
)

var verdictNames = [...]string{"run", "replay", "in progress", "may have run", "mismatch", "unavailable"}

func (v ClaimResult) String() string {
	if v < 0 || int(v) >= len(verdictNames) {
		return "invalid"
	}
	return verdictNames[v]
}

// Response is the response of a backend server to a request.
type Response struct {
	Status      int
	Body        []byte
	ContentType string
}

// Claim is the right to run a request, or what is known of an earlier one with the same key.
type Claim struct {
	User, Key string

	// Response is the recorded response if the ClaimResult is Replay.
	Response Response

	entry *entry
}

// Wait waits for the live request that has the key. False means that ctx ended, or that the
// request ended without an answer; if ctx has not ended, claim again for the verdict.
func (c Claim) Wait(ctx context.Context) (Response, bool) {
	if c.entry == nil {
		return Response{}, false
	}
	select {
	case <-c.entry.done:
		return c.entry.answer, c.entry.answered
	case <-ctx.Done():
		return Response{}, false
	}
}

// state says how far this instance is with a key.
type state int

const (
	// live means that the request is being claimed or runs.
	live state = iota
	// recorded means that the answer is known; its row may still have to be written.
	recorded
	// withdrawing means that the request did not run and its row has yet to be deleted.
	withdrawing
)

// entry is what this instance knows of a key. The fields from state on are guarded by
// Deduplicator.mu; answer and answered don't change after done is closed.
type entry struct {
	rowKey   string
	bodyHash uint64
	nonce    string
	version  int64
	done     chan struct{}

	state    state
	closed   bool
	answered bool
	answer   Response
}

func (e *entry) check() table.Check {
	return table.Check{Key: e.rowKey, Version: e.version}
}
