package table

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// batch collects the writes of one transaction.
type batch struct {
	maxRows, maxBytes int

	entries []*queueEntry
	tx      Transaction
	fence   []Check
	rows    int
	bytes   int
	full    bool

	// checkedVersions maps each checked key to its expected version. reserved holds the keys that
	// are put or deleted, and all keys of writes that were left out, so that later writes to the
	// same keys are not sent before them.
	checkedVersions map[string]int64
	reserved        map[string]bool
}

func newBatch(fence []Check, maxRows, maxBytes int) *batch {
	b := &batch{
		maxRows:         maxRows,
		maxBytes:        maxBytes,
		fence:           fence,
		rows:            len(fence),
		checkedVersions: make(map[string]int64),
		reserved:        make(map[string]bool),
	}
	for _, check := range fence {
		b.checkedVersions[check.Key] = check.Version
		b.tx.Checks = append(b.tx.Checks, check)
	}
	return b
}

// compatibleWithFence reports whether a write can share a transaction with the checks of the
// fence. If it can't, the returned result is the outcome of the write.
func (b *batch) compatibleWithFence(e *queueEntry) (Result, bool) {
	rows := len(b.fence) + e.rows()
	if rows > b.maxRows || e.bytes() > b.maxBytes {
		err := errors.Wrapf(ErrTooLarge, "table: %d rows with the fence and %d bytes", rows, e.bytes())
		return Result{Outcome: Refused, Err: err}, false
	}
	for _, fence := range b.fence {
		for _, check := range e.write.Checks {
			if check.Key == fence.Key && check.Version != fence.Version {
				return Result{Outcome: Conflict, Conflicts: []Check{fence}}, false
			}
		}
		if slices.Contains(e.writtenKeys(), fence.Key) {
			err := errors.Wrapf(ErrInvalid, "table: write changes the fence %q", fence.Key)
			return Result{Outcome: Refused, Err: err}, false
		}
	}
	return Result{}, true
}

// add adds a write to the transaction. It returns false if the write has to wait for a later one.
func (b *batch) add(e *queueEntry) bool {
	if !b.fits(e) {
		b.full = true
		return false
	}
	if !b.independent(e) {
		b.reserve(e)
		return false
	}
	b.rows += e.rows()
	b.bytes += e.bytes()
	b.entries = append(b.entries, e)
	for _, check := range e.write.Checks {
		if _, ok := b.checkedVersions[check.Key]; !ok {
			b.checkedVersions[check.Key] = check.Version
			b.tx.Checks = append(b.tx.Checks, check)
		}
	}
	for _, key := range e.writtenKeys() {
		b.reserved[key] = true
	}
	b.tx.Puts = append(b.tx.Puts, e.write.Puts...)
	b.tx.Deletes = append(b.tx.Deletes, e.write.Deletes...)
	return true
}

func (b *batch) fits(e *queueEntry) bool {
	return b.rows+e.rows() <= b.maxRows && b.bytes+e.bytes() <= b.maxBytes
}

// independent reports whether a write neither changes nor checks a key that a write of this
// transaction changes, changes no key that is checked, and expects the same version of each key
// that is checked.
func (b *batch) independent(e *queueEntry) bool {
	for _, check := range e.write.Checks {
		if b.reserved[check.Key] {
			return false
		}
		if version, ok := b.checkedVersions[check.Key]; ok && version != check.Version {
			return false
		}
	}
	for _, key := range e.writtenKeys() {
		if _, checked := b.checkedVersions[key]; checked || b.reserved[key] {
			return false
		}
	}
	return true
}

// reserve excludes the keys of a write that was left out from the rest of this transaction.
func (b *batch) reserve(e *queueEntry) {
	for _, check := range e.write.Checks {
		b.reserved[check.Key] = true
	}
	for _, key := range e.writtenKeys() {
		b.reserved[key] = true
	}
}
