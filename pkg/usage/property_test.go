package usage_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/daisyrack/daisyrack/pkg/usage"
)

var maxSize = usage.Resources{CPUMillis: 16_000, MemoryMB: 65_536}

type report struct {
	used usage.Resources
	at   time.Time
}

var genReport = rapid.Custom(func(t *rapid.T) report {
	return report{
		usage.Resources{CPUMillis: rapid.Int64Range(-1, 20_000).Draw(t, "cpu"), MemoryMB: rapid.Int64Range(-1, 80_000).Draw(t, "mem")},
		start.Add(time.Duration(rapid.IntRange(0, 200_000).Draw(t, "s")) * time.Second),
	}
})

func observe(b *usage.Estimator, reports []report) {
	for _, r := range reports {
		b.Observe("a", r.used, r.at)
	}
}

// Guards against an estimate above MaxSize, below the discounted recent peak, or below MinSize.
func TestEstimatesStayWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := usage.Estimator{MaxSize: maxSize, PeakDiscount: rapid.Float64Range(0, 0.9).Draw(t, "peakDiscount")}
		reports := rapid.SliceOfN(genReport, 20, 60).Draw(t, "reports")
		observe(&b, reports)
		newest := slices.MaxFunc(reports, func(a, b report) int { return a.at.Compare(b.at) })
		if newest.at.Sub(slices.MinFunc(reports, func(a, b report) int { return a.at.Compare(b.at) }).at) < time.Minute {
			return
		}
		got := b.EstimateSize("a", usage.Resources{CPUMillis: 1 << 40, MemoryMB: 1 << 40})
		floor := func(peak, limit int64) int64 { return min(int64(float64(peak)*(1-b.PeakDiscount)), limit) }
		assert.Assert(t, got.CPUMillis <= maxSize.CPUMillis && got.MemoryMB <= maxSize.MemoryMB, "%+v", got)
		assert.Assert(t, got.CPUMillis >= floor(newest.used.CPUMillis, maxSize.CPUMillis), "%+v after %+v", got, newest)
		assert.Assert(t, got.MemoryMB >= floor(newest.used.MemoryMB, maxSize.MemoryMB), "%+v after %+v", got, newest)
		assert.Assert(t, got.CPUMillis >= 50 && got.MemoryMB >= 32, "%+v", got)
	})
}

// Guards against estimates that depend on the order in which delayed reports arrive, or that
// change when restored from a snapshot.
func TestEstimatesAreIndependentOfOrderAndRestart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reports := rapid.SliceOfN(genReport, 1, 60).Draw(t, "reports")
		// PeakDiscount 1 disables the peak, whose windows depend on the order of arrival.
		a, b, c := usage.Estimator{PeakDiscount: 1}, usage.Estimator{PeakDiscount: 1}, usage.Estimator{PeakDiscount: 1}
		observe(&a, reports)
		observe(&b, rapid.Permutation(reports).Draw(t, "order"))
		assert.NilError(t, c.Restore(a.Snapshot()))
		declared := usage.Resources{CPUMillis: 7, MemoryMB: 7}
		assert.Equal(t, b.EstimateSize("a", declared), a.EstimateSize("a", declared))
		assert.Equal(t, c.EstimateSize("a", declared), a.EstimateSize("a", declared))
	})
}

// Guards against memory that grows with the number of jobs, and against eviction of recently
// used jobs.
func TestLeastRecentlyUsedJobIsEvicted(t *testing.T) {
	b := usage.Estimator{MaxJobs: 3}
	for i := range 10 {
		b.ObserveRun("kept", time.Minute)
		b.ObserveRun("j"+strconv.Itoa(i), time.Minute)
	}
	assert.Equal(t, b.Len(), 3)
	_, known := b.EstimateRunTime("kept", 0)
	assert.Assert(t, known)
	small := usage.Estimator{MaxJobs: 1}
	assert.NilError(t, small.Restore(b.Snapshot()))
	assert.Equal(t, small.Len(), 1)
	_, known = small.EstimateRunTime("kept", 0)
	assert.Assert(t, known)
}

