package table

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

const (
	// DefaultWindow is how long the first write of a transaction waits for others.
	DefaultWindow = 5 * time.Millisecond
	// DefaultMaxRows is the platform's limit on the rows of a transaction.
	DefaultMaxRows = 128
	// DefaultMaxBytes is the platform's limit on the size of a transaction.
	DefaultMaxBytes = 256 << 10
	// DefaultMaxPending is the default limit on writes that are queued or in flight.
	DefaultMaxPending = 1024
	// DefaultOutageTimeout is how long a write stays queued while the store is down.
	DefaultOutageTimeout = time.Second
	// DrainTimeout bounds the time that Run takes to send the remaining writes after its context
	// has ended.
	DrainTimeout = 5 * time.Second

	// resolveAtLeast is how long a transaction is pursued after all of its writers have left.
	resolveAtLeast = 2 * time.Second
	// resolveAtMost is how long a transaction is pursued that can't be repeated.
	resolveAtMost = 10 * time.Second
	// stallAfter is how long the store may take before it counts as down; it is the time after
	// which a single call is given up.
	stallAfter = DefaultTimeout
)

var (
	// ErrFull means that the ring of waiting writes is full.
	ErrFull = errors.New("table: too many writes are waiting")
	// ErrClosed means that the group takes no more writes.
	ErrClosed = errors.New("table: group commit has ended")
	// ErrTooLarge means that a write does not fit into a transaction.
	ErrTooLarge = errors.New("table: write exceeds the size of a transaction")
	// ErrInvalid means that the store rejects the transaction itself, not the moment.
	ErrInvalid = errors.New("table: store rejects the transaction")
	// ErrStoreDown means that the write waited too long for the store.
	ErrStoreDown = errors.New("table: store can not be reached")
)

// Write is a part of a transaction: its checks, puts and deletes take effect together.
type Write struct {
	Checks  []Check
	Puts    []Put
	Deletes []string
}

// GroupCommitter combines writes into transactions and has one transaction in flight at a time.
// Set the fields before Run; Run must be called once.
//
// A conflict fails the writes whose own checks don't hold; the others go again. A conflict on a
// Fence check fails all writes of the transaction. When the store refuses a transaction, its
// writes are kept and one of them is sent as a probe after a pause; the rest follows when a
// probe was answered. A write that waits longer than OutageTimeout meanwhile is refused.
type GroupCommitter struct {
	// Commit carries out a transaction, normally Client.Commit.
	Commit func(context.Context, Transaction) Result

	// Fence returns checks that are added to each transaction; nil means none.
	Fence func() []Check

	// Window is how long the first write of a transaction waits for others; 0 means DefaultWindow.
	Window time.Duration

	// TransactionsPerSecond limits the rate of transactions; 0 means no limit.
	TransactionsPerSecond float64

	// Rate returns the current limit on transactions per second and is called before each
	// transaction; nil means TransactionsPerSecond.
	Rate func() float64

	// MaxRows bounds checks, puts and deletes of a transaction together; 0 means DefaultMaxRows.
	MaxRows int

	// MaxBytes bounds the keys and values of a transaction; 0 means DefaultMaxBytes.
	MaxBytes int

	// MaxPending limits the writes that are queued or in flight; 0 means DefaultMaxPending.
	MaxPending int

	// OutageTimeout limits how long a write stays queued while the store is down; 0 means
	// DefaultOutageTimeout.
	OutageTimeout time.Duration

	mu sync.Mutex
	// queue holds the waiting writes, oldest first; left of them are settled already.
	queue    []*entry
	left     int
	inFlight int
	closed   bool
	stats    GroupCommitStats
	wakeOnce sync.Once
	wakeChan chan struct{}
}

// GroupCommitStats holds the counters of a GroupCommitter. The field names are also metric names.
type GroupCommitStats struct {
	// Writes is the number of writes that were taken into the ring.
	Writes int64
	// Transactions is the number of transactions sent.
	Transactions int64
	// SentWrites is the number of writes in these transactions; a repeated write counts again.
	SentWrites int64
	// CommittedTransactions, CommittedWrites and CommittedRows count what took effect.
	CommittedTransactions, CommittedWrites, CommittedRows int64
	// Conflicts is the number of writes that failed because of a check.
	Conflicts int64
	// FenceConflicts is the number of transactions that failed because of a Fence check.
	FenceConflicts int64
	// Full is the number of writes refused because the ring was full.
	Full int64
	// Refused is the number of writes refused for another reason.
	Refused int64
	// Unknown is the number of writes whose outcome stayed unknown.
	Unknown int64
	// Probes is the number of transactions sent to find out whether the store is back.
	Probes int64
	// Waiting is the number of writes that wait now.
	Waiting int64
	// Down is true while the store refuses or does not answer.
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

// Do carries out a write and waits for its outcome or the end of ctx: Refused if ctx ended
// before the write was sent, Unknown after.
func (g *GroupCommitter) Do(ctx context.Context, w Write) Result {
	e := newEntry(ctx, w)
	if err := g.enqueue(e); err != nil {
		return Result{Outcome: Refused, Err: err}
	}
	g.notify()
	select {
	case <-e.done:
		return e.result
	case <-ctx.Done():
	}
	return g.leave(e)
}

func (g *GroupCommitter) enqueue(e *entry) error {
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
	case len(g.queue)+g.inFlight >= g.pending():
		g.stats.Full++
		return ErrFull
	}
	g.stats.Writes++
	g.queue = append(g.queue, e)
	return nil
}

// leave settles a write whose context has ended.
func (g *GroupCommitter) leave(e *entry) Result {
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
	g.left++
	g.settle(e, Result{Outcome: Refused, Err: errors.Wrap(err, "table: write was not sent")})
	return e.result
}

// settle hands a write its result, once; g.mu is held.
func (g *GroupCommitter) settle(e *entry, res Result) {
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

func (g *GroupCommitter) limit() rate.Limit {
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

func (g *GroupCommitter) pending() int {
	if g.MaxPending > 0 {
		return g.MaxPending
	}
	return DefaultMaxPending
}

func (g *GroupCommitter) patience() time.Duration {
	if g.OutageTimeout > 0 {
		return g.OutageTimeout
	}
	return DefaultOutageTimeout
}
