package once

import (
	"context"
	"time"

	"github.com/daisyrack/daisyrack/pkg/table"
)

const (
	// retryLimit is how long a row change is retried: an outage of an hour, and some more.
	retryLimit = 2 * time.Hour
	// retryTimeout bounds one attempt.
	retryTimeout = 5 * time.Second
)

// change is a change of a row that waits for the store.
type change struct {
	own   *entry
	apply func(context.Context, *entry) bool
	since time.Time
}

// backlog holds the row changes that wait for the store. Register.mu guards it. A goroutine
// retries them as long as there are any.
type backlog struct {
	changes []change
	running bool
	closed  bool
	stop    chan struct{}
	idle    chan struct{}
}

// later retries a row change in the background.
func (r *Register) later(own *entry, apply func(context.Context, *entry) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := &r.backlog
	if b.closed || len(b.changes) >= r.backlogLimit() {
		r.drop(own)
		return
	}
	b.changes = append(b.changes, change{own: own, apply: apply, since: time.Now()})
	if !b.running {
		b.running = true
		b.stop = make(chan struct{})
		b.idle = make(chan struct{})
		go r.retry(b.stop, b.idle)
	}
}

// drop gives up a row change; the row stays claimed until the sweep. r.mu is held.
func (r *Register) drop(own *entry) {
	r.Stats.Dropped.Add(1)
	if own.state == withdrawing {
		r.forget(own)
	}
}

// retry applies the waiting changes, oldest first, with pauses while the store is down.
func (r *Register) retry(stop, idle chan struct{}) {
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
	for {
		if !backoff.Sleep(ctx) {
			r.halt()
			return
		}
		next, ok := r.head()
		if !ok {
			return
		}
		if r.attempt(ctx, next) {
			backoff.Reset()
		}
	}
}

// head returns the oldest change; without one it ends the goroutine.
func (r *Register) head() (change, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.backlog.changes) == 0 {
		r.backlog.running = false
		return change{}, false
	}
	return r.backlog.changes[0], true
}

func (r *Register) attempt(ctx context.Context, next change) bool {
	r.Stats.Retries.Add(1)
	ctx, cancel := context.WithTimeout(ctx, retryTimeout)
	defer cancel()
	applied := next.apply(ctx, next.own)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case applied:
	case time.Since(next.since) > retryLimit:
		r.drop(next.own)
	default:
		return false
	}
	r.backlog.changes = r.backlog.changes[1:]
	return true
}

// halt drops what still waits.
func (r *Register) halt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, left := range r.backlog.changes {
		r.drop(left.own)
	}
	r.backlog.changes = nil
	r.backlog.running = false
}

// Drain waits until no row change waits for the store any more, or until ctx ends; later ones
// are not retried. Call it at the end, after the last request.
func (r *Register) Drain(ctx context.Context) {
	r.mu.Lock()
	r.backlog.closed = true
	running, stop, idle := r.backlog.running, r.backlog.stop, r.backlog.idle
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

func (r *Register) backlogLimit() int {
	if r.Backlog > 0 {
		return r.Backlog
	}
	return DefaultBacklog
}
