package ledger_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/ledger"
)

// Guards against leases that a successor takes for expired too early: whenever the store has read its clock between
// call and response, a time that goes from one instance to another through that clock does not become earlier.
func TestTimesTranslatedThroughTheStoreClockAreNotEarly(t *testing.T) {
	sent := time.Unix(1_700_000_000, 0)
	expiry := sent.Add(5 * time.Second)
	for _, delay := range []time.Duration{0, 3 * time.Millisecond, 300 * time.Millisecond} {
		for _, back := range []time.Duration{0, 3 * time.Millisecond, 300 * time.Millisecond} {
			// The store's clock reads an hour at the time sent.
			former := ledger.ClockReading{Clock: time.Hour + delay, Sent: sent, Received: sent.Add(delay + back)}
			next := ledger.ClockReading{Clock: time.Hour + time.Second, Received: sent.Add(time.Second + back)}
			translated := next.LatestTime(former.Latest(expiry))
			assert.Assert(t, !translated.Before(expiry), "delay %s, %s back: %s early", delay, back, expiry.Sub(translated))
			assert.Assert(t, translated.Sub(expiry) <= delay+back)
		}
	}
}

// Guards against entries that are taken for recent because they were read recently (review/more/shrunk): an owner dates
// rows by the commits of its own term and of earlier ones, and never too late.
func TestVersionsTellWhenRowsWereWritten(t *testing.T) {
	store := newFakeStore()
	a, b := store.ledger("a", 1), store.ledger("b", 2)
	acquire(t, a)
	first := store.version
	written := make(map[int64]time.Time) // by version
	write := func(n int, l *ledger.Ledger) {
		for range n {
			store.advance(300 * time.Millisecond)
			store.version++
			written[store.version] = store.now
			store.advance(50 * time.Millisecond)
			_, err := l.Commit(t.Context(), nil, nil)
			assert.NilError(t, err)
		}
	}
	write(4, a)
	acquire(t, b)
	write(3, b)
	h := b.History()
	for version, at := range written {
		after := h.WrittenAfter(version)
		assert.Assert(t, !after.After(at) && at.Sub(after) < time.Second, "version %d: written at %s, dated %s", version, at, after)
	}
	assert.Assert(t, h.WrittenAfter(first-1).IsZero(), "a row older than all commits")
}
