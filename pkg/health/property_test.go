package health_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/daisyrack/daisyrack/pkg/health"
)

// Guards against attributing failures to the wrong side: every task fails on some workers, some
// jobs fail on every worker, all other tasks succeed. Only those workers may be quarantined and
// only those jobs backed off.
func TestOnlyFaultyWorkersAndJobsAreDelayed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := health.Tracker{JobFailureThreshold: 1000}
		now := start
		badWorkers := rapid.IntRange(0, 2).Draw(t, "badWorkers")
		badJobs := rapid.IntRange(0, 4).Draw(t, "badJobs")
		for range rapid.IntRange(0, 200).Draw(t, "tasks") {
			w, j := rapid.IntRange(0, 9).Draw(t, "worker"), rapid.IntRange(0, 9).Draw(t, "job")
			worker, job := "w"+strconv.Itoa(w), "j"+strconv.Itoa(j)
			now = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "wait")) * time.Second)
			ok, probe := h.Usable(now, worker)
			if !ok || h.NextAttempt(now, job).After(now) {
				continue
			}
			if probe {
				h.RecordProbeStart(now, worker)
				usableAgain, _ := h.Usable(now, worker)
				assert.Assert(t, !usableAgain, "two probes of %s", worker)
			}
			if w < badWorkers || j < badJobs {
				h.RecordFailure(now, worker, job)
				continue
			}
			h.RecordSuccess(now, worker, job)
		}
		for _, worker := range h.Quarantined() {
			assert.Assert(t, worker < "w"+strconv.Itoa(badWorkers) || badJobs > 2, "%s is healthy", worker)
		}
		for _, job := range h.BackedOff() {
			assert.Assert(t, job < "j"+strconv.Itoa(badJobs), "%s is healthy", job)
		}
	})
}

// Guards against delays that do not double, or double without limit.
func TestDelaysDoubleUpToMaximum(t *testing.T) {
	var h health.Tracker
	for i := range 5 {
		h.RecordFailure(start, "w", "j"+strconv.Itoa(i))
	}
	now := start
	var quarantines, backoffs []time.Duration
	for range 8 {
		from := now
		for ok := false; !ok; now = now.Add(time.Second) {
			ok, _ = h.Usable(now.Add(time.Second), "w")
		}
		quarantines = append(quarantines, now.Sub(from))
		h.RecordFailure(now, "w", "j0")
		h.RecordFailure(now.Add(time.Second), "w", "j1")
	}
	s := time.Second
	assert.DeepEqual(t, quarantines, []time.Duration{10 * s, 20 * s, 40 * s, 80 * s, 160 * s, 320 * s, 600 * s, 600 * s})
	for i := range 12 {
		h.RecordFailure(now, "v"+strconv.Itoa(i), "loop")
		next := h.NextAttempt(now, "loop")
		h.RecordFailure(next.Add(-1), "v0", "loop")
		backoffs = append(backoffs, next.Sub(now))
		now = next
	}
	assert.DeepEqual(t, backoffs[2:], []time.Duration{s, 2 * s, 4 * s, 8 * s, 16 * s, 32 * s, 64 * s, 128 * s, 256 * s, 300 * s})
}

// Guards against a worker that stays quarantined because its probe was a task of a
// crash-looping job, or because no outcome of the probe arrived.
func TestProbeIsRepeated(t *testing.T) {
	var h health.Tracker
	for i := range 3 {
		h.RecordFailure(start, "v"+strconv.Itoa(i), "loop")
	}
	for i := range 5 {
		h.RecordFailure(start, "w", "j"+strconv.Itoa(i))
	}
	now := start.Add(10 * time.Second)
	h.RecordProbeStart(now, "w")
	h.RecordFailure(now, "w", "loop")
	_, probe := h.Usable(now, "w")
	assert.Assert(t, probe)
	h.RecordProbeStart(now, "w")
	_, probe = h.Usable(now.Add(59*time.Second), "w")
	assert.Assert(t, !probe)
	_, probe = h.Usable(now.Add(time.Minute), "w")
	assert.Assert(t, probe)
	h.Forget("w")
	ok, probe := h.Usable(now, "w")
	assert.Assert(t, ok && !probe)
}

// Guards against a job that is restarted without delay because the cell has fewer than
// JobDistinctWorkers workers, and against backing it off once the worker is known to be the cause.
func TestCrashLoopOnOneWorkerIsDelayed(t *testing.T) {
	var h health.Tracker
	for range 10 {
		h.RecordFailure(start, "w", "a")
	}
	assert.Equal(t, h.NextAttempt(start, "a"), start.Add(time.Second))
	h.RecordFailure(start, "w", "b")
	h.RecordFailure(start, "w", "c")
	assert.DeepEqual(t, h.Quarantined(), []string{"w"})
	assert.Equal(t, len(h.BackedOff()), 0)
}

// Guards against a healthy worker that is quarantined for failures of faulty jobs, before or
// after the jobs are known to be at fault.
func TestFailuresOfFaultyJobsAreRetracted(t *testing.T) {
	var h health.Tracker
	for _, worker := range []string{"w", "w", "v0", "v1", "w", "w"} {
		h.RecordFailure(start, worker, "a")
		h.RecordFailure(start, worker, "b")
	}
	for _, worker := range []string{"v0", "v1", "x"} {
		h.RecordFailure(start, worker, "d")
		h.RecordFailure(start, worker, "e")
	}
	for range 3 {
		h.RecordFailure(start, "w", "c")
		h.RecordFailure(start, "x", "c")
	}
	assert.Equal(t, len(h.Quarantined()), 0)
	assert.DeepEqual(t, h.BackedOff(), []string{"a", "b", "d", "e"})
}

// Guards against memory that grows with the number of jobs and workers.
func TestMemoryIsBounded(t *testing.T) {
	h := health.Tracker{MaxEntries: 4}
	for i := range 100 {
		for w := range 5 {
			h.RecordFailure(start, "w"+strconv.Itoa(w), "j"+strconv.Itoa(i))
		}
	}
	assert.Assert(t, len(h.BackedOff()) <= 4 && len(h.Quarantined()) <= 4)
	assert.Assert(t, slices.Contains(h.BackedOff(), "j99"))
}
