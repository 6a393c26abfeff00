package route

import (
	"math"
	"time"
)

const (
	// latencyDecay is the time constant of the moving average.
	latencyDecay = 10 * time.Second
	// minLatency keeps the cost of a server without recent latencies above 0, so that its number
	// of outstanding requests still counts.
	minLatency = 100 * time.Microsecond
)

// PeakEWMA is an exponentially weighted moving average of latencies. A higher latency takes effect
// immediately and decays over 10 s. The zero value is ready to use.
type PeakEWMA struct {
	seconds   float64
	updatedAt time.Time
}

// Observe adds a latency to the average.
func (e *PeakEWMA) Observe(now time.Time, d time.Duration) {
	x, w := d.Seconds(), e.decay(now)
	e.seconds = max(x, e.seconds*w+x*(1-w))
	e.updatedAt = now
}

func (e *PeakEWMA) decay(now time.Time) float64 {
	return math.Exp(-now.Sub(e.updatedAt).Seconds() / latencyDecay.Seconds())
}

// Cost returns the latency plus the penalty, in seconds, multiplied by outstanding+1.
func (e *PeakEWMA) Cost(now time.Time, outstanding int, penalty time.Duration) float64 {
	latency := max(e.seconds*e.decay(now), minLatency.Seconds()) + penalty.Seconds()
	return latency * float64(outstanding+1)
}
