package pace

import (
	"math"
	"runtime/metrics"
	"time"
)

// schedLatencies is the runtime's histogram of the time that goroutines were runnable before they ran.
const schedLatencies = "/sched/latencies:seconds"

// Waits measures how long the goroutines of this process wait for the processor. The delay of an event
// between two goroutines does not show that: a goroutine that is woken by another one runs next, however
// many wait already. The zero value is ready to use; it is not safe for concurrent use.
type Waits struct {
	samples []metrics.Sample
	former  []uint64
}

// WaitTimes describes the waits of goroutines since the last read.
type WaitTimes struct {
	// Mean, Median and High are the mean, the median and the ninth decile of the waits.
	Mean, Median, High time.Duration
	// Count is the number of waits.
	Count uint64
}

// Read returns the waits since the last call.
func (w *Waits) Read() WaitTimes {
	if w.samples == nil {
		w.samples = []metrics.Sample{{Name: schedLatencies}}
	}
	metrics.Read(w.samples)
	if w.samples[0].Value.Kind() != metrics.KindFloat64Histogram {
		return WaitTimes{}
	}
	h := w.samples[0].Value.Float64Histogram()
	counts := make([]uint64, len(h.Counts))
	var out WaitTimes
	for i, n := range h.Counts {
		counts[i] = n
		if i < len(w.former) {
			counts[i] -= w.former[i]
		}
		out.Count += counts[i]
	}
	w.former = append(w.former[:0], h.Counts...)
	if out.Count == 0 {
		return out
	}
	sum := 0.0
	seen := uint64(0)
	for i, n := range counts {
		if n == 0 {
			continue
		}
		value := middle(h.Buckets[i], h.Buckets[i+1])
		sum += value * float64(n)
		before := seen
		seen += n
		if before*2 < out.Count && seen*2 >= out.Count {
			out.Median = seconds(value)
		}
		if before*10 < out.Count*9 && seen*10 >= out.Count*9 {
			out.High = seconds(value)
		}
	}
	out.Mean = seconds(sum / float64(out.Count))
	return out
}

// middle returns the middle of a bucket, or its finite bound.
func middle(low, high float64) float64 {
	switch {
	case math.IsInf(low, -1):
		return high
	case math.IsInf(high, 1):
		return low
	}
	return (low + high) / 2
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
