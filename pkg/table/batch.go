package table

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// batch collects the writes of one transaction.
type batch struct {
	maxRows, maxBytes int

	entries []*entry
	tx      Transaction
	fence   []Check
	rows    int
	bytes   int
	full    bool

	// checked holds the demanded versions; written the keys that are put or deleted, and the
	// keys of writes that were left out, so that no later write overtakes them.
	checked map[string]int64
	written map[string]bool
}

func newBatch(fence []Check, maxRows, maxBytes int) *batch {
	b := &batch{
		maxRows:  maxRows,
		maxBytes: maxBytes,
		fence:    fence,
		rows:     len(fence),
		checked:  make(map[string]int64),
		written:  make(map[string]bool),
	}
	for _, check := range fence {
		b.checked[check.Key] = check.Version
		b.tx.Checks = append(b.tx.Checks, check)
	}
	return b
}

// fenced reports whether a write can ever share a transaction with the fence; if not, the result
// is its outcome.
func (b *batch) fenced(e *entry) (Result, bool) {
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

// add takes a write into the transaction; false means that it has to wait for the next one.
func (b *batch) add(e *entry) bool {
	if !b.fits(e) {
		b.full = true
		return false
	}
	if !b.apart(e) {
		b.block(e)
		return false
	}
	b.rows += e.rows()
	b.bytes += e.bytes()
	b.entries = append(b.entries, e)
	for _, check := range e.write.Checks {
		if _, ok := b.checked[check.Key]; !ok {
			b.checked[check.Key] = check.Version
			b.tx.Checks = append(b.tx.Checks, check)
		}
	}
	for _, key := range e.writtenKeys() {
		b.written[key] = true
	}
	b.tx.Puts = append(b.tx.Puts, e.write.Puts...)
	b.tx.Deletes = append(b.tx.Deletes, e.write.Deletes...)
	return true
}

func (b *batch) fits(e *entry) bool {
	return b.rows+e.rows() <= b.maxRows && b.bytes+e.bytes() <= b.maxBytes
}

// apart reports whether no key that one write changes is touched by another one, and no two
// writes demand different versions of one row.
func (b *batch) apart(e *entry) bool {
	for _, check := range e.write.Checks {
		if b.written[check.Key] {
			return false
		}
		if version, ok := b.checked[check.Key]; ok && version != check.Version {
			return false
		}
	}
	for _, key := range e.writtenKeys() {
		if _, checked := b.checked[key]; checked || b.written[key] {
			return false
		}
	}
	return true
}

func (b *batch) block(e *entry) {
	for _, check := range e.write.Checks {
		b.written[check.Key] = true
	}
	for _, key := range e.writtenKeys() {
		b.written[key] = true
	}
}
