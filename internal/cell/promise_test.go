package cell_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/cell"
	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/flow"
	"github.com/daisyrack/daisyrack/pkg/place"
)

// standingQueue is the queue of long-running jobs.
const standingQueue = "standing"

// newStandingFleet returns a large fleet with a queue for long-running jobs, whose calls to the policy
// service are slow.
func newStandingFleet(t testing.TB, seed uint64, executors int) *simulation {
	sim := newLargeFleet(t, seed, executors)
	sim.allowedShare = 0.35
	sim.config.Queues = append(sim.config.Queues, fleet.Queue{
		Name: standingQueue, Service: testService, Priority: 1, MaxAttempts: 2, Stretch: 2, Slack: 2500 * time.Millisecond,
		Advice: &fleet.Advice{BaseLatency: 585 * time.Millisecond, LatencyPerExecutor: 8450 * time.Microsecond, TicketTTL: 2 * time.Second},
	})
	return sim
}

func standingJob(count int, need place.Resources) flow.Spec {
	return flow.Spec{Queue: standingQueue, Text: "text", Steps: []flow.StepSpec{{
		Count: count, Need: need, Estimate: 6 * time.Second, LongRunning: true,
	}}}
}

// askForAll makes all calls to the policy service that the owner wants to make, and returns their number.
func (o *owner) askForAll() int {
	n := 0
	for o.core.NextAdviceRequest(o.env.now, false) != nil {
		n++
	}
	return n
}

// Calls in flight for steps later in the scheduling order must not keep a step from asking.
func TestCallsOfLaterStepsKeepNoStepFromAsking(t *testing.T) {
	sim := newStandingFleet(t, 1, 20)
	sim.advisers = 0
	o := sim.takeOver()
	sim.advance(time.Second)
	for i := range 30 {
		sim.submit(o, fmt.Sprintf("slow%d", i), singleStep(slowQueue, 40, 5*time.Second))
	}
	sim.advance(100 * time.Millisecond)
	assert.Assert(t, o.askForAll() > 0)
	sim.submit(o, "standing", standingJob(1, place.Resources{CPUMillis: 4500, MemoryMB: 16000}))
	sim.advance(100 * time.Millisecond)
	req := o.core.NextAdviceRequest(sim.now, false)
	assert.Assert(t, req != nil)
	assert.Equal(t, req.Step.Job, "standing")
	assert.Assert(t, len(req.Executors) >= 7, "%d executors are asked for", len(req.Executors))
}

// A long-running step must ask for executors that become free while a call for it is in flight: on a full
// fleet the tasks of a wide step waited for one call after the other.
func TestLongRunningStepAsksWhileItsCallIsInFlight(t *testing.T) {
	sim := newStandingFleet(t, 1, 4)
	sim.advisers = 0
	o := sim.takeOver()
	sim.advance(time.Second)
	sim.submit(o, "standing", standingJob(12, place.Resources{CPUMillis: 7600, MemoryMB: 16000}))
	sim.advance(100 * time.Millisecond)
	first := o.core.NextAdviceRequest(sim.now, false)
	assert.Assert(t, first != nil && len(first.Executors) == 4)
	for i := range 4 {
		x := sim.addExecutor(fmt.Sprintf("y%d", i))
		x.Capacity = place.Resources{CPUMillis: 16000, MemoryMB: 65536}
		o.addExecutor(x)
	}
	sim.advance(200 * time.Millisecond)
	second := o.core.NextAdviceRequest(sim.now, false)
	assert.Assert(t, second != nil)
	slices.Sort(second.Executors)
	assert.DeepEqual(t, second.Executors, []string{"y0", "y1", "y2", "y3"})
}

