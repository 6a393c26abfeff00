package once

import (
	"context"
	"sync"
	"time"

	"github.com/daisyrack/daisyrack/pkg/table"
)

const (
	// maxRetryTime is how long a row change is retried. It covers an outage of one hour with some
	// margin.
	maxRetryTime = 2 * time.Hour
	// attemptTimeout is the timeout of one attempt.
	attemptTimeout = 5 * time.Second
	// maxConcurrentRetries limits the changes that are retried concurrently, so that group commit
	// can combine them into one transaction.
	maxConcurrentRetries = 64
	// lateCommitDelay is the time after which the row of a claim whose commit has an unknown
	// outcome is looked for once more. A commit that takes effect even later leaves a claimed row
	// until the sweep.
	lateCommitDelay = 10 * time.Second
)

// rowChange is a change of a row that waits for the store.
type rowChange struct {
	entry     *keyEntry
	apply     func(context.Context, *keyEntry) bool
	dueAt     time.Time
	expiresAt time.Time
	bodyBytes int
}

// backlog holds the row changes that wait for the store, oldest first. Deduplicator.mu guards it.
// A goroutine retries the changes until there are none left.
type backlog struct {
	changes   []*rowChange
	bodyBytes int
	running   bool
	closed    bool
	stop      chan struct{}
	stopped   chan struct{}
}

// retryLater adds a row change to the backlog. It is tried in the background after a delay.
func (d *Deduplicator) retryLater(e *keyEntry, delay time.Duration, apply func(context.Context, *keyEntry) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := &d.backlog
	size := len(e.response.Body)
	if b.closed || len(b.changes) >= d.maxBacklog() || b.bodyBytes+size > d.maxBacklogBytes() {
		d.dropChange(e)
		return
	}
	now := time.Now()
	b.changes = append(b.changes, &rowChange{
		entry:     e,
		apply:     apply,
		dueAt:     now.Add(delay),
		expiresAt: now.Add(maxRetryTime),
		bodyBytes: size,
	})
	b.bodyBytes += size
	if b.running {
		return
	}
	b.running = true
	b.stop = make(chan struct{})
	b.stopped = make(chan struct{})
	go d.retryLoop(b.stop, b.stopped)
}

// dropChange gives up a row change; the row stays claimed until the sweep. The caller holds d.mu.
func (d *Deduplicator) dropChange(e *keyEntry) {
	d.Stats.Dropped.Add(1)
	if e.state == releasing {
		d.removeEntryLocked(e)
	}
}

// retryLoop applies the changes that are due, with a backoff while the store is down. After a
// failure it tries a single change as a probe, and after each success twice as many as before.
func (d *Deduplicator) retryLoop(stop, stopped chan struct{}) {
	defer close(stopped)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-stop:
			cancel()
		case <-ctx.Done():
		}
	}()
	var backoff table.Backoff
	concurrency := 1
	for {
		if !backoff.Sleep(ctx) {
			d.dropAll()
			return
		}
		due, wait, pending := d.dueChanges(concurrency)
		if !pending {
			return
		}
		if len(due) == 0 {
			sleep(ctx, min(wait, time.Second))
			continue
		}
		if !d.applyChanges(ctx, due) {
			concurrency = 1
			continue
		}
		backoff.Reset()
		concurrency = min(2*concurrency, maxConcurrentRetries)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// dueChanges returns up to limit changes that are due, and the time until the next one is. If the
// backlog is empty, it returns false and the calling goroutine has to end.
func (d *Deduplicator) dueChanges(limit int) ([]*rowChange, time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.backlog.changes) == 0 {
		d.backlog.running = false
		return nil, 0, false
	}
	now := time.Now()
	wait := maxRetryTime
	var due []*rowChange
	for _, c := range d.backlog.changes {
		if left := c.dueAt.Sub(now); left > 0 {
			wait = min(wait, left)
			continue
		}
		if len(due) < limit {
			due = append(due, c)
		}
	}
	return due, wait, true
}

// applyChanges tries changes concurrently. It returns false if any of them has to be tried again.
func (d *Deduplicator) applyChanges(ctx context.Context, due []*rowChange) bool {
	d.Stats.Retries.Add(int64(len(due)))
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	applied := make([]bool, len(due))
	var wg sync.WaitGroup
	for i, c := range due {
		wg.Go(func() { applied[i] = c.apply(ctx, c.entry) })
	}
	wg.Wait()

	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	finished := make(map[*rowChange]bool, len(due))
	allFinished := true
	for i, c := range due {
		if !applied[i] && now.Before(c.expiresAt) {
			allFinished = false
			continue
		}
		if !applied[i] {
			d.dropChange(c.entry)
		}
		finished[c] = true
	}
	d.removeFinished(finished)
	return allFinished
}

// removeFinished removes finished changes from the backlog. The caller holds d.mu.
func (d *Deduplicator) removeFinished(finished map[*rowChange]bool) {
	b := &d.backlog
	kept := b.changes[:0]
	for _, c := range b.changes {
		if finished[c] {
			b.bodyBytes -= c.bodyBytes
			continue
		}
		kept = append(kept, c)
	}
	clear(b.changes[len(kept):])
	b.changes = kept
}

// dropAll drops all changes of the backlog when the retries are stopped.
func (d *Deduplicator) dropAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, change := range d.backlog.changes {
		d.dropChange(change.entry)
	}
	d.backlog.changes = nil
	d.backlog.bodyBytes = 0
	d.backlog.running = false
}

// Drain waits until the backlog is empty or ctx ends. Row changes that fail later are not retried.
// Call it at shutdown, after the last request and before the GroupCommitter stops.
func (d *Deduplicator) Drain(ctx context.Context) {
	d.mu.Lock()
	b := &d.backlog
	b.closed = true
	running, stop, stopped := b.running, b.stop, b.stopped
	for _, c := range b.changes {
		c.dueAt = time.Now()
	}
	d.mu.Unlock()
	if !running {
		return
	}
	select {
	case <-stopped:
	case <-ctx.Done():
		close(stop)
		<-stopped
	}
}

func (d *Deduplicator) maxBacklog() int {
	if d.MaxBacklog > 0 {
		return d.MaxBacklog
	}
	return DefaultMaxBacklog
}

func (d *Deduplicator) maxBacklogBytes() int {
	if d.MaxBacklogBytes > 0 {
		return d.MaxBacklogBytes
	}
	return DefaultMaxBacklogBytes
}
