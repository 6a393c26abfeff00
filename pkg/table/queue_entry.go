package table

import (
	"context"
	"time"
)

// queueEntry is a write that is queued or in flight. GroupCommitter.mu guards sent, settled and
// result.
type queueEntry struct {
	ctx      context.Context
	write    Write
	queuedAt time.Time
	done     chan struct{}

	sent    bool
	settled bool
	result  Result
}

func newQueueEntry(ctx context.Context, w Write) *queueEntry {
	return &queueEntry{ctx: ctx, write: w, queuedAt: time.Now(), done: make(chan struct{})}
}

func (e *queueEntry) rows() int {
	return len(e.write.Checks) + len(e.write.Puts) + len(e.write.Deletes)
}

func (e *queueEntry) bytes() int {
	n := 0
	for _, check := range e.write.Checks {
		n += len(check.Key)
	}
	for _, put := range e.write.Puts {
		n += len(put.Key) + len(put.Value)
	}
	for _, key := range e.write.Deletes {
		n += len(key)
	}
	return n
}

// conflicts returns the rows of this write that conflict, given the current versions that the
// store reported. A key that is written without a check counts as well.
func (e *queueEntry) conflicts(versions map[string]int64) []Check {
	var found []Check
	checked := make(map[string]bool, e.rows())
	for _, check := range e.write.Checks {
		checked[check.Key] = true
		if version, ok := versions[check.Key]; ok && version != check.Version {
			found = append(found, Check{Key: check.Key, Version: version})
		}
	}
	for _, key := range e.writtenKeys() {
		if version, ok := versions[key]; ok && !checked[key] {
			found = append(found, Check{Key: key, Version: version})
		}
	}
	return found
}

func (e *queueEntry) writtenKeys() []string {
	keys := make([]string, 0, len(e.write.Puts)+len(e.write.Deletes))
	for _, put := range e.write.Puts {
		keys = append(keys, put.Key)
	}
	return append(keys, e.write.Deletes...)
}
