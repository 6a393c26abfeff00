package cell_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/flow"
)

// crashSilently ends the executor, which does not even refuse connections until it is back.
func (x *fakeExecutor) crashSilently(sim *simulation) {
	x.down = true
	x.loseRuns(sim)
	sim.schedule(crashDownTime, func() {
		if x.down && !x.replaced {
			x.restart(sim)
		}
	})
}

// blameDay is a day on which executors crash by themselves beside tasks that crash theirs.
type blameDay struct {
	// deadlyPerSecond is the number of deadly jobs a second, crashes the number of executors that
	// crash by themselves at once, each 4 s.
	deadlyPerSecond, crashes int
	silent, keepsID          bool
}

// Jobs whose tasks share executors with deadly ones, or whose executors crash by themselves, must not be
// given up. A job with a deadly task fails rightly, whichever of its tasks is named.
func TestInnocentTasksAreNotGivenUp(t *testing.T) {
	t.Parallel()
	for _, day := range []blameDay{{0, 8, false, false}, {0, 16, false, false}, {1, 8, false, false}, {3, 4, false, false}, {3, 8, false, false}} {
		for _, day.silent = range []bool{false, true} {
			for _, day.keepsID = range []bool{false, true} {
				for seed := range max(seedCount()/defaultSeeds, 1) {
					t.Run(fmt.Sprintf("%+v, seed %d", day, seed), func(t *testing.T) { day.play(t, seed) })
				}
			}
		}
	}
}

func (day blameDay) play(t *testing.T, seed uint64) {
	const executors = 48
	sim := newLargeFleet(t, seed, executors)
	sim.keepsID = day.keepsID
	o := sim.takeOver()
	sim.advance(time.Second)
	for _, load := range ordinaryLoad(executors) {
		load.rate /= 2
		sim.submitLoad(o, load, 20*time.Second)
	}
	for i := range 6 {
		spec := singleStep(testQueue, 8, 400*time.Millisecond)
		spec.Steps[0].LongRunning = true
		sim.submit(o, fmt.Sprintf("lasting%d", i), spec)
	}
	deadly := 0
	for second := range 20 {
		for range day.deadlyPerSecond {
			sim.advance(time.Second / time.Duration(day.deadlyPerSecond+1))
			sim.submitDeadly(o, fmt.Sprintf("deadly%d", deadly), singleStep(testQueue, 6, 640*time.Millisecond))
			deadly++
		}
		sim.advance(time.Second / time.Duration(day.deadlyPerSecond+1))
		if second%4 != 3 {
			continue
		}
		first := sim.rng.IntN(executors)
		for i, x := range sim.sortedExecutors() {
			if (i+first)%executors < day.crashes && !x.replaced && !x.down {
				if day.silent {
					x.crashSilently(sim)
				} else {
					x.crash(sim)
				}
			}
		}
	}
	sim.advance(40 * time.Second)
	sim.expectBoundedCrashes()
	sim.expectNoViolations()
	for _, task := range sim.givenUp {
		first := fleet.TaskID{Job: task.Job}
		assert.Check(t, sim.deadly[first], "%v was given up after %d crashes", task, len(sim.crashes[task]))
	}
	for i := range deadly {
		assert.Equal(t, o.core.State(fmt.Sprintf("deadly%d", i)).State, flow.Failed)
	}
	for i := range 6 {
		assert.Equal(t, o.core.State(fmt.Sprintf("lasting%d", i)).State, flow.Running)
	}
}

// A trial must end soon after the suspect has outlived its start, although a poll is held for up to 2 s:
// the executor gets no other tasks meanwhile, which then wait while there is room.
func TestTrialDoesNotWaitForHeldPoll(t *testing.T) {
	for offset := time.Duration(0); offset < 2*time.Second; offset += 250 * time.Millisecond {
		t.Run(offset.String(), func(t *testing.T) {
			sim, o := newCrashCell(t, 1, 2, false)
			sim.advance(offset)
			task := fleet.TaskID{Job: "suspect"}
			sim.submit(o, task.Job, singleStep(testQueue, 1, 8*time.Second))
			sim.advance(40 * time.Millisecond)
			x := sim.execs[sim.history[task][0].executor]
			x.down = true // for good
			x.loseRuns(sim)
			o.core.RemoveExecutor(sim.now, x.ID)
			for len(sim.history[task]) < 2 {
				sim.advance(5 * time.Millisecond)
			}
			sim.submit(o, "innocent", singleStep(testQueue, 2, 200*time.Millisecond))
			sim.advance(900 * time.Millisecond)
			assert.Equal(t, o.core.State("innocent").State, flow.Completed)
		})
	}
}

// A deadly task must also be found in a step that starts late and among many tasks of a step that is wider
// than the fleet has room for.
func TestDeadlyTaskOfLaterAndWideStepIsGivenUp(t *testing.T) {
	for _, keepsID := range []bool{false, true} {
		for _, count := range []int{1, 100} {
			t.Run(fmt.Sprintf("%d tasks, keeps ID %t", count, keepsID), func(t *testing.T) {
				sim, o := newCrashCell(t, 1, 12, keepsID)
				spec := singleStep(slowQueue, 4, 300*time.Millisecond)
				later := spec.Steps[0]
				later.Count, later.DependsOn = count, []int{0}
				spec.Steps = append(spec.Steps, later)
				deadly := fleet.TaskID{Job: "deadly", Step: 1, Index: count / 2}
				sim.deadly[deadly] = true
				sim.submit(o, deadly.Job, spec)
				sim.submit(o, "innocent", singleStep(slowQueue, 30, time.Second))
				sim.advance(40 * time.Second)
				sim.expectBoundedCrashes()
				sim.expectNoViolations()
				assert.DeepEqual(t, sim.givenUp, []fleet.TaskID{deadly})
				assert.Equal(t, o.core.State(deadly.Job).State, flow.Failed)
				assert.Equal(t, o.core.State("innocent").State, flow.Completed)
			})
		}
	}
}

// Guards against a task that is not given up: its executors crash before they have responded to the start, and each
// crash was taken back with the response of the next incarnation.
func TestTaskThatCrashesExecutorsBeforeTheyRespondIsGivenUp(t *testing.T) {
	for _, keepsID := range []bool{false, true} {
		t.Run(fmt.Sprintf("keeps ID %t", keepsID), func(t *testing.T) {
			sim, o := newCrashCell(t, 1, 8, keepsID)
			sim.crashesBeforeResponse = true
			sim.submitDeadly(o, "deadly", singleStep(testQueue, 1, 500*time.Millisecond))
			sim.advance(60 * time.Second)
			sim.expectBoundedCrashes()
			assert.Equal(t, o.core.State("deadly").State, flow.Failed)
		})
	}
}
