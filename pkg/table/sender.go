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

	// downSince is when the store was first found to be down since its last response to a
	// transaction; zero means that it is up.
	downSince time.Time
	// singleWritesLeft is the number of further transactions that hold a single write, to find
	// the invalid one after the store rejected a transaction as invalid.
	singleWritesLeft int
	// sentAt is when the transaction in flight was sent.
	sentAt time.Time
	// notBefore is the end of the backoff: the earliest time of the next transaction.
	notBefore time.Time

	results  chan commitResult
	inFlight *batch
	cancel   context.CancelFunc
}

// commitResult is the result of the transaction in flight.
type commitResult struct {
	batch  *batch
	result Result
}

// Run sends transactions until ctx ends, and then drains the queue for at most DrainTimeout. It
// returns an error if writes had to be refused at the end of the drain.
func (g *GroupCommitter) Run(ctx context.Context) error {
	s := &sender{
		g:       g,
		limiter: rate.NewLimiter(g.rateLimit(), 1),
		results: make(chan commitResult, 1),
	}
	s.loop(ctx.Done(), nil)

	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	drainTimer := time.NewTimer(DrainTimeout)
	defer drainTimer.Stop()
	s.loop(nil, drainTimer.C)
	return s.refuseRemaining()
}

// loop runs until done is closed or, when draining, until the queue is empty or drainTimeout
// fires.
func (s *sender) loop(done <-chan struct{}, drainTimeout <-chan time.Time) {
	draining := drainTimeout != nil
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
		case <-drainTimeout:
			return
		case <-s.g.wake():
		case <-timer.C:
		case res := <-s.results:
			s.handleResult(res)
		}
	}
}

func (s *sender) idle() bool {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	return s.inFlight == nil && len(s.g.queue) == 0
}

// step sends a transaction if that is allowed now, and returns the time after which the next step
// is due at the latest.
func (s *sender) step(draining bool) time.Duration {
	var fence []Check
	if s.inFlight == nil && s.g.Fence != nil {
		fence = s.g.Fence()
	}
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	now := time.Now()
	untilStall := s.checkStall(now)
	wait := min(untilStall, s.prune(now))
	if s.inFlight != nil || len(s.g.queue) == 0 {
		return wait
	}
	if sendAt := s.nextSendTime(draining); now.Before(sendAt) {
		return min(wait, sendAt.Sub(now))
	}
	if limit := s.g.rateLimit(); limit != s.limiter.Limit() {
		s.limiter.SetLimitAt(now, limit)
	}
	if reservation := s.limiter.ReserveN(now, 1); reservation.DelayFrom(now) > 0 {
		delay := reservation.DelayFrom(now)
		reservation.CancelAt(now)
		return min(wait, delay)
	}
	s.send(now, fence)
	return min(wait, stallTimeout)
}

