package once

import (
	"context"

	"github.com/daisyrack/daisyrack/pkg/table"
)

// Finish records the answer of a claimed request. From then on repeats get it, from memory on
// this instance, and elsewhere as soon as the store has it.
func (r *Deduplicator) Finish(ctx context.Context, claim Claim, answer Response) {
	own := claim.entry
	if own == nil || !r.record(own, answer) {
		return
	}
	if !r.write(ctx, own) {
		r.later(own, 0, r.write)
	}
}

// record keeps the answer in memory; false means that the claim has ended already.
func (r *Deduplicator) record(own *entry, answer Response) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if own.closed || own.state != live {
		return false
	}
	own.state = recorded
	own.answer = answer
	own.answered = true
	own.close()
	for _, oldest := range r.recent.keep(own, r.results(), r.resultBytes()) {
		if r.entries[oldest.rowKey] == oldest {
			delete(r.entries, oldest.rowKey)
		}
	}
	return true
}

// write puts the answer into the row; false means that it has to be tried again.
func (r *Deduplicator) write(ctx context.Context, own *entry) bool {
	value := record{
		State:       stateDone,
		Holder:      r.Instance,
		Nonce:       own.nonce,
		BodyHash:    own.bodyHash,
		ClaimedMS:   r.now().UnixMilli(),
		Status:      own.answer.Status,
		ContentType: own.answer.ContentType,
		Body:        own.answer.Body,
	}
	if len(value.Body) > MaxInlineBytes {
		sealed := table.EncodeObject(objectKind, own.version, value.Body)
		if r.PutObject(ctx, own.rowKey, sealed) != nil {
			return false
		}
		value.Body, value.ObjectVersion = nil, own.version
	}
	res := r.Commit(ctx, table.Write{
		Checks: []table.Check{own.check()},
		Puts:   []table.Put{{Key: own.rowKey, Value: value.encode()}},
	})
	// A conflict means that an earlier try took effect, or that the row was swept.
	return res.Outcome == table.Committed || res.Outcome == table.Conflict
}

// Release ends a claim whose request did not run, so that the key can be claimed again. If the
// store is down, the row is deleted in the background, and until then a repeated request gets
// MayHaveRun.
func (r *Deduplicator) Release(ctx context.Context, claim Claim) {
	own := claim.entry
	if own == nil || !r.withdrawing(own) {
		return
	}
	if !r.remove(ctx, own) {
		r.later(own, 0, r.remove)
	}
}

// Abandon gives up a claim whose request may have run but has no answer. Its row stays claimed,
// so that every repeat gets MayHaveRun.
func (r *Deduplicator) Abandon(claim Claim) {
	own := claim.entry
	if own == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if own.state == live {
		r.forget(own)
	}
}

func (r *Deduplicator) withdrawing(own *entry) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if own.closed || own.state != live {
		return false
	}
	own.state = withdrawing
	own.close()
	return true
}

// remove deletes the row of a claim; false means that it has to be tried again.
func (r *Deduplicator) remove(ctx context.Context, own *entry) bool {
	res := r.Commit(ctx, table.Write{
		Checks:  []table.Check{own.check()},
		Deletes: []string{own.rowKey},
	})
	if res.Outcome != table.Committed && res.Outcome != table.Conflict {
		return false
	}
	r.leave(own)
	return true
}

// removeLater deletes, in the background, the row of a claim whose commit stayed unknown.
func (r *Deduplicator) removeLater(own *entry) {
	if r.withdrawing(own) {
		r.later(own, 0, r.removeUnknown)
	}
}

// removeUnknown deletes the row of a claim of which it is not known whether it exists. Without
// a row the key is free again, but the commit may still be on its way.
func (r *Deduplicator) removeUnknown(ctx context.Context, own *entry) bool {
	done, exists := r.removeOwn(ctx, own)
	if !done {
		return false
	}
	if !exists {
		r.later(own, ghostDelay, r.removeGhost)
	}
	r.leave(own)
	return true
}

// removeGhost deletes the row of a claim whose commit took effect after its request was refused.
func (r *Deduplicator) removeGhost(ctx context.Context, own *entry) bool {
	done, _ := r.removeOwn(ctx, own)
	return done
}

// removeOwn deletes a row if this claim wrote it. The first result is false if it has to be
// tried again, the second one says whether there was a row.
func (r *Deduplicator) removeOwn(ctx context.Context, own *entry) (done, exists bool) {
	row, exists, err := r.ReadRow(ctx, own.rowKey)
	if err != nil || !exists {
		return err == nil, false
	}
	found, err := decode(row)
	if err != nil || found.Nonce != own.nonce {
		return true, true
	}
	own.version = row.Version
	return r.remove(ctx, own), true
}

func (r *Deduplicator) results() int {
	if r.MaxCachedResponses > 0 {
		return r.MaxCachedResponses
	}
	return DefaultMaxCachedResponses
}

func (r *Deduplicator) resultBytes() int {
	if r.MaxCachedBytes > 0 {
		return r.MaxCachedBytes
	}
	return DefaultMaxCachedBytes
}
