package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/cell"
	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/flow"
	"github.com/daisyrack/daisyrack/pkg/place"
)

func TestJobRunsToItsEnd(t *testing.T) {
	w := newWorld(t, 1, 4)
	o := w.takeOver()
	w.run(time.Second)
	reply := w.submit(o, "a", oneStep(testQueue, 6, 400*time.Millisecond))
	w.run(100 * time.Millisecond)
	assert.Equal(t, reply.Outcome, cell.Accepted)
	assert.Equal(t, o.core.State("a").State, flow.Running)
	w.run(3 * time.Second)
	assert.Equal(t, o.core.State("a").State, flow.Completed)
	w.expectClean()
}

// An executor that leaves for good must not keep its tasks because calls to it go on.
func TestTasksOfAGoneExecutorStartElsewhere(t *testing.T) {
	w := newWorld(t, 1, 2)
	o := w.takeOver()
	w.run(time.Second)
	w.submit(o, "a", oneStep(slowQueue, 6, 3*time.Second))
	w.run(500 * time.Millisecond)
	gone := w.execs["x0"]
	assert.Assert(t, len(gone.runs) > 0)
	for _, r := range gone.runs {
		r.span.end, r.span.open, r.span.kind = w.now, false, fleet.Lost
	}
	gone.runs = map[string]*fakeRun{}
	gone.down = true
	o.core.RemoveExecutor(w.now, "x0")
	w.run(lease + 7*time.Second)
	assert.Equal(t, o.core.State("a").State, flow.Completed)
	w.expectClean()
}

// The ends of a step are listed by other executors than the runs of the next step; a new owner
// may read the runs first.
func TestNewOwnerKeepsRunsOfLaterSteps(t *testing.T) {
	w := newWorld(t, 1, 6)
	o := w.takeOver()
	w.run(time.Second)
	spec := oneStep(testQueue, 12, 200*time.Millisecond)
	spec.Steps = append(spec.Steps, flow.StepSpec{
		Count: 12, Need: place.Resources{CPUMillis: 2000}, Estimate: 2 * time.Second, DependsOn: []int{0},
	})
	w.submit(o, "a", spec)
	for range 400 {
		w.run(5 * time.Millisecond)
		if len(w.history[fleet.TaskID{Job: "a", Step: 1}]) > 0 {
			break
		}
	}
	o.dead = true
	next := w.takeOver()
	w.run(8 * time.Second)
	assert.Equal(t, next.core.State("a").State, flow.Completed)
	for task, spans := range w.history {
		for _, sp := range spans {
			assert.Assert(t, sp.kind != fleet.Stopped, "run %d of %v was stopped", sp.number, task)
		}
	}
	w.expectClean()
}

// An end that is stored but that the executor has not forgotten is listed to the next owner.
func TestFailedRunCountsOnce(t *testing.T) {
	spec := oneStep(testQueue, 1, time.Second)
	j := flow.NewJob("a", spec, 2)
	now := time.Unix(0, 0)
	j.OpenDue(now)
	task := fleet.TaskID{Job: "a"}
	assert.Assert(t, j.ApplyEnd(now, task, 1, fleet.Failed, "").Restart)
	assert.Assert(t, !j.ApplyEnd(now, task, 1, fleet.Failed, "").Final)
	assert.Equal(t, j.State, flow.Pending)
	assert.Assert(t, j.ApplyEnd(now, task, 2, fleet.Failed, "").Final)
	assert.Equal(t, j.State, flow.Failed)
}

func TestStoreAwayRejectsAtOnce(t *testing.T) {
	w := newWorld(t, 1, 2)
	o := w.takeOver()
	w.run(time.Second)
	w.storeDown = true
	w.run(3 * time.Second)
	reply := w.submit(o, "a", oneStep(testQueue, 1, time.Second))
	assert.Equal(t, reply.Outcome, cell.Rejected)
	assert.Assert(t, reply.RetryAfter > 0)
	w.storeDown = false
	w.run(3 * time.Second)
	assert.Equal(t, o.core.State("a").Outcome, cell.Absent)
	assert.Equal(t, len(w.history), 0)
}

// What a store refuses certainly did not happen, so the caller is told at once.
func TestRefusedCommitRejectsItsJobs(t *testing.T) {
	w := newWorld(t, 1, 2)
	o := w.takeOver()
	w.run(time.Second)
	running := w.submit(o, "a", oneStep(testQueue, 2, 300*time.Millisecond))
	w.run(100 * time.Millisecond)
	assert.Equal(t, running.Outcome, cell.Accepted)
	w.storeRefuses = true
	reply := w.submit(o, "b", oneStep(testQueue, 1, time.Second))
	w.run(100 * time.Millisecond)
	assert.Equal(t, reply.Outcome, cell.Rejected)
	w.run(time.Second)
	assert.Equal(t, o.core.State("a").State, flow.Running, "a final state is shown before it is stored")
	w.storeRefuses = false
	w.run(time.Second)
	assert.Equal(t, o.core.State("a").State, flow.Completed)
	again := w.submit(o, "b", oneStep(testQueue, 1, 100*time.Millisecond))
	w.run(time.Second)
	assert.Equal(t, again.Outcome, cell.Accepted)
	assert.Equal(t, o.core.State("b").State, flow.Completed)
	w.expectClean()
}

// Where copies are allowed a silent executor costs no more than its silence is noticed late.
func TestCopiesOfTasksOnASilentExecutor(t *testing.T) {
	w := newWorld(t, 1, 4)
	o := w.takeOver()
	w.run(time.Second)
	spec := oneStep(testQueue, 8, 400*time.Millisecond)
	spec.Steps[0].AllowConcurrentRuns = true
	w.submit(o, "a", spec)
	w.run(100 * time.Millisecond)
	w.execs["x0"].cut = true
	w.run(3 * time.Second)
	assert.Equal(t, o.core.State("a").State, flow.Completed)
	w.expectClean()
}
