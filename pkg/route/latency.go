package route

import (
	"math"
	"time"
)

const (
	// latencyDecay is the time constant of the average.
	latencyDecay = 10 * time.Second
	// minLatency keeps the number of outstanding requests in the cost of an idle server.
	minLatency = 100 * time.Microsecond
)

// Latency is a Peak-EWMA latency: a peak counts at once and decays over 10 s.
// The zero value has no observation yet.
type PeakEWMA struct {
	seconds float64
	at      time.Time
}

// Observe adds a latency.
func (l *PeakEWMA) Observe(now time.Time, d time.Duration) {
	x, w := d.Seconds(), l.decay(now)
	l.seconds = max(x, l.seconds*w+x*(1-w))
	l.at = now
}

func (l *PeakEWMA) decay(now time.Time) float64 {
	return math.Exp(-now.Sub(l.at).Seconds() / latencyDecay.Seconds())
}

// Cost is the latency times (outstanding+1), in seconds. A penalty adds to the latency.
func (l *PeakEWMA) Cost(now time.Time, outstanding int, penalty time.Duration) float64 {
	latency := max(l.seconds*l.decay(now), minLatency.Seconds()) + penalty.Seconds()
	return latency * float64(outstanding+1)
}
