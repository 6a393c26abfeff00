package cell_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/cell"
	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/flow"
)

// A retried start that is no longer wanted is not sent. The run that the first attempt started
// stays on record until it is stopped.
func TestDiscardedStartRetryStopsRun(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	o := sim.takeOver()
	sim.advance(time.Second)
	sim.submit(o, "a", singleStep(testQueue, 1, time.Second))
	task := fleet.TaskID{Job: "a"}
	for range 100 {
		if len(sim.history[task]) > 0 {
			break
		}
		sim.advance(time.Millisecond)
	}
	o.dead = true // from here on the test responds instead of the simulation
	c := o.core
	c.TakeCommands()
	number := sim.history[task][0].number
	start := cell.Command{}
	for _, sent := range sim.sentCommands {
		if sent.Start != nil && sent.Start.Task == task {
			start = sent
		}
	}
	c.ApplyCommandResponse(sim.now, start, fleet.Response{Status: fleet.NoResponse})
	retries := c.TakeCommands()
	assert.Equal(t, len(retries), 1)
	c.ApplyPollResponse(sim.now, sim.now, "x0", fleet.Response{
		Status: fleet.Executed, Runs: []fleet.Run{{Task: task, Number: number, Percent: 10}},
	})
	c.Cancel(sim.now, "a", func(cell.Reply) {})
	assert.Assert(t, c.DiscardUnwanted(sim.now, retries[0]))
	stops := c.TakeCommands()
	assert.Equal(t, len(stops), 1)
	assert.Assert(t, stops[0].Stop != nil && stops[0].Stop.Number == number)
}

// An unresponsive executor may have restarted under its ID. Acknowledging ended runs of the former
// incarnation must not acknowledge those of the new one.
func TestNoAckToUnresponsiveExecutor(t *testing.T) {
	sim, o := newIdleCell(t, 1)
	sim.submit(o, "done", singleStep(testQueue, 3, 200*time.Millisecond))
	sim.advance(2 * time.Second)
	_, poll, _ := o.core.NextPoll(sim.now, "x0")
	assert.Equal(t, poll.AckedSequence, int64(3))
	sim.execs["x0"].down = true
	sim.advance(2 * time.Second)
	_, poll, _ = o.core.NextPoll(sim.now, "x0")
	assert.Equal(t, poll.AckedSequence, int64(0))
}

// Tasks without progress on an executor that responds are restarted on another one.
func TestStalledTasksRestartElsewhere(t *testing.T) {
	sim, o := newIdleCell(t, 2)
	sim.execs["x0"].hangs = true
	sim.submit(o, "job", singleStep(testQueue, 6, 500*time.Millisecond))
	sim.advance(8 * time.Second)
	sim.expectNoViolations()
	assert.Equal(t, o.core.State("job").State, flow.Completed)
	assert.Assert(t, o.core.Stats.StalledRuns > 0)
}

// A job that ends while the store is unavailable must not be reported as completed. The executor
// can lose its ended runs before a later owner reads them, and the tasks would run again although
// completion was reported.
func TestCompletionIsNotReportedBeforeStored(t *testing.T) {
	sim, o := newIdleCell(t, 2)
	sim.submit(o, "job", singleStep(testQueue, 4, 500*time.Millisecond))
	sim.advance(200 * time.Millisecond)
	sim.storeDown = true
	sim.advance(2 * time.Second)
	assert.Equal(t, o.core.State("job").State, flow.Running)
	sim.storeDown = false
	next := sim.takeOver()
	sim.advance(time.Second)
	assert.Equal(t, next.core.State("job").State, flow.Completed)
	for task, spans := range sim.history {
		assert.Equal(t, len(spans), 1, "%v", task)
	}
}

// A restarted executor may have less capacity than its former entry says. It must get no tasks
// before its new entry is known.
func TestRestartedExecutorIsNotUsedBeforeItsEntry(t *testing.T) {
	sim, o := newIdleCell(t, 1)
	x := sim.execs["x0"]
	sim.listStalled = true
	x.restart(sim)
	x.Capacity.CPUMillis = 2000
	sim.advance(time.Second)
	sim.submit(o, "job", singleStep(testQueue, 4, 500*time.Millisecond))
	sim.advance(time.Second)
	assert.Equal(t, o.core.Stats.Starts, int64(0))
	sim.listStalled = false
	o.addExecutor(x)
	sim.advance(5 * time.Second)
	sim.expectNoViolations()
	assert.Equal(t, o.core.State("job").State, flow.Completed)
}

