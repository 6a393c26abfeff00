package cell_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/flow"
)

// replaceSilently ends the executor. Another one has its address a moment later, and the instance list names it
// after some time.
func (x *fakeExecutor) replaceSilently(sim *simulation, downTime, listedAfter time.Duration) {
	x.down = true
	x.loseRuns(sim)
	sim.schedule(downTime, func() {
		x.replaced = true
		next := sim.addExecutor("n" + x.ID)
		next.Rack, next.Domain, next.Capacity, next.Labels = x.Rack, x.Domain, x.Capacity, x.Labels
		sim.schedule(listedAfter, func() {
			for _, o := range sim.owners {
				if !o.dead && !next.down && !next.replaced {
					o.addExecutor(next)
				}
			}
		})
		sim.schedule(3*beatInterval, func() {
			for _, o := range sim.owners {
				if !o.dead {
					o.core.RemoveExecutor(sim.now, x.ID)
				}
			}
		})
	})
}

// Guards against jobs that are shown as failed although none of their tasks has failed: the owner went on starting
// tasks on executors whose address another one had taken, and counted each rejected start as a crash by its task
// (review/1).
func TestReplacedExecutorsFailNoJob(t *testing.T) {
	t.Parallel()
	const executors = 48
	for _, downTime := range []time.Duration{50 * time.Millisecond, 450 * time.Millisecond, 1200 * time.Millisecond} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("down for %s, seed %d", downTime, seed), func(t *testing.T) {
				sim := newLargeFleet(t, seed, executors)
				o := sim.takeOver()
				sim.advance(time.Second)
				for _, load := range ordinaryLoad(executors) {
					sim.submitLoad(o, load, 30*time.Second)
				}
				for round := range 20 {
					sim.advance(1500 * time.Millisecond)
					live := sim.sortedExecutors()
					for i, x := range live {
						if (i+round)%7 == 0 && !x.down && !x.replaced {
							x.replaceSilently(sim, downTime, time.Second)
						}
					}
				}
				sim.advance(40 * time.Second)
				sim.expectNoViolations()
				assert.Equal(t, len(sim.givenUp), 0, "%v", sim.givenUp)
				for _, x := range sim.sortedExecutors() {
					sim.expectFewStartsOnReplaced(x)
				}
			})
		}
	}
}

// expectFewStartsOnReplaced checks that an owner sends an executor no starts once another one has responded at its
// address: only those that were on their way then.
func (sim *simulation) expectFewStartsOnReplaced(x *fakeExecutor) {
	sim.t.Helper()
	assert.Check(sim.t, sim.misdirectedStarts[x.ID] <= maxStartsOnTheirWay, "%s: %d starts", x.ID, sim.misdirectedStarts[x.ID])
}

// maxStartsOnTheirWay limits the starts that reach an executor within one way of a message there and back.
const maxStartsOnTheirWay = 8

// No response that proves that a run was not started may count as a crash by its task, even if the executor crashes
// at that moment, and the task must start elsewhere.
func TestRejectedStartsAreNoCrashes(t *testing.T) {
	for status := fleet.Executed; status <= fleet.NotSent; status++ {
		if status.ProofOfStart() != fleet.HasNotRun || status == fleet.Fenced {
			continue
		}
		for _, keepsID := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, keeps ID %t", status, keepsID), func(t *testing.T) {
				sim, o := newCrashCell(t, 1, 24, keepsID)
				sim.rejections, sim.rejection = 12, status
				sim.submit(o, "job", singleStep(testQueue, 1, 600*time.Millisecond))
				sim.submit(o, "beside", singleStep(testQueue, 4, 600*time.Millisecond))
				sim.advance(60 * time.Second)
				assert.Equal(t, sim.rejections, 0)
				assert.Equal(t, len(sim.givenUp), 0)
				assert.Equal(t, o.core.State("job").State, flow.Completed)
				assert.Equal(t, o.core.State("beside").State, flow.Completed)
				sim.expectNoViolations()
			})
		}
	}
}

// Starts that were never executed must not be blamed either if the response arrives after the owner has noticed
// that the executor is gone.
func TestStartInFlightIsNotBlamedForCrash(t *testing.T) {
	sim, o := newCrashCell(t, 1, 24, false)
	sim.submit(o, "job", singleStep(testQueue, 1, 600*time.Millisecond))
	for range 8 {
		for sent := len(sim.sentCommands); len(sim.sentCommands) == sent; {
			sim.advance(time.Millisecond)
			assert.Assert(t, o.core.State("job").State != flow.Failed)
			if o.core.State("job").State == flow.Completed {
				break
			}
		}
		cmd := sim.sentCommands[len(sim.sentCommands)-1]
		if x := sim.execs[cmd.Executor.ID]; cmd.Start != nil && !x.down {
			x.replaceSilently(sim, 0, time.Second)
		}
	}
	sim.advance(30 * time.Second)
	assert.Equal(t, o.core.State("job").State, flow.Completed)
	sim.expectNoViolations()
}

// Guards against jobs that wait for the leases of an earlier owner on an executor whose address another one has taken:
// nothing runs there any more (replaced executors in the fault soak, seed 7007).
func TestNewOwnerDoesNotWaitForReplacedExecutor(t *testing.T) {
	sim, o := newCrashCell(t, 1, 4, false)
	sim.submit(o, "job", singleStep(testQueue, 8, 1500*time.Millisecond))
	sim.advance(200 * time.Millisecond)
	for _, x := range sim.sortedExecutors()[:2] {
		x.replaceSilently(sim, 0, time.Second)
	}
	o.dead = true
	sim.advance(10 * time.Millisecond)
	o = sim.takeOver()
	for _, x := range sim.sortedExecutors() {
		if x.replaced {
			o.addExecutor(x) // its entry is still there
		}
	}
	sim.advance(4 * time.Second)
	assert.Equal(t, o.core.State("job").State, flow.Completed)
	sim.expectNoViolations()
}
