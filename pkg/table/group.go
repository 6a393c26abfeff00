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
	// DefaultPending is the capacity of the ring of waiting writes.
	DefaultPending = 1024
	// DefaultPatience is how long a write waits for a store that does not answer.
	DefaultPatience = time.Second
	// DrainLimit bounds the time that Run takes to send the remaining writes.
	DrainLimit = 5 * time.Second

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

// Group puts many writes into one transaction and has one transaction in flight. Set the fields
// before Run; Run must be called once.
//
// A conflict fails the writes whose own checks don't hold; the others go again. A conflict on a
// Fence check fails all writes of the transaction. When the store refuses a transaction, its
// writes are kept and one of them is sent as a probe after a pause; the rest follows when a
// probe was answered. A write that waits longer than Patience meanwhile is refused.
type Group struct {
	// Commit carries out a transaction, normally Client.Commit.
	Commit func(context.Context, Commit) Result

	// Fence returns checks that are added to each transaction; nil means none.
	Fence func() []Check

	// Window is how long the first write of a transaction waits for others; 0 means DefaultWindow.
	Window time.Duration

	// WritesPerSecond bounds the transactions per second; 0 means no bound.
	WritesPerSecond float64

	// Rate gives a bound that changes, asked for before each transaction; nil means WritesPerSecond.
	Rate func() float64

	// MaxRows bounds checks, puts and deletes of a transaction together; 0 means DefaultMaxRows.
	MaxRows int

	// MaxBytes bounds the keys and values of a transaction; 0 means DefaultMaxBytes.
	MaxBytes int

	// Pending bounds the writes that wait or are in flight; 0 means DefaultPending.
	Pending int

	// Patience bounds how long a write waits while the store is down; 0 means DefaultPatience.
	Patience time.Duration

	mu sync.Mutex
	// queue holds the waiting writes, oldest first; left of them are settled already.
	queue    []*entry
	left     int
	inFlight int
	closed   bool
	stats    GroupStats
	wakeOnce sync.Once
	wakeChan chan struct{}
}

// GroupStats counts what a Group did.
type GroupStats struct {
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
func (g *Group) Stats() GroupStats {
	g.mu.Lock()
	defer g.mu.Unlock()
	stats := g.stats
	stats.Waiting = int64(len(g.queue))
	return stats
}

// Do carries out a write and waits for its outcome or the end of ctx: Refused if ctx ended
// before the write was sent, Unknown after.
func (g *Group) Do(ctx context.Context, w Write) Result {
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

func (g *Group) enqueue(e *entry) error {
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
func (g *Group) leave(e *entry) Result {
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
func (g *Group) settle(e *entry, res Result) {
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

func (g *Group) wake() chan struct{} {
	g.wakeOnce.Do(func() { g.wakeChan = make(chan struct{}, 1) })
	return g.wakeChan
}

// notify tells Run that the queue has changed.
func (g *Group) notify() {
	select {
	case g.wake() <- struct{}{}:
	default:
	}
}

func (g *Group) window() time.Duration {
	if g.Window > 0 {
		return g.Window
	}
	return DefaultWindow
}

func (g *Group) limit() rate.Limit {
	perSecond := g.WritesPerSecond
	if g.Rate != nil {
		perSecond = g.Rate()
	}
	if perSecond > 0 {
		return rate.Limit(perSecond)
	}
	return rate.Inf
}

func (g *Group) maxRows() int {
	if g.MaxRows > 0 {
		return g.MaxRows
	}
	return DefaultMaxRows
}

func (g *Group) maxBytes() int {
	if g.MaxBytes > 0 {
		return g.MaxBytes
	}
	return DefaultMaxBytes
}

func (g *Group) pending() int {
	if g.Pending > 0 {
		return g.Pending
	}
	return DefaultPending
}

func (g *Group) patience() time.Duration {
	if g.Patience > 0 {
		return g.Patience
	}
	return DefaultPatience
}
