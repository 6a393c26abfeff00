package table

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

const (
	// DefaultWindow is how long the first write of a transaction waits for further ones.
	DefaultWindow = 5 * time.Millisecond
	// DefaultMaxRows is the platform's limit on the rows of a transaction.
	DefaultMaxRows = 128
	// DefaultMaxBytes is the platform's limit on the size of a transaction.
	DefaultMaxBytes = 256 << 10
	// DefaultMaxPending is the default limit on writes that are queued or in flight.
	DefaultMaxPending = 1024
	// DefaultOutageTimeout is how long a write stays queued while the store is down.
	DefaultOutageTimeout = time.Second
	// DrainTimeout limits how long Run sends the remaining writes after its context has ended.
	DrainTimeout = 5 * time.Second

	// minResolveTime is how long the outcome of a transaction is awaited at least, even if the
	// contexts of all its writers have ended.
	minResolveTime = 2 * time.Second
	// maxResolveTime is how long the outcome of a transaction that can't be sent again is awaited
	// at most.
	maxResolveTime = 10 * time.Second
	// stallTimeout is how long the store may take to respond before it counts as down. It equals
	// the timeout of a single call.
	stallTimeout = DefaultTimeout
)

var (
	// ErrFull means that the queue of writes is full.
	ErrFull = errors.New("table: too many writes are waiting")
	// ErrClosed means that the GroupCommitter has stopped and accepts no more writes.
	ErrClosed = errors.New("table: group commit has ended")
	// ErrTooLarge means that a write does not fit into a transaction.
	ErrTooLarge = errors.New("table: write exceeds the size of a transaction")
	// ErrInvalid means that the store rejects the content of the transaction, so a retry is useless.
	ErrInvalid = errors.New("table: store rejects the transaction")
	// ErrStoreDown means that the write was queued for too long while the store was down.
	ErrStoreDown = errors.New("table: store can not be reached")
)

// Write is the part of a transaction that belongs to one writer. Its checks, puts and deletes take
// effect together.
type Write struct {
	Checks  []Check
	Puts    []Put
	Deletes []string
}

// GroupCommitter combines writes into transactions and has one transaction in flight at a time.
// Set the fields before Run; Run must be called once.
//
// A conflict fails the writes whose own checks don't hold; the other writes are sent again. A
// conflict on a Fence check fails all writes of the transaction. If the store refuses a
// transaction, its writes are queued again, and after a backoff one write is sent as a probe. The
// others follow when the store has responded to a probe. A write that stays queued for longer
// than OutageTimeout during an outage is refused.
type GroupCommitter struct {
	// Commit commits a transaction, normally Client.Commit.
	Commit func(context.Context, Transaction) Result

	// Fence returns the checks that are added to each transaction, such as that of a fencing
	// token; nil means none.
	Fence func() []Check

	// Window is how long the first write of a transaction waits for further ones; 0 means
	// DefaultWindow.
	Window time.Duration

	// TransactionsPerSecond limits the rate of transactions; 0 means no limit.
	TransactionsPerSecond float64

	// Rate returns the current limit on transactions per second and is called before each
	// transaction; nil means TransactionsPerSecond.
	Rate func() float64

	// MaxRows limits the checks, puts and deletes of a transaction together; 0 means
	// DefaultMaxRows.
	MaxRows int

	// MaxBytes limits the size of all keys and values of a transaction; 0 means DefaultMaxBytes.
	MaxBytes int

	// MaxPending limits the writes that are queued or in flight; 0 means DefaultMaxPending.
	MaxPending int

	// OutageTimeout limits how long a write stays queued while the store is down; 0 means
	// DefaultOutageTimeout.
	OutageTimeout time.Duration

	mu sync.Mutex
	// queue holds the writes that wait to be sent, oldest first. settledInQueue of them are
	// settled already, because their contexts have ended.
	queue          []*queueEntry
	settledInQueue int
	inFlight       int
	closed         bool
	stats          GroupCommitStats
	wakeOnce       sync.Once
	wakeChan       chan struct{}
}

// GroupCommitStats holds the counters of a GroupCommitter. The field names are also metric names.
type GroupCommitStats struct {
	// Writes is the number of writes that were queued.
	Writes int64
	// Transactions is the number of transactions sent.
	Transactions int64
	// SentWrites is the number of writes in these transactions; a write that is sent again
	// counts each time.
	SentWrites int64
	// CommittedTransactions, CommittedWrites and CommittedRows count what took effect.
	CommittedTransactions, CommittedWrites, CommittedRows int64
	// Conflicts is the number of writes that failed because of a check.
	Conflicts int64
	// FenceConflicts is the number of transactions that failed because of a Fence check.
	FenceConflicts int64
	// Full is the number of writes refused because the queue was full.
	Full int64
	// Refused is the number of writes refused for other reasons.
	Refused int64
	// Unknown is the number of writes whose outcome stayed unknown.
	Unknown int64
	// Probes is the number of transactions that were sent while the store was down.
	Probes int64
	// Waiting is the number of writes in the queue now.
	Waiting int64
	// Down is true while the store refuses transactions or does not respond.
	Down bool
}

