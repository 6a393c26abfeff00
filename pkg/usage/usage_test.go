package usage_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/pkg/usage"
)

var start = time.Unix(1_700_000_000, 0).UTC()

// Guards against estimates that keep the declared size although reports differ from it, or
// that ignore the recent peak or MaxSize.
func TestSizeFollowsReports(t *testing.T) {
	b := usage.Estimator{MaxSize: usage.Resources{CPUMillis: 16_000, MemoryMB: 65_536}}
	declared := usage.Resources{CPUMillis: 8_000, MemoryMB: 32_768}
	assert.Equal(t, b.EstimateSize("a", declared), declared)
	for i := range 40 {
		b.Observe("a", usage.Resources{CPUMillis: 1_000, MemoryMB: 2_048}, start.Add(time.Duration(i)*2*time.Second))
	}
	got := b.EstimateSize("a", declared)
	assert.Assert(t, got.CPUMillis >= 1_000 && got.CPUMillis <= 1_300, "%+v", got)
	assert.Assert(t, got.MemoryMB >= 2_048 && got.MemoryMB <= 2_700, "%+v", got)
	b.Observe("a", usage.Resources{CPUMillis: 99_000, MemoryMB: 9_000}, start.Add(time.Minute))
	assert.Equal(t, b.EstimateSize("a", declared), usage.Resources{CPUMillis: 16_000, MemoryMB: 9_000})
}

// Guards against a declared size that is replaced after too few reports, a peak that expires
// too early or too late, and old reports that lose all weight at once.
func TestSizeAfterFewOrOldReports(t *testing.T) {
	const day = 24 * time.Hour
	series := func(n int, every time.Duration, cpu int64) func(*usage.Estimator, time.Time) time.Time {
		return func(b *usage.Estimator, at time.Time) time.Time {
			for range n {
				b.Observe("a", usage.Resources{CPUMillis: cpu, MemoryMB: 32}, at)
				at = at.Add(every)
			}
			return at
		}
	}
	type steps []func(*usage.Estimator, time.Time) time.Time
	declared := usage.Resources{CPUMillis: 9_000, MemoryMB: 64}
	for name, test := range map[string]struct {
		steps
		belowPeak float64
		low, high int64
	}{
		"19 reports":           {steps{series(19, 10*time.Second, 100)}, 0, 9_000, 9_000},
		"20 reports in 19 s":   {steps{series(20, time.Second, 100)}, 0, 9_000, 9_000},
		"20 reports in 190 s":  {steps{series(20, 10*time.Second, 100)}, 0, 100, 130},
		"peak 12 minutes ago":  {steps{series(1, time.Minute, 5_000), series(100, 7*time.Second, 100)}, 0, 5_000, 5_000},
		"peak 23 minutes ago":  {steps{series(1, time.Minute, 5_000), series(100, 14*time.Second, 100)}, 0, 100, 130},
		"40 days, newest last": {steps{series(1, 39*day, 100), series(20, 0, 4_000), series(1, 2*day, 4_000), series(1, day, 100)}, 1, 4_000, 5_200},
	} {
		b := usage.Estimator{PeakDiscount: test.belowPeak}
		at := start
		for _, step := range test.steps {
			at = step(&b, at)
		}
		got := b.EstimateSize("a", declared).CPUMillis
		assert.Assert(t, got >= test.low && got <= test.high, "%s: %d", name, got)
	}
}

// Guards against estimates that are lost or changed when restored from a snapshot, and against
// a clone that shares state with its original.
func TestSnapshotRestoresEstimates(t *testing.T) {
	var b, c usage.Estimator
	for i := range 40 {
		b.Observe("a", usage.Resources{CPUMillis: int64(100 * i), MemoryMB: 2_048}, start.Add(time.Duration(i)*time.Second))
		b.ObserveRun("a", time.Duration(i)*time.Minute)
	}
	assert.NilError(t, c.Restore(b.Snapshot()))
	assert.Equal(t, c.EstimateSize("a", usage.Resources{}), b.EstimateSize("a", usage.Resources{}))
	assert.Equal(t, string(c.Snapshot()), string(b.Snapshot()))
	before := string(c.Snapshot())
	d := c.Clone()
	c.ObserveRun("b", time.Minute)
	c.ObserveRun("b", time.Minute)
	c.ObserveRun("a", time.Minute)
	assert.Equal(t, string(d.Snapshot()), before, "a clone shares state")
	run, known := c.EstimateRunTime("b", time.Hour)
	assert.Assert(t, !known && run == time.Hour, "%v after 2 runs", run)
	run, known = c.EstimateRunTime("a", 0)
	assert.Assert(t, known && run > 30*time.Minute && run < 45*time.Minute, "%v", run)
}
