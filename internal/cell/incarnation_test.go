package cell_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/cell"
	"github.com/daisyrack/daisyrack/internal/fleet"
)

// startUnanswered submits a job of one long task to an owner of one executor and returns the start and its executor.
// From then on the test responds instead of the simulation.
func startUnanswered(t *testing.T) (*simulation, *owner, *fakeExecutor, cell.Command) {
	t.Helper()
	sim, o := newIdleCell(t, 1)
	sim.submit(o, "a", singleStep(testQueue, 1, 10*time.Second))
	for range 100 {
		if len(sim.sentCommands) > 0 {
			break
		}
		sim.advance(time.Millisecond)
	}
	o.dead = true
	o.core.TakeCommands()
	return sim, o, sim.execs["x0"], sim.sentCommands[0]
}

// restartSeen restarts the executor and gives the owner the list of its new incarnation.
func (sim *simulation) restartSeen(o *owner, x *fakeExecutor) {
	sim.advance(50 * time.Millisecond)
	x.restart(sim)
	resp := x.listRuns(sim)
	resp.Status = fleet.Executed
	o.core.ApplyPollResponse(sim.now, sim.now, x.ID, resp)
}

// Guards against a task that runs twice: the lease end of a start is a time on the clock of one incarnation.
func TestStartOfFormerIncarnationIsNotRepeated(t *testing.T) {
	for _, status := range []fleet.Status{fleet.NoResponse, fleet.Restarted, fleet.NotSent} {
		sim, o, x, start := startUnanswered(t)
		sim.restartSeen(o, x)
		o.core.ApplyCommandResponse(sim.now, start, fleet.Response{Status: status})
		for _, cmd := range o.core.TakeCommands() {
			assert.Assert(t, cmd.Start == nil || cmd.Start.Number != start.Start.Number, "%s", status)
		}
	}
}

// A start that waits in the queue of its executor belongs to the incarnation for which it was decided.
func TestQueuedStartOfFormerIncarnationIsDiscarded(t *testing.T) {
	sim, o, x, start := startUnanswered(t)
	assert.Assert(t, !o.core.DiscardUnwanted(sim.now, start))
	sim.restartSeen(o, x)
	assert.Assert(t, o.core.DiscardUnwanted(sim.now, start))
}

// Lease ends and acknowledgments name the incarnation that they are meant for, also while responses do not arrive.
func TestPollsWithLeaseNameTheIncarnation(t *testing.T) {
	sim, o, x, _ := startUnanswered(t)
	for _, status := range []fleet.Status{fleet.Executed, fleet.Undelivered} {
		resp := x.listRuns(sim)
		resp.Status = status
		o.core.ApplyPollResponse(sim.now, sim.now, x.ID, resp)
		_, poll, _ := o.core.NextPoll(sim.now, x.ID)
		assert.Assert(t, poll.LeaseEnd > 0, "%s", status)
		assert.Equal(t, poll.Incarnation, x.incarnation, "%s", status)
	}
}

// executorWithRuns returns the executor that runs tasks, of which there is one.
func (sim *simulation) executorWithRuns() *fakeExecutor {
	all := sim.sortedExecutors()
	return all[slices.IndexFunc(all, func(x *fakeExecutor) bool { return len(x.runs) > 0 })]
}

// Guards against a task that runs twice: a new owner gives a draining executor a shorter lease than the former owner,
// which stays in force.
func TestNewOwnerAwaitsLeaseOfFormerOwnerOnDrainingExecutor(t *testing.T) {
	sim, o := newIdleCell(t, 4)
	sim.failureShare = 0
	sim.submit(o, "a", singleStep(testQueue, 1, 30*time.Second))
	sim.advance(2 * time.Second)
	x := sim.executorWithRuns()
	x.Draining, x.MinRemaining = true, 20*time.Second
	o.dead = true
	next := sim.takeOver()
	sim.advance(300 * time.Millisecond)
	x.partitioned = true
	sim.advance(12 * time.Second)
	sim.expectNoViolations()
	assert.Equal(t, next.core.Stats.Starts, int64(1), "the task was not started again")
}

// Guards against a task that runs twice: an owner that is cut off from the store, and from an executor, gives up the runs
// there while a successor has claimed the executor and extends its lease.
func TestCutOffOwnerDoesNotRestartRunsOfExecutorOfSuccessor(t *testing.T) {
	for name, draining := range map[string]bool{"draining": true, "silent before": false} {
		t.Run(name, func(t *testing.T) {
			sim, o := newIdleCell(t, 4)
			sim.failureShare = 0
			sim.submit(o, "a", singleStep(testQueue, 1, 30*time.Second))
			sim.advance(2 * time.Second)
			x := sim.executorWithRuns()
			o.unreachable[x.ID] = !draining
			if draining {
				x.Draining, x.MinRemaining = true, 20*time.Second
				sim.relist(x)
			}
			sim.advance(4 * time.Second)
			o.storeUnreachable = true
			next := sim.takeOver()
			for _, other := range sim.sortedExecutors() {
				o.unreachable[other.ID], next.unreachable[other.ID] = other == x, other != x
			}
			sim.advance(6 * time.Second)
			sim.expectNoViolations()
			assert.Assert(t, len(x.runs) > 0)
		})
	}
}