// Stats returns a snapshot of the counters.
func (g *GroupCommitter) Stats() GroupCommitStats {
	g.mu.Lock()
	defer g.mu.Unlock()
	stats := g.stats
	stats.Waiting = int64(len(g.queue))
	return stats
}

// Do queues a write and waits for its outcome. If ctx ends first, the outcome is Refused if the
// write was not sent yet, and Unknown otherwise.
func (g *GroupCommitter) Do(ctx context.Context, w Write) Result {
	e := newQueueEntry(ctx, w)
	if err := g.enqueue(e); err != nil {
		return Result{Outcome: Refused, Err: err}
	}
	g.notify()
	select {
	case <-e.done:
		return e.result
	case <-ctx.Done():
	}
	return g.cancel(e)
}

func (g *GroupCommitter) enqueue(e *queueEntry) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case e.ctx.Err() != nil:
		g.stats.Refused++
		return errors.Wrap(e.ctx.Err(), "table: write was not sent")
	case g.closed:
		g.stats.Refused++
		return ErrClosed
	case e.rows() > g.maxRows() || e.bytes() > g.maxBytes():
		g.stats.Refused++
		return errors.Wrapf(ErrTooLarge, "table: %d rows and %d bytes", e.rows(), e.bytes())
	case len(g.queue)+g.inFlight >= g.maxPending():
		g.stats.Full++
		return ErrFull
	}
	g.stats.Writes++
	g.queue = append(g.queue, e)
	return nil
}

// cancel settles a write whose context has ended.
func (g *GroupCommitter) cancel(e *queueEntry) Result {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e.settled {
		return e.result
	}
	err := context.Cause(e.ctx)
	if e.sent {
		g.settle(e, Result{Outcome: Unknown, Err: errors.Wrap(err, "table: write was sent without an answer")})
		return e.result
	}
	g.settledInQueue++
	g.settle(e, Result{Outcome: Refused, Err: errors.Wrap(err, "table: write was not sent")})
	return e.result
}

// settle sets the result of a write and wakes its writer, unless it is settled already. The caller
// holds g.mu.
func (g *GroupCommitter) settle(e *queueEntry, res Result) {
	if e.settled {
		return
	}
	switch res.Outcome {
	case Committed:
		g.stats.CommittedWrites++
		g.stats.CommittedRows += int64(len(e.write.Puts) + len(e.write.Deletes))
	case Conflict:
		g.stats.Conflicts++
	case Refused:
		g.stats.Refused++
	case Unknown:
		g.stats.Unknown++
	}
	e.settled = true
	e.result = res
	close(e.done)
}

// wake returns the channel that wakes Run.
func (g *GroupCommitter) wake() chan struct{} {
	g.wakeOnce.Do(func() { g.wakeChan = make(chan struct{}, 1) })
	return g.wakeChan
}

// notify tells Run that the queue has changed.
func (g *GroupCommitter) notify() {
	select {
	case g.wake() <- struct{}{}:
	default:
	}
}

func (g *GroupCommitter) window() time.Duration {
	if g.Window > 0 {
		return g.Window
	}
	return DefaultWindow
}

func (g *GroupCommitter) rateLimit() rate.Limit {
	perSecond := g.TransactionsPerSecond
	if g.Rate != nil {
		perSecond = g.Rate()
	}
	if perSecond > 0 {
		return rate.Limit(perSecond)
	}
	return rate.Inf
}

func (g *GroupCommitter) maxRows() int {
	if g.MaxRows > 0 {
		return g.MaxRows
	}
	return DefaultMaxRows
}

func (g *GroupCommitter) maxBytes() int {
	if g.MaxBytes > 0 {
		return g.MaxBytes
	}
	return DefaultMaxBytes
}

func (g *GroupCommitter) maxPending() int {
	if g.MaxPending > 0 {
		return g.MaxPending
	}
	return DefaultMaxPending
}

func (g *GroupCommitter) outageTimeout() time.Duration {
	if g.OutageTimeout > 0 {
		return g.OutageTimeout
	}
	return DefaultOutageTimeout
}
