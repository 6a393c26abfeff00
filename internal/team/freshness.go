package team

import (
	"math"
	"sync"
	"time"
)

const (
	// NeverConfirmed is the age of a configuration that was never confirmed.
	NeverConfirmed = time.Duration(math.MaxInt64)

	// rateFraction is the part of a time by which two clocks may drift apart in that time: 1%.
	rateFraction = 100

	// synchronizeInterval is the time between two reads that relate the store's clock to that of the instance. Half a
	// minute would cost 0.3 s of the age of confirmations that another instance passes on.
	synchronizeInterval = 15 * time.Second

	// maxSynchronizingRead is the longest read that relates the clocks. The response to a long poll may have any time
	// within its wait.
	maxSynchronizingRead = time.Second
)

// Read is a read of the configuration from the store whose response has arrived.
type Read struct {
	// SentAt and ReceivedAt are by the clock of the instance.
	SentAt, ReceivedAt time.Duration
	// StoreClock is the clock of the store in the response.
	StoreClock time.Duration
}

// Freshness tracks the latest time at which the active configuration, or one before it, is known to have been the
// newest one. Since versions only grow, this holds for each later configuration as well. Times are of a clock of the
// instance that never jumps and goes on while the machine is suspended.
type Freshness struct {
	mu sync.Mutex
	// confirmedAt is that time by the clock of the instance, storeConfirmedAt one by the clock of the store.
	confirmed, storeConfirmed     bool
	confirmedAt, storeConfirmedAt time.Duration

	// reference relates the two clocks: its response left the store after SentAt, with StoreClock.
	reference      Read
	synchronized   bool
	synchronizedAt time.Duration
}

// ConfirmSentAt records that a read which was sent at the given time has returned the newest configuration.
func (f *Freshness) ConfirmSentAt(sentAt time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirm(sentAt)
}

func (f *Freshness) confirm(at time.Duration) bool {
	if f.confirmed && at <= f.confirmedAt {
		return false
	}
	f.confirmed, f.confirmedAt = true, at
	return true
}

// Confirm records a read that has returned the newest configuration, or that it has not changed.
func (f *Freshness) Confirm(r Read) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.synchronize(r)
	if f.confirm(r.SentAt) {
		// The store sent its clock before ReceivedAt, so at SentAt it was no earlier than this.
		took := r.ReceivedAt - r.SentAt
		f.storeConfirmed, f.storeConfirmedAt = true, r.StoreClock-took-took/rateFraction
	}
}

// synchronize uses a read to relate the clocks if it does so more exactly than the former one, or contradicts it.
func (f *Freshness) synchronize(r Read) {
	if r.ReceivedAt-r.SentAt > maxSynchronizingRead {
		return
	}
	if f.synchronized {
		expected := f.localTime(r.StoreClock)
		if expected > r.SentAt && expected <= r.ReceivedAt {
			f.synchronizedAt = r.SentAt
			return
		}
	}
	f.reference, f.synchronized, f.synchronizedAt = r, true, r.SentAt
}

// localTime returns a time of the instance that is no later than the time at which the store's clock had the given
// value.
func (f *Freshness) localTime(storeClock time.Duration) time.Duration {
	since := storeClock - f.reference.StoreClock
	drift := since / rateFraction
	if drift < 0 {
		drift = -drift
	}
	return f.reference.SentAt + since - drift
}

// ConfirmStoreClock records that another instance knows, by the clock of the store, when the active configuration or
// one before it was the newest. It is ignored if the clocks are not related yet, or contradict each other.
func (f *Freshness) ConfirmStoreClock(storeClock, now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.synchronized {
		return
	}
	at := f.localTime(storeClock)
	if at > now {
		f.synchronized = false // the store's clock has started anew
		return
	}
	if f.confirm(at) {
		f.storeConfirmed, f.storeConfirmedAt = true, storeClock
	}
}

// StoreClock returns, by the clock of the store, when the active configuration is known to have been the newest.
func (f *Freshness) StoreClock() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeConfirmedAt, f.storeConfirmed
}

// Confirmation is the time of a confirmation; the zero value is none.
type Confirmation struct {
	at    time.Duration
	known bool
}

// Confirmation returns the latest confirmation. It must be called before the configuration is loaded that it is used
// with: a later one would not hold for that.
func (f *Freshness) Confirmation() Confirmation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Confirmation{at: f.confirmedAt, known: f.confirmed}
}

// Age returns the age of the confirmation.
func (c Confirmation) Age(now time.Duration) time.Duration {
	if !c.known {
		return NeverConfirmed
	}
	return now - c.at
}

// NextRead returns when the instance should read the configuration itself. stagger, 0 to 1, differs between instances,
// so that they do not all read at once when the owner fails.
func (f *Freshness) NextRead(l Limits, owner bool, stagger float64) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.confirmed || !f.synchronized {
		return 0
	}
	if owner {
		return f.synchronizedAt + l.readInterval()
	}
	ownReadAge := l.ownReadAge()
	return min(f.synchronizedAt+synchronizeInterval, f.confirmedAt+ownReadAge+time.Duration(stagger/2*float64(ownReadAge)))
}