// Guards against an invalid snapshot that replaces the present statistics.
func TestRestoreRejectsInvalidSnapshots(t *testing.T) {
	var b usage.Estimator
	b.ObserveRun("a", time.Minute)
	before := string(b.Snapshot())
	for _, data := range []string{
		"", "{}", `{"version":2}`, `{"version":1,"jobs":[{"job":""}]}`, `{"version":1,"jobs":[{"job":"x","reports":-1}]}`,
		`{"version":1,"jobs":[{"job":"x","cpu":{"first":-1,"total":1,"weights":[1]}}]}`,
		`{"version":1,"jobs":[{"job":"x","cpu":{"first":192,"total":1,"weights":[1]}}]}`,
		`{"version":1,"jobs":[{"job":"x","cpu":{"total":-1,"weights":[1]}}]}`,
		`{"version":1,"jobs":[{"job":"x","cpu":{"total":1,"weights":[-1]}}]}`,
	} {
		assert.ErrorIs(t, b.Restore([]byte(data)), usage.ErrInvalidSnapshot, data)
		assert.Equal(t, string(b.Snapshot()), before)
	}
}

// Guards against different jobs sharing one family.
func TestFamilyDropsTrailingNumbers(t *testing.T) {
	for job, want := range map[string]string{
		"report-2026-12-04": "report", "report_17": "report", "v2-report": "v2-report", "2026": "2026", "": "",
	} {
		assert.Equal(t, usage.Family(job), want)
	}
}

// Guards against estimates that cover too little of later usage. It also logs the granted
// fraction of a declared size of four times the median.
func TestEstimatesCoverLaterUsage(t *testing.T) {
	for _, percentile := range []float64{0.9, 0.95, 0.99} {
		for _, margin := range []float64{0.01, 0.15, 0.3} {
			covered, granted, n := 0, 0.0, 0
			for seed := uint64(1); seed <= 20; seed++ {
				rnd := rand.New(rand.NewPCG(seed, 0))
				b := usage.Estimator{Percentile: percentile, Margin: margin, PeakDiscount: 1}
				median := 500 + rnd.Float64()*4000
				draw := func() int64 { return int64(median * math.Exp(0.4*rnd.NormFloat64())) }
				for i := range 500 {
					b.Observe("a", usage.Resources{CPUMillis: draw(), MemoryMB: 1}, start.Add(time.Duration(i)*10*time.Second))
				}
				size := b.EstimateSize("a", usage.Resources{}).CPUMillis
				granted += float64(size) / (4 * median) / 20
				for range 1000 {
					n++
					if draw() <= size {
						covered++
					}
				}
			}
			share := float64(covered) / float64(n)
			t.Logf("seeds 1 to 20, percentile %.2f, margin %.2f: %.4f of later use covered, %.2f of the declared size granted",
				percentile, margin, share, granted)
			assert.Assert(t, share >= percentile-0.02)
		}
	}
}

// BenchmarkBook measures reports, estimates and snapshots of 4,096 jobs.
func BenchmarkBook(b *testing.B) {
	var estimator usage.Estimator
	names := make([]string, 4096)
	for i := range names {
		names[i] = "job" + strconv.Itoa(i)
	}
	observe := func(i int) {
		used := usage.Resources{CPUMillis: int64(100 + i%977), MemoryMB: int64(100 + i%1009)}
		estimator.Observe(names[i%len(names)], used, start.Add(time.Duration(i)*time.Millisecond))
	}
	for i := range 100 * len(names) {
		observe(i)
	}
	for name, call := range map[string]func(i int){
		"observe":  observe,
		"size":     func(i int) { estimator.EstimateSize(names[i%len(names)], usage.Resources{}) },
		"clone":    func(int) { estimator.Clone() },
		"snapshot": func(int) { estimator.Snapshot() },
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				call(i)
			}
		})
	}
	b.Logf("snapshot of %d bytes", len(estimator.Snapshot()))
}