// The response to a start can get lost, and its retry be rejected after the run was listed.
func TestRejectedRetryOfListedStartDoesNotStartTaskTwice(t *testing.T) {
	for seed := range uint64(10) {
		sim := newSimulation(t, seed, 3)
		sim.failureShare = 0
		o := sim.takeOver()
		sim.advance(time.Second)
		for _, x := range sim.sortedExecutors() {
			x.rejectsRetries = true
		}
		sim.submit(o, "short", singleStep(testQueue, 6, 150*time.Millisecond))
		sim.submit(o, "long", singleStep(testQueue, 6, 2*time.Second))
		sim.advance(15 * time.Second)
		sim.expectNoViolations()
		for _, id := range []string{"short", "long"} {
			assert.Equal(t, o.core.State(id).State, flow.Completed)
		}
	}
}

// newIdleCell returns a cell whose owner has claimed all executors and in which no run fails.
func newIdleCell(t *testing.T, count int) (*simulation, *owner) {
	t.Helper()
	sim := newSimulation(t, 1, count)
	sim.failureShare = 0
	o := sim.takeOver()
	sim.advance(time.Second)
	return sim, o
}

// The tasks of a step that is slower on several racks start on the rack with the most free
// capacity.
func TestSameRackTasksStayTogether(t *testing.T) {
	sim := newSimulation(t, 1, 0)
	sim.failureShare = 0
	for i, rack := range []string{"r1", "r2", "r1", "r2", "r2"} {
		x := sim.addExecutor(fmt.Sprintf("x%d", i))
		x.Rack, x.Domain = rack, "a"
	}
	o := sim.takeOver()
	sim.advance(time.Second)
	spec := singleStep(testQueue, 9, time.Second)
	spec.Steps[0].Gang, spec.Steps[0].SameRack, spec.Steps[0].MaxPerExecutor = true, true, 3
	sim.submit(o, "job", spec)
	sim.advance(300 * time.Millisecond)
	racks := make(map[string]int)
	for _, spans := range sim.history {
		racks[sim.execs[spans[0].executor].Rack]++
	}
	assert.DeepEqual(t, racks, map[string]int{"r2": 9})
}

// An executor whose wall clock was set back restarts with an earlier start time. It must still be
// recognized as a new incarnation.
func TestRestartWithEarlierTimestampIsDetected(t *testing.T) {
	sim, o := newIdleCell(t, 2)
	sim.submit(o, "job", singleStep(testQueue, 8, 2*time.Second))
	sim.advance(500 * time.Millisecond)
	x := sim.execs["x0"]
	x.restart(sim)
	x.incarnation -= time.Hour.Milliseconds()
	sim.advance(100 * time.Millisecond)
	o.addExecutor(x)
	sim.advance(10 * time.Second)
	sim.expectNoViolations()
	assert.Equal(t, o.core.State("job").State, flow.Completed)
}

// Guards against an owner that is busy with one executor: no connection to it can be opened, and a start that may have
// run is repeated at once each time.
func TestStartIsRepeatedOnceItsExecutorResponds(t *testing.T) {
	for _, listed := range []bool{true, false} {
		sim, o, x, start := startUnanswered(t)
		o.core.ApplyCommandResponse(sim.now, start, fleet.Response{Status: fleet.NoResponse})
		for _, retry := range o.core.TakeCommands() {
			o.core.ApplyCommandResponse(sim.now, retry, fleet.Response{Status: fleet.NotSent})
		}
		assert.Equal(t, len(o.core.TakeCommands()), 0)
		resp := x.listRuns(sim)
		resp.Status = fleet.Executed
		if listed {
			resp.Runs = []fleet.Run{{Task: start.Start.Task, Number: start.Start.Number}}
		}
		o.core.ApplyPollResponse(sim.now, sim.now, x.ID, resp)
		retries := o.core.TakeCommands()
		assert.Equal(t, len(retries), 1)
		assert.Equal(t, retries[0].Start.Number, start.Start.Number)
		assert.Equal(t, o.core.DiscardUnwanted(sim.now, retries[0]), listed)
	}
}
