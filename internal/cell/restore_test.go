package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/flow"
	"github.com/daisyrack/daisyrack/pkg/place"
)

// takeOverBeforeConfig lets an owner take over whose configuration is older than the queues, and
// returns the configuration that it does not have yet.
func takeOverBeforeConfig(sim *simulation) (*owner, *fleet.Config) {
	for _, o := range sim.owners {
		o.dead = true
	}
	newer := sim.config
	sim.config = &fleet.Config{}
	return sim.takeOver(), newer
}

// Guards against a job that is shown as failed without cause: an owner that does not know the queue of a
// restored job yet must not take its first failed run for its last attempt.
func TestJobOfUnknownQueueDoesNotFail(t *testing.T) {
	for _, maxAttempts := range []int{1, 3} {
		sim := newSimulation(t, 1, 4)
		sim.failureShare = 0
		sim.config.Queues[0].MaxAttempts = maxAttempts
		o := sim.takeOver()
		sim.advance(time.Second)
		for _, x := range sim.execs {
			x.failAll = true
		}
		sim.submit(o, "job", singleStep(testQueue, 1, 4*time.Second))
		sim.advance(time.Second)
		assert.Equal(t, o.core.State("job").State, flow.Running)
		o, newer := takeOverBeforeConfig(sim)
		sim.advance(10 * time.Second)
		assert.Assert(t, !o.core.State("job").State.Final(), "%d attempts", maxAttempts)
		for _, x := range sim.execs {
			x.failAll = false
		}
		o.core.SetConfig(sim.now, newer)
		sim.advance(30 * time.Second)
		want := flow.Completed
		if maxAttempts == 1 {
			want = flow.Failed
		}
		assert.Equal(t, o.core.State("job").State, want)
	}
}

// Guards against a job that never starts: a step that waits for executors of an earlier owner when its
// queue becomes known must learn the queue's service as well.
func TestBlockedStepLearnsItsQueue(t *testing.T) {
	sim := newSimulation(t, 1, 4)
	sim.failureShare = 0
	o := sim.takeOver()
	sim.advance(time.Second)
	sim.submit(o, "job", singleStep(testQueue, 4, 20*time.Second))
	sim.advance(time.Second)
	assert.Equal(t, o.core.State("job").State, flow.Running)
	for _, x := range sim.execs {
		x.partitioned = true
	}
	o, newer := takeOverBeforeConfig(sim)
	sim.advance(time.Second)
	o.core.SetConfig(sim.now, newer)
	sim.advance(15 * time.Second)
	for _, x := range sim.execs {
		x.partitioned = false
	}
	sim.advance(60 * time.Second)
	assert.Equal(t, o.core.State("job").State, flow.Completed)
}

// Guards against jobs that are never done: the owner changes after their queue was removed, and the next one knows
// neither their service nor whether their tasks need tickets (review/3).
func TestJobOutlivesItsQueue(t *testing.T) {
	tickets := &fleet.Advice{BaseLatency: 20 * time.Millisecond, LatencyPerExecutor: time.Millisecond, TicketTTL: 2 * time.Second}
	for lags, advice := range map[bool]*fleet.Advice{true: nil, false: tickets} {
		sim := newSimulation(t, 1, 4)
		sim.failureShare, sim.allowedShare = 0, 1
		sim.config.Queues[1].Advice = advice
		sim.advice = map[string]*fleet.Advice{slowQueue: advice}
		o := sim.takeOver()
		sim.advance(time.Second)
		spec := singleStep(slowQueue, 2, 2*time.Second)
		spec.Steps = append(spec.Steps, flow.StepSpec{Count: 2, Need: place.Resources{CPUMillis: 1000}, DependsOn: []int{0}, Estimate: time.Second})
		sim.submit(o, "job", spec)
		sim.submit(o, "failing", singleStep(slowQueue, 1, 2*time.Second))
		sim.hopeless[fleet.TaskID{Job: "failing"}] = true
		sim.advance(500 * time.Millisecond)
		removed := *sim.config
		removed.Version, removed.Queues = 2, removed.Queues[:1]
		sim.config = &removed
		o.core.SetConfig(sim.now, sim.config)
		o.dead = true
		if lags {
			o, _ = takeOverBeforeConfig(sim)
			sim.advance(time.Second)
			o.core.SetConfig(sim.now, &removed)
		} else {
			o = sim.takeOver()
		}
		sim.advance(40 * time.Second)
		assert.Equal(t, o.core.State("job").State, flow.Completed, "advice %v", advice)
		assert.Equal(t, o.core.State("failing").State, flow.Failed, "advice %v", advice)
		sim.expectNoViolations()
	}
}

// Guards against a number of waiting jobs that is too low: an executor lists the end of a run of a job that had ended before
// this owner took over.
func TestEndsOfEndedJobsLeaveTheNumberOfWaitingJobs(t *testing.T) {
	sim, o := newIdleCell(t, 1)
	sim.submit(o, "ended", singleStep(testQueue, 2, 300*time.Millisecond))
	sim.advance(2 * time.Second)
	assert.Equal(t, o.core.State("ended").State, flow.Completed)
	x := sim.execs["x0"]
	x.lastSequence++
	x.ends = append(x.ends, fleet.End{Sequence: x.lastSequence, Task: fleet.TaskID{Job: "ended"}, Number: 1, Kind: fleet.Done})
	o.dead = true
	o = sim.takeOver()
	sim.advance(time.Second)
	assert.Equal(t, o.core.PendingJobs()[testQueue], int64(0))
}
