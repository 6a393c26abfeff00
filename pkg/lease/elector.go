package lease

import (
	"context"
	"hash/fnv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/daisyrack/daisyrack/pkg/table"
)

const (
	// DefaultTTL is how long the row must stay unchanged before a candidate takes over, not
	// counting TakeoverMargin.
	DefaultTTL = 5 * time.Second
	// DefaultRenewInterval is the interval between renewals.
	DefaultRenewInterval = 1500 * time.Millisecond
	// DefaultPollInterval is the interval between a candidate's reads.
	DefaultPollInterval = time.Second
	// DefaultTakeoverMargin is added to the TTL by candidates.
	DefaultTakeoverMargin = time.Second

	// maxJitter bounds the delay, derived from the holder's name, that keeps candidates from
	// acquiring at the same time.
	maxJitter = 500 * time.Millisecond

	// callTimeout bounds a read or commit. The outcome of a commit that takes longer is found
	// by reading the row and comparing the nonce.
	callTimeout = 2 * time.Second

	// handoverTimeout bounds the handover of the lease at the end of Run.
	handoverTimeout = 3 * time.Second
)

// Elector acquires and renews the lease of a failure domain. Set the fields before Run.
//
// The holder loses the lease when it reads a row that names another holder or none. A store outage
// alone is no loss: what the holder may do is decided by the fencing checks of its commits and by
// the renewal times at the workers, not by the lease that it believes it holds.
type Elector struct {
	// FailureDomain is the domain to own.
	FailureDomain string
	// Holder is the name of this instance; it must be unique among the candidates.
	Holder string
	// Address is the address at which other instances reach the holder.
	Address string

	// TTL, RenewInterval, PollInterval and TakeoverMargin are the times of the lease; 0 means
	// the default.
	TTL, RenewInterval, PollInterval, TakeoverMargin time.Duration

	// ReadRow reads a row of the table and reports whether it exists.
	ReadRow func(ctx context.Context, key string) (table.Row, bool, error)
	// Commit commits a transaction to the table.
	Commit func(ctx context.Context, tx table.Transaction) table.Result

	// OnAcquired and OnLost are called by the goroutine of Run and must not block.
	OnAcquired, OnLost func(Lease)

	// Stats are updated by Run.
	Stats Stats

	mu          sync.Mutex
	held        bool
	lease       Lease
	observed    Lease
	confirmedAt time.Time
}

// Stats are the counters of an Elector. The names of the metrics derive from the field names.
type Stats struct {
	// Gains and Losses count acquired and lost leases; Losses includes handovers.
	Gains, Losses atomic.Int64
	// Renewals counts renewals that succeeded.
	Renewals atomic.Int64
	// Failures counts acquisitions and renewals that the store refused or whose outcome was
	// unknown.
	Failures atomic.Int64
	// Conflicts counts acquisitions and renewals that failed because of a concurrent write.
	Conflicts atomic.Int64
	// LostAnswers counts writes that took effect although their response was lost.
	LostAnswers atomic.Int64
	// Gaps counts how often a candidate lost contact with the store and therefore measured anew
	// how long the row stays unchanged.
	Gaps atomic.Int64
}

// Held returns the lease and whether this instance holds it.
func (e *Elector) Held() (Lease, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lease, e.held
}

// Observed returns the lease as last read or written. Its Holder is empty if nobody held it.
func (e *Elector) Observed() Lease {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.observed
}

// ConfirmedAt returns the start of the last successful renewal in the held epoch. At that time no
// other instance held the lease. It returns false before the first renewal and if the lease is not
// held.
func (e *Elector) ConfirmedAt() (time.Time, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.confirmedAt, e.held && !e.confirmedAt.IsZero()
}

// Run campaigns for the lease and renews it until ctx ends, and then hands it over if it is held.
func (e *Elector) Run(ctx context.Context) error {
	c := &candidate{
		elector: e,
		jitter:  jitter(e.Holder),
		pending: make(map[string]time.Time),
		backoff: table.Backoff{Max: e.renewInterval()},
	}
	timer := time.NewTimer(c.step(ctx))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			c.handOver(context.WithoutCancel(ctx))
			return nil
		case <-timer.C:
		}
		timer.Reset(c.step(ctx))
	}
}

// jitter returns a delay below maxJitter that depends only on the name, so that candidates that
// read the same row act at different times.
func jitter(name string) time.Duration {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return time.Duration(h.Sum64() % uint64(maxJitter))
}

func newNonce() string {
	return uuid.NewString()
}

func (e *Elector) ttl() time.Duration {
	return orDefault(e.TTL, DefaultTTL)
}

func (e *Elector) renewInterval() time.Duration {
	return orDefault(e.RenewInterval, DefaultRenewInterval)
}

func (e *Elector) pollInterval() time.Duration {
	return orDefault(e.PollInterval, DefaultPollInterval)
}

func (e *Elector) takeoverMargin() time.Duration {
	return orDefault(e.TakeoverMargin, DefaultTakeoverMargin)
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}
