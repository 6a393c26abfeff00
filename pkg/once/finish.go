package once

import (
	"context"

	"github.com/daisyrack/daisyrack/pkg/table"
)

// Finish records the response of a claimed request. Repeated requests get it at once on this
// instance, and on other instances as soon as it is stored.
func (d *Deduplicator) Finish(ctx context.Context, claim Claim, resp Response) {
	e := claim.entry
	if e == nil || !d.cacheResponse(e, resp) {
		return
	}
	if !d.writeResponse(ctx, e) {
		d.retryLater(e, 0, d.writeResponse)
	}
}

// cacheResponse keeps the response in memory. It returns false if the claim has ended already.
func (d *Deduplicator) cacheResponse(e *keyEntry, resp Response) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e.closed || e.state != active {
		return false
	}
	e.state = recorded
	e.response = resp
	e.hasResponse = true
	e.closeDone()
	for _, oldest := range d.cache.add(e, d.maxCachedResponses(), d.maxCachedBytes()) {
		if d.entries[oldest.rowKey] == oldest {
			delete(d.entries, oldest.rowKey)
		}
	}
	return true
}

// writeResponse stores the response in the row. It returns false if that has to be retried.
func (d *Deduplicator) writeResponse(ctx context.Context, e *keyEntry) bool {
	value := record{
		State:       stateDone,
		Holder:      d.Instance,
		Nonce:       e.nonce,
		BodyHash:    e.bodyHash,
		ClaimedMS:   d.now().UnixMilli(),
		Status:      e.response.Status,
		ContentType: e.response.ContentType,
		Body:        e.response.Body,
	}
	if len(value.Body) > MaxInlineBytes {
		encoded := table.EncodeObject(objectKind, e.version, value.Body)
		if d.PutObject(ctx, e.rowKey, encoded) != nil {
			return false
		}
		value.Body, value.ObjectVersion = nil, e.version
	}
	res := d.Commit(ctx, table.Write{
		Checks: []table.Check{e.rowCheck()},
		Puts:   []table.Put{{Key: e.rowKey, Value: value.encode()}},
	})
	// A conflict means that an earlier attempt took effect, or that the row was swept.
	return res.Outcome == table.Committed || res.Outcome == table.Conflict
}

// Release ends a claim whose request did not run, so that the key can be claimed again. If the
// store is down, the row is deleted in the background, and until then a repeated request gets
// MayHaveRun.
func (d *Deduplicator) Release(ctx context.Context, claim Claim) {
	e := claim.entry
	if e == nil || !d.beginRelease(e) {
		return
	}
	if !d.deleteRow(ctx, e) {
		d.retryLater(e, 0, d.deleteRow)
	}
}

// Abandon ends a claim whose request may have run but has no response. Its row stays claimed, so
// repeated requests get MayHaveRun.
func (d *Deduplicator) Abandon(claim Claim) {
	e := claim.entry
	if e == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if e.state == active {
		d.removeEntryLocked(e)
	}
}

// beginRelease marks an entry as releasing. It returns false if the claim has ended already.
func (d *Deduplicator) beginRelease(e *keyEntry) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e.closed || e.state != active {
		return false
	}
	e.state = releasing
	e.closeDone()
	return true
}

// deleteRow deletes the row of a claim. It returns false if that has to be retried.
func (d *Deduplicator) deleteRow(ctx context.Context, e *keyEntry) bool {
	res := d.Commit(ctx, table.Write{
		Checks:  []table.Check{e.rowCheck()},
		Deletes: []string{e.rowKey},
	})
	if res.Outcome != table.Committed && res.Outcome != table.Conflict {
		return false
	}
	d.removeEntry(e)
	return true
}

// deleteRowLater deletes, in the background, the row of a claim whose commit has an unknown outcome.
func (d *Deduplicator) deleteRowLater(e *keyEntry) {
	if d.beginRelease(e) {
		d.retryLater(e, 0, d.deleteUnconfirmedRow)
	}
}

// deleteUnconfirmedRow deletes the row of a claim if it exists. If it doesn't, the key can be
// claimed again, but the commit may still be in flight, so the row is looked for once more after
// lateCommitDelay.
func (d *Deduplicator) deleteUnconfirmedRow(ctx context.Context, e *keyEntry) bool {
	done, exists := d.deleteRowIfOwned(ctx, e)
	if !done {
		return false
	}
	if !exists {
		d.retryLater(e, lateCommitDelay, d.deleteLateRow)
	}
	d.removeEntry(e)
	return true
}

// deleteLateRow deletes the row of a claim whose commit took effect after its request was refused.
func (d *Deduplicator) deleteLateRow(ctx context.Context, e *keyEntry) bool {
	done, _ := d.deleteRowIfOwned(ctx, e)
	return done
}

// deleteRowIfOwned deletes a row if this claim wrote it. The first result is false if that has to
// be retried; the second one reports whether a row existed.
func (d *Deduplicator) deleteRowIfOwned(ctx context.Context, e *keyEntry) (done, exists bool) {
	row, exists, err := d.ReadRow(ctx, e.rowKey)
	if err != nil || !exists {
		return err == nil, false
	}
	rec, err := decodeRecord(row)
	if err != nil || rec.Nonce != e.nonce {
		return true, true
	}
	e.version = row.Version
	return d.deleteRow(ctx, e), true
}

func (d *Deduplicator) maxCachedResponses() int {
	if d.MaxCachedResponses > 0 {
		return d.MaxCachedResponses
	}
	return DefaultMaxCachedResponses
}

func (d *Deduplicator) maxCachedBytes() int {
	if d.MaxCachedBytes > 0 {
		return d.MaxCachedBytes
	}
	return DefaultMaxCachedBytes
}
