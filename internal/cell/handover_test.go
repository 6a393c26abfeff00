package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// lastingTaskOn starts a long-running task and returns the executor that it runs on.
func (sim *simulation) lastingTaskOn(o *owner) *fakeExecutor {
	sim.t.Helper()
	spec := singleStep(testQueue, 1, time.Second)
	spec.Steps[0].LongRunning = true
	sim.submit(o, "a", spec)
	sim.advance(2 * time.Second)
	return sim.executorWithRuns()
}

// Guards against long-running tasks that wait, from each hand-over anew, for leases on executors that were lost long
// before (review/9).
func TestHandOversDoNotProlongTheWaitForLostExecutors(t *testing.T) {
	for _, handOvers := range []int{1, 3} {
		sim, o := newIdleCell(t, 4)
		x := sim.lastingTaskOn(o)
		lostAt := sim.now
		x.down = true
		x.loseRuns(sim)
		for range handOvers {
			sim.advance(5500 * time.Millisecond / time.Duration(handOvers))
			o.core.RemoveExecutor(sim.now, x.ID)
			o = sim.handOver(o)
		}
		sim.advance(3 * time.Second)
		runs := 0
		for _, other := range sim.sortedExecutors() {
			runs += len(other.runs)
		}
		assert.Equal(t, runs, 1, "%d hand-overs: the task does not run %s after its executor was lost", handOvers, sim.now.Sub(lostAt))
	}
}

// Guards against a task that runs twice: its executor is cut off and runs on under the lease of an owner that hands the
// cell over meanwhile.
func TestNewOwnerAwaitsLeasesThatItIsToldOf(t *testing.T) {
	for _, before := range []time.Duration{0, 100 * time.Millisecond, time.Second, 4 * time.Second} {
		sim, o := newIdleCell(t, 4)
		x := sim.lastingTaskOn(o)
		x.partitioned = true
		sim.advance(before)
		o = sim.handOver(o)
		sim.advance(300 * time.Millisecond)
		o = sim.handOver(o)
		sim.advance(12 * time.Second)
		sim.expectNoViolations()
		assert.Equal(t, o.core.Stats.Starts, int64(1), "the task was not started again")
	}
}
