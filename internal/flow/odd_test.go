package flow_test

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/flow"
	"github.com/daisyrack/daisyrack/pkg/place"
	"github.com/daisyrack/daisyrack/pkg/wire"
)

// All occurrences of a job may be due at once, and opening them all takes more memory than an instance has:
// a job of 64 steps with 4,096 tasks each, 100,000 times, would hold 26 billion tasks.
func TestOpenOccurrencesAreLimited(t *testing.T) {
	for _, c := range []struct{ steps, count, open int }{{1, 1, 1000}, {1, 4096, 31}, {64, 4096, 1}} {
		spec := flow.Spec{Occurrences: 2000, FirstDue: start}
		for range c.steps {
			spec.Steps = append(spec.Steps, step(c.count))
		}
		j := flow.NewJob("a", spec, 1)
		assert.Equal(t, len(j.OpenDue(start)), c.steps*c.open)
		assert.Equal(t, len(j.OpenDue(start)), 0)
		for s := range c.steps {
			for i := range c.count {
				j.ApplyEnd(start, fleet.TaskID{Job: "a", Step: s, Index: i}, 1, fleet.Done, "")
			}
		}
		assert.Equal(t, len(j.OpenDue(start)), c.steps)
	}
}

// A damaged record that names a step or an ended occurrence twice counted it twice, and the job was never
// completed although all of its tasks were done.
func TestRepeatedProgressCountsOnce(t *testing.T) {
	spec := flow.Spec{Queue: "q", Occurrences: 3, FirstDue: start, Steps: []flow.StepSpec{step(1), step(1)}}
	done := &wire.StepProgress{Occurrence: 0, Step: 0, Done: []byte{1}}
	ended := &wire.StepProgress{Occurrence: 1, Step: -1}
	j, err := flow.Restore("a", spec.Record(), []*wire.ProgressRecord{{
		State: "pending", Steps: []*wire.StepProgress{done, done, ended, ended, ended},
	}}, 1)
	assert.NilError(t, err)
	assert.Equal(t, len(j.Resume(start)), 3)
	for _, id := range []fleet.TaskID{{Job: "a", Step: 1}, {Job: "a", Occurrence: 2}} {
		assert.Assert(t, !j.ApplyEnd(start, id, 1, fleet.Done, "").Final, "%+v", id)
	}
	assert.Assert(t, j.ApplyEnd(start, fleet.TaskID{Job: "a", Occurrence: 2, Step: 1}, 1, fleet.Done, "").Final)
}

// Numbers of a damaged row are limited; a job accepted under other limits is not lost.
func TestStoredNumbersAreLimited(t *testing.T) {
	const huge = math.MaxInt64
	j, err := flow.Restore("a", &wire.JobRecord{
		Queue: "q", PeriodMs: huge, FirstDueMs: huge, AcceptedMs: huge, Times: 100_000,
		Steps: []*wire.StepRecord{
			{Count: 4096, CpuMillis: huge, MemoryMb: huge, Accelerators: huge, EstimateMs: huge, TargetMs: huge},
			{Count: 1, After: []int64{0, 0, 0}, EstimateMs: huge, Label: string(make([]byte, 300))},
		},
	}, []*wire.ProgressRecord{{State: "pending"}}, 1)
	assert.NilError(t, err)
	assert.Equal(t, j.Spec.Steps[0].Need, place.Resources{CPUMillis: place.MaxCPUMillis, MemoryMB: place.MaxMemoryMB, Accelerators: place.MaxAccelerators})
	assert.Assert(t, j.Spec.CriticalPath() > 0 && j.Spec.CriticalPath() <= 2*flow.MaxEstimate, j.Spec.CriticalPath())
	assert.Assert(t, j.Spec.Period > 0 && j.Spec.Steps[0].LatencyTarget > 0)
	for occ := range j.Spec.Occurrences {
		assert.Assert(t, j.Due(occ).After(time.UnixMilli(0)), "occurrence %d is due at %s", occ, j.Due(occ))
	}
	last := j.Due(j.Spec.Occurrences - 1)
	assert.Assert(t, !last.Before(j.Due(0)))
}

