package ledger

import "time"

// ClockReading is a reading of the store's monotonic clock, taken between two times of the instance's own clock.
type ClockReading struct {
	Clock          time.Duration
	Sent, Received time.Time
}

// Latest returns the latest reading that the store's clock can have at time t.
func (r ClockReading) Latest(t time.Time) time.Duration {
	return r.Clock + t.Sub(r.Sent)
}

// LatestTime returns the latest time at which the store's clock can have the given reading.
func (r ClockReading) LatestTime(clock time.Duration) time.Time {
	return r.Received.Add(clock - r.Clock)
}
