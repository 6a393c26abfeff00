package table

import (
	"context"
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

// sender is the state of GroupCommitter.Run and is used by its goroutine only.
type sender struct {
	g       *GroupCommitter
	limiter *rate.Limiter
	backoff Backoff

	// downSince is the time of the first refused or unanswered transaction since the last answer.
	downSince time.Time
	// alone is the number of transactions that shall hold a single write, after the store
	// rejected a transaction as invalid.
	alone int
	// sentAt is when the transaction in flight was sent.
	sentAt time.Time
	// notBefore is the earliest time of the next transaction.
	notBefore time.Time

	answers  chan answer
	inFlight *batch
	cancel   context.CancelFunc
}

// answer is the result of the transaction in flight.
type answer struct {
	batch  *batch
	result Result
}

// Run sends transactions until ctx ends, and then drains the queue for at most DrainTimeout. It
// returns an error if writes had to be refused at the end of the drain.
func (g *GroupCommitter) Run(ctx context.Context) error {
	s := &sender{
		g:       g,
		limiter: rate.NewLimiter(g.limit(), 1),
		answers: make(chan answer, 1),
	}
	s.loop(ctx.Done(), nil)

	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	limit := time.NewTimer(DrainTimeout)
	defer limit.Stop()
	s.loop(nil, limit.C)
	return s.abandon()
}

// loop runs until done is closed, or, when draining, until nothing is left or limit fires.
func (s *sender) loop(done <-chan struct{}, limit <-chan time.Time) {
	draining := limit != nil
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		wait := s.step(draining)
		if draining && s.idle() {
			return
		}
		timer.Reset(wait)
		select {
		case <-done:
			return
		case <-limit:
			return
		case <-s.g.wake():
		case <-timer.C:
		case a := <-s.answers:
			s.answered(a)
		}
	}
}

func (s *sender) idle() bool {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	return s.inFlight == nil && len(s.g.queue) == 0
}

// step sends a transaction if it may, and returns the longest time until the next step.
func (s *sender) step(draining bool) time.Duration {
	var fence []Check
	if s.inFlight == nil && s.g.Fence != nil {
		fence = s.g.Fence()
	}
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	now := time.Now()
	stall := s.stall(now)
	wait := min(stall, s.prune(now))
	if s.inFlight != nil || len(s.g.queue) == 0 {
		return wait
	}
	if due := s.due(draining); now.Before(due) {
		return min(wait, due.Sub(now))
	}
	if limit := s.g.limit(); limit != s.limiter.Limit() {
		s.limiter.SetLimitAt(now, limit)
	}
	if reservation := s.limiter.ReserveN(now, 1); reservation.DelayFrom(now) > 0 {
		delay := reservation.DelayFrom(now)
		reservation.CancelAt(now)
		return min(wait, delay)
	}
	s.send(now, fence)
	return min(wait, stallAfter)
}

// stall treats the store as down when it does not answer for stallAfter, and returns the time
// until then.
func (s *sender) stall(now time.Time) time.Duration {
	if s.inFlight == nil || s.down() {
		return time.Hour
	}
	left := s.sentAt.Add(stallAfter).Sub(now)
	if left > 0 {
		return left
	}
	s.downSince = now
	s.g.stats.Down = true
	return time.Hour
}

func (s *sender) down() bool {
	return !s.downSince.IsZero()
}

// due is when the window of the oldest write ends, or the pause after a failure.
func (s *sender) due(draining bool) time.Time {
	due := s.g.queue[0].queued
	if !draining {
		due = due.Add(s.g.window())
	}
	if due.Before(s.notBefore) {
		return s.notBefore
	}
	return due
}