// The progress of a job has to fit into a row of the store, 64 KiB of base64: the store refuses each commit
// with a larger one, and no other job would be stored either.
func TestProgressFitsIntoRow(t *testing.T) {
	const maxBytes = 48 << 10
	t.Run("ended occurrences", func(t *testing.T) {
		spec := flow.Spec{Queue: "q", Occurrences: 20_000, FirstDue: start, Steps: []flow.StepSpec{step(1)}}
		j := flow.NewJob("a", spec, 1)
		for k := range 19_000 {
			j.OpenDue(start)
			if k%7 != 0 || k > 1000 {
				j.ApplyEnd(start, fleet.TaskID{Job: "a", Occurrence: k}, 1, fleet.Done, "")
			}
		}
		expectRowsOf(t, j, maxBytes)
		restored, err := flow.Restore("a", spec.Record(), storedProgress(t, j), 1)
		assert.NilError(t, err)
		assert.DeepEqual(t, len(restored.Resume(start)), 1000)
		for k := range spec.Occurrences {
			restored.OpenDue(start)
			id := fleet.TaskID{Job: "a", Occurrence: k}
			ended := restored.Task(id) == nil
			assert.Equal(t, ended, k < 19_000 && (k%7 != 0 || k > 1000), "occurrence %d", k)
			final := !ended && restored.ApplyEnd(start, id, 1, fleet.Done, "").Final
			assert.Equal(t, final, k == spec.Occurrences-1, "occurrence %d", k)
		}
	})
	t.Run("open occurrences", func(t *testing.T) {
		spec := flow.Spec{Queue: "q", Occurrences: 20_000, FirstDue: start}
		for range 64 {
			spec.Steps = append(spec.Steps, step(2))
		}
		j := flow.NewJob("a", spec, 1)
		for range 3 {
			for _, s := range j.OpenDue(start) {
				j.ApplyEnd(start, fleet.TaskID{Job: "a", Occurrence: s.Occurrence, Step: s.Step}, 1, fleet.Done, "")
			}
		}
		expectRowsOf(t, j, maxBytes)
	})
	t.Run("checkpoints", func(t *testing.T) {
		spec := flow.Spec{Queue: "q", Steps: []flow.StepSpec{step(4096)}}
		spec.Steps[0].SavesCheckpoints = true
		j := flow.NewJob("a", spec, 2)
		j.OpenDue(start)
		for i := range 4095 {
			j.ApplyEnd(start, task(0, i), 1, fleet.Stopped, "00000bb87a21d94b")
		}
		j.ApplyEnd(start, task(0, 4095), 1, fleet.Failed, "00000bb87a21d94b")
		expectRowsOf(t, j, maxBytes)
		assert.Equal(t, j.Task(task(0, 0)).Checkpoint, "00000bb87a21d94b")
		restored, err := flow.Restore("a", spec.Record(), storedProgress(t, j), 2)
		assert.NilError(t, err)
		assert.DeepEqual(t, restored.Task(task(0, 4095)).FailedRuns, []int64{1})
		for i := range 4096 {
			assert.Equal(t, restored.Task(task(0, i)).Checkpoint, "00000bb87a21d94b")
		}
	})
}

// expectRowsOf checks that each part of the progress of a job has at most the given size.
func expectRowsOf(t *testing.T, j *flow.Job, maxBytes int) {
	t.Helper()
	for i, part := range j.Progress() {
		size := proto.Size(part)
		assert.Check(t, size <= maxBytes, "part %d has %d bytes", i, size)
	}
}

