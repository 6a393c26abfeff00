package cell_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/flow"
)

const (
	// flapPeriod is the time between two crashes of an executor that goes down and up by turns, and
	// flapDownTime how long it is down each time.
	flapPeriod   = 1400 * time.Millisecond
	flapDownTime = 700 * time.Millisecond
)

// flap crashes an executor and starts it again under its ID.
func (sim *simulation) flap(id string) {
	x := sim.execs[id]
	if x.down {
		return
	}
	x.down, x.refuses = true, true
	x.loseRuns(sim)
	sim.schedule(flapDownTime, func() {
		x.restart(sim)
		for _, o := range sim.owners {
			o.addExecutor(x)
		}
	})
}

// Guards against giving up tasks that happen to run on executors that crash by themselves.
func TestFlappingExecutorsFailNoJob(t *testing.T) {
	t.Parallel()
	for seed := range seedCount() / 6 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			const executors, flapping, crashes = 40, 6, 12
			sim, o := newCrashCell(t, seed, executors, true)
			for _, load := range []workload{
				{queue: testQueue, rate: 6, steps: 2, count: 6, estimate: 640 * time.Millisecond, cpuMillis: 1300},
				{queue: slowQueue, rate: 0.6, steps: 2, count: 8, estimate: 6 * time.Second, cpuMillis: 2700},
				{
					queue: slowQueue, rate: 0.15, steps: 1, count: 20, estimate: 400 * time.Millisecond, cpuMillis: 300,
					modify: func(s *flow.StepSpec) { s.LongRunning = true },
				},
			} {
				sim.submitLoad(o, load, 25*time.Second)
			}
			sim.advance(3 * time.Second)
			for i := range flapping {
				id := fmt.Sprintf("x%d", i*executors/flapping)
				for n := range crashes {
					jitter := time.Duration(sim.rng.Int64N(int64(flapPeriod - flapDownTime)))
					sim.schedule(time.Duration(n)*flapPeriod+jitter, func() { sim.flap(id) })
				}
			}
			sim.advance(60 * time.Second)
			sim.expectNoViolations()
			assert.Check(t, o.core.Stats.Crashes > 0)
			assert.Equal(t, o.core.Stats.Failed, int64(0), "given up: %v", sim.givenUp)
		})
	}
}

// Guards against a long-running job that is shown as failed without cause: executors on machines that
// crash again and again by themselves come back empty, and the same task can be started on several.
func TestFlappingMachinesFailNoLongRunningJob(t *testing.T) {
	const flapping, rounds = 5, 10
	for seed := range uint64(12) {
		for _, keepsID := range []bool{false, true} {
			sim, o := newCrashCell(t, seed, 30, keepsID)
			for i := range 40 {
				spec := singleStep(slowQueue, 3, 3*time.Second)
				spec.Steps[0].LongRunning = i%2 == 0
				sim.submit(o, fmt.Sprintf("job%d", i), spec)
			}
			sim.advance(2 * time.Second)
			for round := range rounds {
				for i := range flapping {
					x := sim.newestExecutor(fmt.Sprintf("x%d", 6*i))
					if x != nil && !x.replaced && !x.down {
						x.crash(sim)
					}
				}
				for i := range 3 {
					sim.advance(500 * time.Millisecond)
					sim.submit(o, fmt.Sprintf("short%d-%d", round, i), singleStep(testQueue, 4, 400*time.Millisecond))
				}
				sim.advance(1300 * time.Millisecond)
			}
			sim.advance(20 * time.Second)
			assert.Equal(t, len(sim.givenUp), 0, "seed %d, keeps ID %t: %v", seed, keepsID, sim.givenUp)
		}
	}
}

// newestExecutor returns the last executor on the machine of an executor.
func (sim *simulation) newestExecutor(id string) *fakeExecutor {
	for sim.execs["n"+id] != nil {
		id = "n" + id
	}
	return sim.execs[id]
}

// Guards against a long-running job that is shown as failed without cause: it meets crashes of many
// executors at once in the course of time, and four of them must not count against it.
func TestCommonCrashesFailNoLongRunningJob(t *testing.T) {
	const rounds, share = 10, 0.14
	for seed := range uint64(20) {
		sim, o := newCrashCell(t, seed, 30, seed%2 == 0)
		for i := range 40 {
			spec := singleStep(slowQueue, 3, 3*time.Second)
			spec.Steps[0].LongRunning = i%2 == 0
			sim.submit(o, fmt.Sprintf("job%d", i), spec)
		}
		sim.advance(2 * time.Second)
		for round := range rounds {
			for _, x := range sim.sortedExecutors() {
				if !x.replaced && !x.down && sim.rng.Float64() < share {
					x.crash(sim)
				}
			}
			for i := range 3 {
				sim.advance(500 * time.Millisecond)
				sim.submit(o, fmt.Sprintf("short%d-%d", round, i), singleStep(testQueue, 4, 400*time.Millisecond))
			}
			sim.advance(1500 * time.Millisecond)
		}
		sim.advance(20 * time.Second)
		assert.Equal(t, len(sim.givenUp), 0, "seed %d: %v", seed, sim.givenUp)
	}
}