// prune drops settled writes and, while the store is down, refuses those that waited too long.
// It returns the time until the next of them has waited too long.
func (s *sender) prune(now time.Time) time.Duration {
	wait := time.Hour
	if !s.down() && s.g.left == 0 {
		return wait
	}
	s.g.left = 0
	patience := s.g.patience()
	kept := s.g.queue[:0]
	for _, e := range s.g.queue {
		left := later(e.queued, s.downSince).Add(patience).Sub(now)
		if s.down() && left <= 0 {
			s.g.settle(e, Result{Outcome: Refused, Err: ErrStoreDown})
		}
		if e.settled {
			continue
		}
		kept = append(kept, e)
		if s.down() {
			wait = min(wait, left)
		}
	}
	clear(s.g.queue[len(kept):])
	s.g.queue = kept
	return wait
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// send starts the next transaction; while the store is down it holds one write only.
func (s *sender) send(now time.Time, fence []Check) {
	g := s.g
	single := s.down() || s.alone > 0
	s.alone = max(0, s.alone-1)
	b := newBatch(fence, g.maxRows(), g.maxBytes())
	kept := g.queue[:0]
	for _, e := range g.queue {
		if res, ok := b.fenced(e); !ok {
			g.settle(e, res)
			continue
		}
		if b.full || single && len(b.entries) == 1 || !b.add(e) {
			kept = append(kept, e)
			continue
		}
		e.sent = true
	}
	clear(g.queue[len(kept):])
	g.queue = kept
	if len(b.entries) == 0 {
		return
	}
	g.inFlight = len(b.entries)
	g.stats.Transactions++
	g.stats.SentWrites += int64(len(b.entries))
	if s.down() {
		g.stats.Probes++
	}
	s.sentAt = now
	s.start(b)
}

// start carries out a transaction in its own goroutine. It is pursued as long as one of its
// writers waits, and at least for resolveAtLeast. A transaction that can't be repeated is given up
// after resolveAtMost, because a request that never reached the store would block the others.
func (s *sender) start(b *batch) {
	pursued := time.Duration(math.MaxInt64)
	if !b.tx.repeatable() {
		pursued = resolveAtMost
	}
	ctx, cancel := context.WithTimeout(context.Background(), pursued)
	s.inFlight, s.cancel = b, cancel
	commit := s.g.Commit
	go func() {
		defer cancel()
		go cancelWhenAlone(ctx, cancel, b.entries)
		s.answers <- answer{batch: b, result: commit(ctx, b.tx)}
	}()
}

func cancelWhenAlone(ctx context.Context, cancel context.CancelFunc, entries []*entry) {
	minimum := time.NewTimer(resolveAtLeast)
	defer minimum.Stop()
	select {
	case <-ctx.Done():
		return
	case <-minimum.C:
	}
	for _, e := range entries {
		select {
		case <-ctx.Done():
			return
		case <-e.ctx.Done():
		}
	}
	cancel()
}

// answered settles the writes of a transaction or puts them back into the queue.
func (s *sender) answered(a answer) {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	s.inFlight, s.cancel = nil, nil
	s.g.inFlight = 0
	switch a.result.Outcome {
	case Committed:
		s.up()
		s.g.stats.CommittedTransactions++
		s.settleAll(a.batch, Result{Outcome: Committed, Version: a.result.Version})
	case Conflict:
		s.up()
		s.conflict(a.batch, a.result.Conflicts)
	case Refused:
		s.refused(a)
	default:
		s.fail()
		s.settleAll(a.batch, a.result)
	}
}

// refused keeps the writes for a later transaction unless the store calls them invalid.
func (s *sender) refused(a answer) {
	invalid := errors.Is(a.result.Err, ErrInvalid)
	if !invalid {
		s.fail()
		s.putBack(a.batch.entries)
		return
	}
	s.up()
	if len(a.batch.entries) == 1 {
		s.settleAll(a.batch, a.result)
		return
	}
	s.alone = len(a.batch.entries)
	s.putBack(a.batch.entries)
}

func (s *sender) settleAll(b *batch, res Result) {
	for _, e := range b.entries {
		s.g.settle(e, res)
	}
}

// conflict fails the writes that conflict and puts the others back.
func (s *sender) conflict(b *batch, conflicts []Check) {
	versions := make(map[string]int64, len(conflicts))
	for _, check := range conflicts {
		versions[check.Key] = check.Version
	}
	var fenced []Check
	for _, check := range b.fence {
		if version, ok := versions[check.Key]; ok && version != check.Version {
			fenced = append(fenced, Check{Key: check.Key, Version: version})
		}
	}
	if len(fenced) > 0 {
		s.g.stats.FenceConflicts++
		s.settleAll(b, Result{Outcome: Conflict, Conflicts: fenced})
		return
	}
	var others []*entry
	for _, e := range b.entries {
		own := e.conflicts(versions)
		if len(own) == 0 {
			others = append(others, e)
			continue
		}
		s.g.settle(e, Result{Outcome: Conflict, Conflicts: own})
	}
	if len(others) == len(b.entries) {
		// The store names no check of this transaction; sending it again would not end.
		s.settleAll(b, Result{Outcome: Conflict, Conflicts: conflicts})
		return
	}
	s.putBack(others)
}

// putBack queues writes again that certainly did not take effect, before all others.
func (s *sender) putBack(entries []*entry) {
	var again []*entry
	for _, e := range entries {
		if e.settled {
			continue
		}
		e.sent = false
		again = append(again, e)
	}
	s.g.queue = append(again, s.g.queue...)
}

func (s *sender) up() {
	s.downSince = time.Time{}
	s.g.stats.Down = false
	s.backoff.Reset()
	s.notBefore = time.Time{}
}

func (s *sender) fail() {
	now := time.Now()
	if !s.down() {
		s.downSince = now
	}
	s.g.stats.Down = true
	s.notBefore = now.Add(s.backoff.Next())
}

// abandon settles what is left after the drain.
func (s *sender) abandon() error {
	if s.inFlight != nil {
		s.cancel()
		s.answered(<-s.answers)
	}
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	left := 0
	for _, e := range s.g.queue {
		if !e.settled {
			left++
			s.g.settle(e, Result{Outcome: Refused, Err: ErrClosed})
		}
	}
	s.g.queue = nil
	if left > 0 {
		return errors.Newf("table: %d writes were refused at the end of the drain", left)
	}
	return nil
}
