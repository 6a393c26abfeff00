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

	// maxClaimAttempts limits the attempts to claim a key whose row disappears between the failed
	// insert and the read that follows it.
	maxClaimAttempts = 3
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
	entries map[string]*keyEntry
	cache   responseCache
	backlog backlog
}

// Claim claims a key before its request is sent. The request may be sent only if the result is
// Run; the caller then ends the claim with Finish, Release or Abandon.
func (d *Deduplicator) Claim(ctx context.Context, user, key string, bodyHash uint64) (Claim, ClaimResult) {
	claim, result := d.claim(ctx, user, key, bodyHash)
	d.Stats.count(result)
	return claim, result
}

func (d *Deduplicator) claim(ctx context.Context, user, key string, bodyHash uint64) (Claim, ClaimResult) {
	claim := Claim{User: user, Key: key}
	e, known := d.lookupOrAdd(rowKey(user, key), bodyHash)
	if known {
		return d.resultOf(claim, e, bodyHash)
	}
	claim.entry = e
	for range maxClaimAttempts {
		res := d.insertRow(ctx, e)
		switch res.Outcome {
		case table.Committed:
			e.version = res.Version
			return claim, Run
		case table.Refused:
			d.removeEntry(e)
			return Claim{User: user, Key: key}, Unavailable
		case table.Unknown:
			// The row may exist or still appear. It has to be deleted, because the request will not
			// run.
			d.Stats.UnknownClaims.Add(1)
			d.deleteRowLater(e)
			return Claim{User: user, Key: key}, Unavailable
		}
		resp, result, retry := d.inspectRow(ctx, e)
		if result == Run {
			return claim, Run
		}
		if !retry {
			d.removeEntry(e)
			return Claim{User: user, Key: key, Response: resp}, result
		}
	}
	d.removeEntry(e)
	return Claim{User: user, Key: key}, Unavailable
}

// lookupOrAdd returns the entry of a key and true, or adds an active entry and returns it with
// false.
func (d *Deduplicator) lookupOrAdd(rowKey string, bodyHash uint64) (*keyEntry, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if known, ok := d.entries[rowKey]; ok {
		return known, true
	}
	if d.entries == nil {
		d.entries = make(map[string]*keyEntry)
	}
	e := &keyEntry{rowKey: rowKey, bodyHash: bodyHash, nonce: uuid.NewString(), done: make(chan struct{})}
	d.entries[rowKey] = e
	return e, false
}

// resultOf returns the result of a claim whose key has an entry on this instance.
func (d *Deduplicator) resultOf(claim Claim, known *keyEntry, bodyHash uint64) (Claim, ClaimResult) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if known.bodyHash != bodyHash {
		return claim, Mismatch
	}
	switch known.state {
	case recorded:
		claim.Response = known.response
		return claim, Replay
	case releasing:
		return claim, MayHaveRun
	}
	claim.entry = known
	return claim, InProgress
}

func (d *Deduplicator) insertRow(ctx context.Context, e *keyEntry) table.Result {
	value := record{
		State:     stateClaimed,
		Holder:    d.Instance,
		Nonce:     e.nonce,
		BodyHash:  e.bodyHash,
		ClaimedMS: d.now().UnixMilli(),
	}
	return d.Commit(ctx, table.Write{
		Checks: []table.Check{{Key: e.rowKey}},
		Puts:   []table.Put{{Key: e.rowKey, Value: value.encode()}},
	})
}

// inspectRow reads the row that conflicts with the insert of a claim. The returned bool is true if
// the row has disappeared, so that the insert may be retried.
func (d *Deduplicator) inspectRow(ctx context.Context, e *keyEntry) (Response, ClaimResult, bool) {
	row, exists, err := d.ReadRow(ctx, e.rowKey)
	if err != nil {
		// The key is claimed, so the earlier request may have run.
		return Response{}, MayHaveRun, false
	}
	if !exists {
		return Response{}, Unavailable, true
	}
	rec, err := decodeRecord(row)
	switch {
	case err != nil:
		d.Stats.Unreadable.Add(1)
		return Response{}, MayHaveRun, false
	case rec.Nonce == e.nonce && rec.State == stateClaimed:
		e.version = row.Version
		return Response{}, Run, false
	case rec.BodyHash != e.bodyHash:
		return Response{}, Mismatch, false
	case rec.State != stateDone:
		return Response{}, MayHaveRun, false
	}
	resp, ok := d.loadResponse(ctx, e.rowKey, rec)
	if !ok {
		return Response{}, MayHaveRun, false
	}
	return resp, Replay, false
}

// loadResponse returns the stored response. It returns false if its body can't be read.
func (d *Deduplicator) loadResponse(ctx context.Context, name string, rec record) (Response, bool) {
	resp := Response{Status: rec.Status, ContentType: rec.ContentType, Body: rec.Body}
	if rec.ObjectVersion == 0 {
		return resp, true
	}
	encoded, exists, err := d.GetObject(ctx, name)
	if err != nil || !exists {
		return Response{}, false
	}
	body, version, err := table.DecodeObject(objectKind, encoded)
	if err != nil || version != rec.ObjectVersion {
		d.Stats.Unreadable.Add(1)
		return Response{}, false
	}
	resp.Body = body
	return resp, true
}

// removeEntry removes the entry of a key and ends the waits for it.
func (d *Deduplicator) removeEntry(e *keyEntry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.removeEntryLocked(e)
}

// removeEntryLocked is removeEntry for callers that hold d.mu.
func (d *Deduplicator) removeEntryLocked(e *keyEntry) {
	if d.entries[e.rowKey] == e {
		delete(d.entries, e.rowKey)
	}
	e.closeDone()
}

// closeDone ends the waits for the entry. The caller holds Deduplicator.mu.
func (e *keyEntry) closeDone() {
	if !e.closed {
		e.closed = true
		close(e.done)
	}
}

func (d *Deduplicator) now() time.Time {
	if d.Now != nil {
		return d.Now()
	}
	return time.Now()
}
