package once

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/daisyrack/daisyrack/pkg/table"
)

const (
	// DefaultMaxCachedResponses is how many recent responses of this instance are kept in memory.
	DefaultMaxCachedResponses = 4096
	// DefaultMaxCachedBytes limits the total size of the response bodies kept in memory.
	DefaultMaxCachedBytes = 16 << 20
	// DefaultMaxBacklog limits the row changes that wait for the store.
	DefaultMaxBacklog = 4096
	// DefaultMaxBacklogBytes limits the total size of the response bodies that wait for the store.
	DefaultMaxBacklogBytes = 16 << 20

	// claimAttempts bounds the tries for a key whose row disappears between insert and read.
	claimAttempts = 3
)

// Deduplicator claims the idempotency keys of non-idempotent requests. Set the fields before the
// first call. All methods may be called concurrently.
type Deduplicator struct {
	// Commit commits a write, normally table.GroupCommitter.Do.
	Commit func(context.Context, table.Write) table.Result
	// ReadRow reads a row of the table.
	ReadRow func(ctx context.Context, key string) (table.Row, bool, error)
	// ReadRows reads a page of rows; only Sweep needs it.
	ReadRows func(ctx context.Context, prefix, after string, limit int) ([]table.Row, int64, error)
	// PutObject, GetObject and DeleteObject access the response bodies above MaxInlineBytes.
	PutObject    func(ctx context.Context, name string, b []byte) error
	GetObject    func(ctx context.Context, name string) ([]byte, bool, error)
	DeleteObject func(ctx context.Context, name string) error

	// Instance is the name of this instance.
	Instance string
	// Now is the clock for the age of rows; nil means time.Now.
	Now func() time.Time

	// MaxCachedResponses and MaxCachedBytes limit the recent responses of this instance that are
	// kept in memory; 0 means the default.
	MaxCachedResponses, MaxCachedBytes int
	// MaxBacklog and MaxBacklogBytes limit the row changes that wait for the store; 0 means the
	// default.
	MaxBacklog, MaxBacklogBytes int

	// Stats holds the counters.
	Stats Stats

	mu      sync.Mutex
	entries map[string]*entry
	recent  recent
	backlog backlog
}

// Claim claims a key before its request is sent. The request may be sent only if the result is
// Run; the caller then ends the claim with Finish, Release or Abandon.
func (r *Deduplicator) Claim(ctx context.Context, user, key string, bodyHash uint64) (Claim, ClaimResult) {
	claim, verdict := r.claim(ctx, user, key, bodyHash)
	r.Stats.count(verdict)
	return claim, verdict
}

func (r *Deduplicator) claim(ctx context.Context, user, key string, bodyHash uint64) (Claim, ClaimResult) {
	claim := Claim{User: user, Key: key}
	own, known := r.enter(rowKey(user, key), bodyHash)
	if known {
		return r.repeat(claim, own, bodyHash)
	}
	claim.entry = own
	for range claimAttempts {
		res := r.insert(ctx, own)
		switch res.Outcome {
		case table.Committed:
			own.version = res.Version
			return claim, Run
		case table.Refused:
			r.leave(own)
			return Claim{User: user, Key: key}, Unavailable
		case table.Unknown:
			// The row may exist or still appear. The request is not run, so the row must go.
			r.Stats.UnknownClaims.Add(1)
			r.removeLater(own)
			return Claim{User: user, Key: key}, Unavailable
		}
		answer, verdict, again := r.inspect(ctx, own)
		if verdict == Run {
			return claim, Run
		}
		if !again {
			r.leave(own)
			return Claim{User: user, Key: key, Response: answer}, verdict
		}
	}
	r.leave(own)
	return Claim{User: user, Key: key}, Unavailable
}

// enter returns what this instance knows of a key; if it knows nothing, a new live entry.
func (r *Deduplicator) enter(rowKey string, bodyHash uint64) (*entry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, ok := r.entries[rowKey]; ok {
		return known, true
	}
	if r.entries == nil {
		r.entries = make(map[string]*entry)
	}
	own := &entry{rowKey: rowKey, bodyHash: bodyHash, nonce: uuid.NewString(), done: make(chan struct{})}
	r.entries[rowKey] = own
	return own, false
}

// repeat is the verdict on a key that this instance knows.
func (r *Deduplicator) repeat(claim Claim, known *entry, bodyHash uint64) (Claim, ClaimResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known.bodyHash != bodyHash {
		return claim, Mismatch
	}
	switch known.state {
	case recorded:
		claim.Response = known.answer
		return claim, Replay
	case withdrawing:
		return claim, MayHaveRun
	}
	claim.entry = known
	return claim, InProgress
}

func (r *Deduplicator) insert(ctx context.Context, own *entry) table.Result {
	value := record{
		State:     stateClaimed,
		Holder:    r.Instance,
		Nonce:     own.nonce,
		BodyHash:  own.bodyHash,
		ClaimedMS: r.now().UnixMilli(),
	}
	return r.Commit(ctx, table.Write{
		Checks: []table.Check{{Key: own.rowKey}},
		Puts:   []table.Put{{Key: own.rowKey, Value: value.encode()}},
	})
}

// inspect reads the row that kept a claim from being inserted. The last result is true if the
// row has disappeared, so that the insert may be tried again.
func (r *Deduplicator) inspect(ctx context.Context, own *entry) (Response, ClaimResult, bool) {
	row, exists, err := r.ReadRow(ctx, own.rowKey)
	if err != nil {
		// The key is taken, so the earlier request may have run.
		return Response{}, MayHaveRun, false
	}
	if !exists {
		return Response{}, Unavailable, true
	}
	found, err := decode(row)
	switch {
	case err != nil:
		r.Stats.Unreadable.Add(1)
		return Response{}, MayHaveRun, false
	case found.Nonce == own.nonce && found.State == stateClaimed:
		own.version = row.Version
		return Response{}, Run, false
	case found.BodyHash != own.bodyHash:
		return Response{}, Mismatch, false
	case found.State != stateDone:
		return Response{}, MayHaveRun, false
	}
	answer, ok := r.load(ctx, own.rowKey, found)
	if !ok {
		return Response{}, MayHaveRun, false
	}
	return answer, Replay, false
}

// load returns the recorded answer; false means that its body can't be read now.
func (r *Deduplicator) load(ctx context.Context, name string, found record) (Response, bool) {
	answer := Response{Status: found.Status, ContentType: found.ContentType, Body: found.Body}
	if found.ObjectVersion == 0 {
		return answer, true
	}
	sealed, exists, err := r.GetObject(ctx, name)
	if err != nil || !exists {
		return Response{}, false
	}
	body, version, err := table.DecodeObject(objectKind, sealed)
	if err != nil || version != found.ObjectVersion {
		r.Stats.Unreadable.Add(1)
		return Response{}, false
	}
	answer.Body = body
	return answer, true
}

// leave forgets a key, and tells those that wait for it that there is no answer.
func (r *Deduplicator) leave(own *entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(own)
}

// forget needs r.mu held.
func (r *Deduplicator) forget(own *entry) {
	if r.entries[own.rowKey] == own {
		delete(r.entries, own.rowKey)
	}
	own.close()
}

// close needs Deduplicator.mu held.
func (e *entry) close() {
	if !e.closed {
		e.closed = true
		close(e.done)
	}
}

func (r *Deduplicator) now() time.Time {
	if r.Now != nil {
		return r.Now()
	}
	return time.Now()
}