// checkStall marks the store as down if the transaction in flight has been without a response for
// stallTimeout. It returns the time left until then.
func (s *sender) checkStall(now time.Time) time.Duration {
	if s.inFlight == nil || s.down() {
		return time.Hour
	}
	left := s.sentAt.Add(stallTimeout).Sub(now)
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

// nextSendTime returns when the window of the oldest write ends, or the backoff if that is later.
func (s *sender) nextSendTime(draining bool) time.Time {
	sendAt := s.g.queue[0].queuedAt
	if !draining {
		sendAt = sendAt.Add(s.g.window())
	}
	if sendAt.Before(s.notBefore) {
		return s.notBefore
	}
	return sendAt
}

// prune removes settled writes from the queue and, while the store is down, refuses those that
// have waited for longer than the outage timeout. It returns the time until the next one has.
func (s *sender) prune(now time.Time) time.Duration {
	wait := time.Hour
	if !s.down() && s.g.settledInQueue == 0 {
		return wait
	}
	s.g.settledInQueue = 0
	timeout := s.g.outageTimeout()
	kept := s.g.queue[:0]
	for _, e := range s.g.queue {
		left := latest(e.queuedAt, s.downSince).Add(timeout).Sub(now)
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

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// send starts the next transaction. It holds only one write while the store is down, or after a
// transaction was rejected as invalid.
func (s *sender) send(now time.Time, fence []Check) {
	g := s.g
	single := s.down() || s.singleWritesLeft > 0
	s.singleWritesLeft = max(0, s.singleWritesLeft-1)
	b := newBatch(fence, g.maxRows(), g.maxBytes())
	kept := g.queue[:0]
	for _, e := range g.queue {
		if res, ok := b.compatibleWithFence(e); !ok {
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

// start commits a transaction in a goroutine of its own. The outcome is awaited as long as one of
// the writers waits, and for at least minResolveTime. A transaction that can't be sent again is
// given up after maxResolveTime, because one that never reached the store would block the others.
func (s *sender) start(b *batch) {
	resolveTimeout := time.Duration(math.MaxInt64)
	if !b.tx.safeToResend() {
		resolveTimeout = maxResolveTime
	}
	ctx, cancel := context.WithTimeout(context.Background(), resolveTimeout)
	s.inFlight, s.cancel = b, cancel
	commit := s.g.Commit
	go func() {
		defer cancel()
		go cancelWhenAbandoned(ctx, cancel, b.entries)
		s.results <- commitResult{batch: b, result: commit(ctx, b.tx)}
	}()
}

// cancelWhenAbandoned cancels a transaction after minResolveTime, once the contexts of all its
// writers have ended.
func cancelWhenAbandoned(ctx context.Context, cancel context.CancelFunc, entries []*queueEntry) {
	minTimer := time.NewTimer(minResolveTime)
	defer minTimer.Stop()
	select {
	case <-ctx.Done():
		return
	case <-minTimer.C:
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

// handleResult settles the writes of a transaction or queues them again.
func (s *sender) handleResult(res commitResult) {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	s.inFlight, s.cancel = nil, nil
	s.g.inFlight = 0
	switch res.result.Outcome {
	case Committed:
		s.markUp()
		s.g.stats.CommittedTransactions++
		s.settleAll(res.batch, Result{Outcome: Committed, Version: res.result.Version})
	case Conflict:
		s.markUp()
		s.handleConflict(res.batch, res.result.Conflicts)
	case Refused:
		s.handleRefusal(res)
	default:
		s.markDown()
		s.settleAll(res.batch, res.result)
	}
}

// handleRefusal queues the writes again, except a single write that the store rejects as invalid.
func (s *sender) handleRefusal(res commitResult) {
	invalid := errors.Is(res.result.Err, ErrInvalid)
	if !invalid {
		s.markDown()
		s.requeue(res.batch.entries)
		return
	}
	s.markUp()
	if len(res.batch.entries) == 1 {
		s.settleAll(res.batch, res.result)
		return
	}
	s.singleWritesLeft = len(res.batch.entries)
	s.requeue(res.batch.entries)
}

func (s *sender) settleAll(b *batch, res Result) {
	for _, e := range b.entries {
		s.g.settle(e, res)
	}
}

// handleConflict fails the writes that conflict and queues the others again.
func (s *sender) handleConflict(b *batch, conflicts []Check) {
	versions := make(map[string]int64, len(conflicts))
	for _, check := range conflicts {
		versions[check.Key] = check.Version
	}
	var fenceConflicts []Check
	for _, check := range b.fence {
		if version, ok := versions[check.Key]; ok && version != check.Version {
			fenceConflicts = append(fenceConflicts, Check{Key: check.Key, Version: version})
		}
	}
	if len(fenceConflicts) > 0 {
		s.g.stats.FenceConflicts++
		s.settleAll(b, Result{Outcome: Conflict, Conflicts: fenceConflicts})
		return
	}
	var retained []*queueEntry
	for _, e := range b.entries {
		entryConflicts := e.conflicts(versions)
		if len(entryConflicts) == 0 {
			retained = append(retained, e)
			continue
		}
		s.g.settle(e, Result{Outcome: Conflict, Conflicts: entryConflicts})
	}
	if len(retained) == len(b.entries) {
		// The store reports no key of this transaction, so resending it would go on forever.
		s.settleAll(b, Result{Outcome: Conflict, Conflicts: conflicts})
		return
	}
	s.requeue(retained)
}

// requeue puts writes that did not take effect back at the head of the queue.
func (s *sender) requeue(entries []*queueEntry) {
	var unsettled []*queueEntry
	for _, e := range entries {
		if e.settled {
			continue
		}
		e.sent = false
		unsettled = append(unsettled, e)
	}
	s.g.queue = append(unsettled, s.g.queue...)
}

func (s *sender) markUp() {
	s.downSince = time.Time{}
	s.g.stats.Down = false
	s.backoff.Reset()
	s.notBefore = time.Time{}
}

// markDown records that the store refused a transaction or did not respond, and starts a backoff.
func (s *sender) markDown() {
	now := time.Now()
	if !s.down() {
		s.downSince = now
	}
	s.g.stats.Down = true
	s.notBefore = now.Add(s.backoff.Next())
}

// refuseRemaining gives up the transaction in flight and refuses the queued writes after the drain.
func (s *sender) refuseRemaining() error {
	if s.inFlight != nil {
		s.cancel()
		s.handleResult(<-s.results)
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