// Calls in flight must not promise more room than their steps have tasks for.
func TestCallsPromiseNoMoreThanTheirStepsNeed(t *testing.T) {
	sim := newStandingFleet(t, 1, 20)
	sim.advisers = 0
	o := sim.takeOver()
	sim.advance(time.Second)
	for i := range 20 {
		sim.submit(o, fmt.Sprintf("narrow%02d", i), singleStep(slowQueue, 1, 5*time.Second))
	}
	sim.advance(100 * time.Millisecond)
	assert.Assert(t, o.askForAll() > 0)
	sim.submit(o, "wide", singleStep(slowQueue, 60, 5*time.Second))
	sim.advance(100 * time.Millisecond)
	req := o.core.NextAdviceRequest(sim.now, false)
	assert.Assert(t, req != nil)
	assert.Assert(t, len(req.Executors) >= 18, "%d of 20 executors are asked for", len(req.Executors))
}

// A call for a job that has ended must not keep other steps from asking.
func TestCallsOfEndedJobsPromiseNothing(t *testing.T) {
	sim := newStandingFleet(t, 1, 20)
	sim.advisers = 0
	o := sim.takeOver()
	sim.advance(time.Second)
	sim.submit(o, "cancelled", standingJob(40, place.Resources{CPUMillis: 7600, MemoryMB: 16000}))
	sim.advance(100 * time.Millisecond)
	assert.Assert(t, o.core.NextAdviceRequest(sim.now, false) != nil)
	o.core.Cancel(sim.now, "cancelled", func(cell.Reply) {})
	sim.submit(o, "next", standingJob(1, place.Resources{CPUMillis: 9000, MemoryMB: 16000}))
	sim.advance(100 * time.Millisecond)
	req := o.core.NextAdviceRequest(sim.now, false)
	assert.Assert(t, req != nil)
	assert.Equal(t, req.Step.Job, "next")
}

// Where one task fits on each executor, calls for few tasks must not keep later steps from asking.
func TestSmallPromisesLeaveRoomForOneTask(t *testing.T) {
	sim := newStandingFleet(t, 1, 30)
	sim.advisers = 0
	o := sim.takeOver()
	sim.advance(time.Second)
	for i := range 6 {
		sim.submit(o, fmt.Sprintf("standing%d", i), standingJob(1, place.Resources{CPUMillis: 15500, MemoryMB: 16000}))
	}
	sim.advance(100 * time.Millisecond)
	for i := range 6 {
		req := o.core.NextAdviceRequest(sim.now, false)
		assert.Assert(t, req != nil, "call %d", i)
		assert.Assert(t, len(req.Executors) >= 7, "call %d names %d executors", i, len(req.Executors))
	}
}

// Long-running tasks must start, and start again after a failed run, while there is room, beside a backlog of
// long jobs.
func TestLongRunningTasksRestartBesideBacklog(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name                      string
		seeds                     []uint64
		minCount, counts, perExec int
	}{
		{"narrow", []uint64{0, 1, 6}, 1, 12, 0},
		{"wide", []uint64{0}, 5, 30, 0},
		{"wide apart", []uint64{1}, 5, 30, 1},
	} {
		for _, seed := range c.seeds {
			t.Run(fmt.Sprint(c.name, " ", seed), func(t *testing.T) {
				sim := newStandingFleet(t, seed, 150)
				sim.lastingFailureShare = 0.3
				o := sim.takeOver()
				w := newWaitingCheck(sim)
				sim.schedule(waitingCheckInterval, w.check)
				sim.advance(time.Second)
				for _, l := range ordinaryLoad(150) {
					sim.submitLoad(o, l, 30*time.Second)
				}
				sim.submitLoad(o, workload{queue: slowQueue, rate: 4, steps: 2, count: 14, estimate: 6 * time.Second, cpuMillis: 4500}, 20*time.Second)
				for i := range 6 {
					id := fmt.Sprintf("standing%d", i)
					w.ids = append(w.ids, id)
					spec := standingJob(c.minCount+sim.rng.IntN(c.counts), place.Resources{CPUMillis: 7600, MemoryMB: 16000})
					spec.Steps[0].MaxPerExecutor = c.perExec
					w.replies[id] = sim.submit(o, id, spec)
					sim.advance(3 * time.Second)
				}
				sim.advance(60 * time.Second)
				sim.expectNoViolations()
			})
		}
	}
}
