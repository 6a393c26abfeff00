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
	// DefaultTTL is how long a candidate must see the row unchanged, without Margin.
	DefaultTTL = 5 * time.Second
	// DefaultRenew is the interval between renewals.
	DefaultRenewInterval = 1500 * time.Millisecond
	// DefaultPoll is the interval between a candidate's reads.
	DefaultPollInterval = time.Second
	// DefaultMargin is added to the TTL by candidates.
	DefaultTakeoverMargin = time.Second

	// maxJitter bounds the delay, derived from the name, that keeps candidates apart.
	maxJitter = 500 * time.Millisecond

	// callTimeout bounds a read or commit. A commit that takes longer is resolved by its nonce.
	callTimeout = 2 * time.Second

	// handoverLimit bounds the time for giving up the lease at the end of Run.
	handoverLimit = 3 * time.Second
)

// Keeper acquires the lease of a failure domain and keeps it. Set the fields before Run.
//
// The holder learns of its loss by reading a row that names another one; a store outage alone
// is no loss, because fences and proven bases decide what the holder may do, not its lease.
type Elector struct {
	// FailureDomain is the domain to own.
	FailureDomain string
	// Holder is the name of this instance; no other candidate may use it.
	Holder string
	// Address is where other instances reach the holder.
	Address string

	// TTL, Renew, Poll and Margin are the times of the lease; 0 means the default.
	TTL, RenewInterval, PollInterval, TakeoverMargin time.Duration

	// Row reads a row of the table.
	ReadRow func(ctx context.Context, key string) (table.Row, bool, error)
	// Commit carries out a transaction.
	Commit func(ctx context.Context, tx table.Commit) table.Result

	// OnGain and OnLoss are called by Run's goroutine and must not block.
	OnAcquired, OnLost func(Lease)

	// Stats counts what the Keeper did.
	Stats Stats

	mu       sync.Mutex
	held     bool
	lease    Lease
	observed Lease
	proven   time.Time
}

// Stats are the counters of a Keeper.
type Stats struct {
	// Gains and Losses count changes of ownership; Losses includes handovers.
	Gains, Losses atomic.Int64
	// Renewals counts renewals that succeeded.
	Renewals atomic.Int64
	// Failures counts acquisitions and renewals that the store refused or left unknown.
	Failures atomic.Int64
	// Conflicts counts acquisitions and renewals that another write preceded.
	Conflicts atomic.Int64
	// LostAnswers counts writes that took effect though their outcome was unknown at first.
	LostAnswers atomic.Int64
	// Gaps counts measurements that a candidate started again after a gap in store contact.
	Gaps atomic.Int64
}

// Held returns the lease, and whether this instance holds it.
func (k *Elector) Held() (Lease, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease, k.held
}

// Observed returns the holder that was seen last; its Holder is empty if there was none.
func (k *Elector) Observed() Lease {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.observed
}

// Proven returns the start of the last renewal that succeeded in the held epoch. At that time no
// other instance held the lease. False means that there was none yet, or that no lease is held.
func (k *Elector) ConfirmedAt() (time.Time, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.proven, k.held && !k.proven.IsZero()
}

// Run competes for the lease until ctx ends, and then hands it over if it is held.
func (k *Elector) Run(ctx context.Context) error {
	c := &contender{
		k:       k,
		jitter:  jitter(k.Holder),
		pending: make(map[string]time.Time),
		backoff: table.Backoff{Max: k.renew()},
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

// jitter spreads candidates that see the same row over maxJitter.
func jitter(name string) time.Duration {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return time.Duration(h.Sum64() % uint64(maxJitter))
}

func newNonce() string {
	return uuid.NewString()
}

func (k *Elector) ttl() time.Duration {
	return orDefault(k.TTL, DefaultTTL)
}

func (k *Elector) renew() time.Duration {
	return orDefault(k.RenewInterval, DefaultRenewInterval)
}

func (k *Elector) poll() time.Duration {
	return orDefault(k.PollInterval, DefaultPollInterval)
}

func (k *Elector) margin() time.Duration {
	return orDefault(k.TakeoverMargin, DefaultTakeoverMargin)
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}
