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
