package table

import (
	"context"
	"time"
)

// entry is a write that is queued or in flight. GroupCommitter.mu guards sent, settled and result.
type entry struct {
	ctx    context.Context
	write  Write
	queued time.Time
	done   chan struct{}

	sent    bool
	settled bool
	result  Result
}

func newEntry(ctx context.Context, w Write) *entry {
	return &entry{ctx: ctx, write: w, queued: time.Now(), done: make(chan struct{})}
}

func (e *entry) rows() int {
	return len(e.write.Checks) + len(e.write.Puts) + len(e.write.Deletes)
}

func (e *entry) bytes() int {
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

// conflicts returns the conflicts that concern this write. A key that it writes without a
// check counts too.
func (e *entry) conflicts(versions map[string]int64) []Check {
	var found []Check
	own := make(map[string]bool, e.rows())
	for _, check := range e.write.Checks {
		own[check.Key] = true
		if version, ok := versions[check.Key]; ok && version != check.Version {
			found = append(found, Check{Key: check.Key, Version: version})
		}
	}
	for _, key := range e.writtenKeys() {
		if version, ok := versions[key]; ok && !own[key] {
			found = append(found, Check{Key: key, Version: version})
		}
	}
	return found
}

func (e *entry) writtenKeys() []string {
	keys := make([]string, 0, len(e.write.Puts)+len(e.write.Deletes))
	for _, put := range e.write.Puts {
		keys = append(keys, put.Key)
	}
	return append(keys, e.write.Deletes...)
}
