package ledger

import (
	"slices"
	"time"
)

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

// EarliestTime returns the earliest time at which the store's clock can have the given reading.
func (r ClockReading) EarliestTime(clock time.Duration) time.Time {
	return r.Sent.Add(clock - r.Clock)
}

const (
	// sampleInterval is the minimum time between two samples. maxSamples of them reach back for longer than the
	// entries of the instance list are relied on.
	sampleInterval = 400 * time.Millisecond
	maxSamples     = 12
)

// Sample is a version of the store and a time, by the store's clock, before the transaction with that version.
type Sample struct {
	Version int64
	Clock   time.Duration
}

// History dates rows by their versions.
type History struct {
	Reading ClockReading
	// Samples are in the order of their versions.
	Samples []Sample
}

// WrittenAfter returns a time after which the row with the given version was written: the latest that the samples show,
// or the zero time if they do not reach back as far.
func (h History) WrittenAfter(version int64) time.Time {
	for _, s := range slices.Backward(h.Samples) {
		if s.Version < version {
			return h.Reading.EarliestTime(s.Clock)
		}
	}
	return time.Time{}
}

// withSample returns the samples with a later one, unless the last one is too recent.
func withSample(samples []Sample, s Sample) []Sample {
	if n := len(samples); n > 0 && s.Clock-samples[n-1].Clock < sampleInterval {
		return samples
	}
	samples = append(slices.Clone(samples), s)
	return samples[max(0, len(samples)-maxSamples):]
}