// Guards against a row that the store refuses: any job up to the accepted limits, with each task in its worst case, has
// to be stored in parts of bounded size and restored from them unchanged.
func TestAnyProgressIsStoredInBoundedParts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		spec := flow.Spec{Queue: "q"}
		if rapid.Bool().Draw(rt, "periodic") {
			spec.Occurrences, spec.FirstDue = rapid.SampledFrom([]int{1, 40, 3000}).Draw(rt, "occurrences"), time.UnixMilli(start.UnixMilli())
		}
		for range rapid.SampledFrom([]int{1, 2, 8}).Draw(rt, "steps") {
			counts := []int{1, 7, 300, 4096}
			if spec.Occurrences > 0 {
				counts = counts[:3]
			}
			s := step(rapid.SampledFrom(counts).Draw(rt, "count"))
			s.SavesCheckpoints, s.Gang = true, s.Count < 300 && rapid.IntRange(0, 4).Draw(rt, "gang") == 0
			spec.Steps = append(spec.Steps, s)
		}
		const largestRun = 1 << 53 // of those that are read from executors
		attempts := rapid.SampledFrom([]int{1, 4, 40, 1000}).Draw(rt, "attempts")
		failures := min(attempts-1, rapid.SampledFrom([]int{0, 3, 60}).Draw(rt, "failures"))
		j := flow.NewJob("0123456789abcdef", spec, attempts)
		share := rapid.SampledFrom([]int{1, 5, 97}).Draw(rt, "share")
		n := 0
		for _, s := range j.OpenDue(start) {
			for _, i := range j.UnfinishedTasks(s) {
				id := fleet.TaskID{Job: j.ID, Occurrence: s.Occurrence, Step: s.Step, Index: i}
				if n++; n%share != 0 || n > 1500*share {
					continue
				}
				for k := range failures {
					j.ApplyEnd(start, id, int64(largestRun-failures+k), fleet.Failed, strings.Repeat("c", 256))
				}
				for k := range 9 {
					j.RecordCrash(id, flow.Crash{Run: int64(largestRun + k), Executor: strings.Repeat("x", 200), AtStart: true, Alone: true, Confirmed: true, At: start})
				}
			}
		}
		stored := storedProgress(rt, j)
		for i, part := range stored {
			size := proto.Size(part)
			assert.Assert(rt, size <= flow.MaxProgressBytes, "part %d of %d has %d bytes", i, len(stored), size)
		}
		restored, err := flow.Restore(j.ID, spec.Record(), stored, attempts)
		assert.NilError(rt, err)
		restored.Resume(start)
		for k := range max(spec.Occurrences, 1) {
			for i := range spec.Steps {
				s := fleet.StepID{Job: j.ID, Occurrence: k, Step: i}
				assert.DeepEqual(rt, restored.UnfinishedTasks(s), j.UnfinishedTasks(s))
				for _, index := range j.UnfinishedTasks(s) {
					id := fleet.TaskID{Job: j.ID, Occurrence: k, Step: i, Index: index}
					got, want := restored.Task(id), j.Task(id)
					assert.Equal(rt, got.Checkpoint, want.Checkpoint)
					assert.Equal(rt, got.EarlierFailedRuns, want.EarlierFailedRuns)
					assert.Assert(rt, slices.Equal(got.FailedRuns, want.FailedRuns))
					assert.Equal(rt, len(got.Crashes), len(want.Crashes))
				}
			}
		}
	})
}

// A task fails for good after all of its attempts, however many these are, and a run that is listed again counts once.
func TestManyFailedRunsCountOnce(t *testing.T) {
	const attempts = 1000
	j := flow.NewJob("a", flow.Spec{Queue: "q", Steps: []flow.StepSpec{step(1)}}, attempts)
	j.OpenDue(start)
	for run := range int64(attempts - 1) {
		for _, number := range []int64{run + 1, max(run-20, 1), run + 1} {
			assert.Assert(t, !j.ApplyEnd(start, task(0, 0), number, fleet.Failed, "").Final, "run %d", run)
		}
	}
	assert.Assert(t, j.ApplyEnd(start, task(0, 0), attempts, fleet.Failed, "").Final)
}
