package once

import (
	"context"
	"sync"
	"time"

	"github.com/daisyrack/daisyrack/pkg/table"
)

const (
	// retryLimit is how long a row change is retried: an outage of an hour, and some more.
	retryLimit = 2 * time.Hour
	// retryTimeout bounds one attempt.
	retryTimeout = 5 * time.Second
	// retryTogether bounds the changes that are tried at the same time, so that group commit
	// can put them into one transaction.
	retryTogether = 64
	// ghostDelay is when a row of a claim with unknown outcome is looked for once more. A commit
	// that is still on its way after this time leaves a claimed row until the sweep.
	ghostDelay = 10 * time.Second
)

// change is a change of a row that waits for the store.
type change struct {
	own   *entry
	apply func(context.Context, *entry) bool
	due   time.Time
	until time.Time
	bytes int
}

// backlog holds the row changes that wait for the store, oldest first. Deduplicator.mu guards it.
// A goroutine retries the changes as long as there are any.
type backlog struct {
	changes []*change
	bytes   int
	running bool
	closed  bool
	stop    chan struct{}
	idle    chan struct{}
}

// later retries a row change in the background, first after a delay.
func (r *Deduplicator) later(own *entry, delay time.Duration, apply func(context.Context, *entry) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := &r.backlog
	size := len(own.answer.Body)
	if b.closed || len(b.changes) >= r.backlogLimit() || b.bytes+size > r.backlogBytes() {
		r.drop(own)
		return
	}
	now := time.Now()
	b.changes = append(b.changes, &change{
		own:   own,
		apply: apply,
		due:   now.Add(delay),
		until: now.Add(retryLimit),
		bytes: size,
	})
	b.bytes += size
	if b.running {
		return
	}
	b.running = true
	b.stop = make(chan struct{})
	b.idle = make(chan struct{})
	go r.retry(b.stop, b.idle)
}

// drop gives up a row change; the row stays claimed until the sweep. r.mu is held.
func (r *Deduplicator) drop(own *entry) {
	r.Stats.Dropped.Add(1)
	if own.state == withdrawing {
		r.forget(own)
	}
}

// retry applies the changes that are due, with pauses while the store is down. After a failure
// it tries one change, as a probe, and after each success twice as many.
func (r *Deduplicator) retry(stop, idle chan struct{}) {
	defer close(idle)
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
	together := 1
	for {
		if !backoff.Sleep(ctx) {
			r.halt()
			return
		}
		due, wait, more := r.due(together)
		if !more {
			return
		}
		if len(due) == 0 {
			pause(ctx, min(wait, time.Second))
			continue
		}
		if !r.attempt(ctx, due) {
			together = 1
			continue
		}
		backoff.Reset()
		together = min(2*together, retryTogether)
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// due returns up to limit changes that are due, or the time until the first one is. Without any
// change it ends the goroutine.
func (r *Deduplicator) due(limit int) ([]*change, time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.backlog.changes) == 0 {
		r.backlog.running = false
		return nil, 0, false
	}
	now := time.Now()
	wait := retryLimit
	var due []*change
	for _, c := range r.backlog.changes {
		if left := c.due.Sub(now); left > 0 {
			wait = min(wait, left)
			continue
		}
		if len(due) < limit {
			due = append(due, c)
		}
	}
	return due, wait, true
}

// attempt tries changes at the same time; false means that one of them has to be tried again.
func (r *Deduplicator) attempt(ctx context.Context, due []*change) bool {
	r.Stats.Retries.Add(int64(len(due)))
	ctx, cancel := context.WithTimeout(ctx, retryTimeout)
	defer cancel()
	applied := make([]bool, len(due))
	var wg sync.WaitGroup
	for i, c := range due {
		wg.Go(func() { applied[i] = c.apply(ctx, c.own) })
	}
	wg.Wait()

	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	ended := make(map[*change]bool, len(due))
	all := true
	for i, c := range due {
		if !applied[i] && now.Before(c.until) {
			all = false
			continue
		}
		if !applied[i] {
			r.drop(c.own)
		}
		ended[c] = true
	}
	r.remain(ended)
	return all
}

// remain removes changes that have ended; r.mu is held.
func (r *Deduplicator) remain(ended map[*change]bool) {
	b := &r.backlog
	kept := b.changes[:0]
	for _, c := range b.changes {
		if ended[c] {
			b.bytes -= c.bytes
			continue
		}
		kept = append(kept, c)
	}
	clear(b.changes[len(kept):])
	b.changes = kept
}

// halt drops what still waits when the retries end.
func (r *Deduplicator) halt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, left := range r.backlog.changes {
		r.drop(left.own)
	}
	r.backlog.changes = nil
	r.backlog.bytes = 0
	r.backlog.running = false
}

// Drain waits until no row change waits for the store any more, or until ctx ends; later ones
// are not retried. Call it at the end, after the last request and before the GroupCommitter ends.
func (r *Deduplicator) Drain(ctx context.Context) {
	r.mu.Lock()
	b := &r.backlog
	b.closed = true
	running, stop, idle := b.running, b.stop, b.idle
	for _, c := range b.changes {
		c.due = time.Now()
	}
	r.mu.Unlock()
	if !running {
		return
	}
	select {
	case <-idle:
	case <-ctx.Done():
		close(stop)
		<-idle
	}
}

func (r *Deduplicator) backlogLimit() int {
	if r.MaxBacklog > 0 {
		return r.MaxBacklog
	}
	return DefaultMaxBacklog
}

func (r *Deduplicator) backlogBytes() int {
	if r.MaxBacklogBytes > 0 {
		return r.MaxBacklogBytes
	}
	return DefaultMaxBacklogBytes
}
