package cell_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/cell"
	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/flow"
)

const (
	// usualCrashAfter is the time from the start of a deadly task to the crash of its executor.
	usualCrashAfter = 10 * time.Millisecond

	// crashDownTime is how long a crashed executor is down.
	crashDownTime = 3 * time.Second

	// maxCrashes is the number of crashes under one task after which starts are counted, and
	// maxStartsAfterCrashes how many of them by an owner in touch are allowed.
	maxCrashes            = 3
	maxStartsAfterCrashes = 2

	// contactTime is how long an owner has to be without disruption to be in touch.
	contactTime = 3 * time.Second
)

// machineOf returns the machine of an executor; those that replace others have a longer ID.
func machineOf(id string) string {
	return strings.TrimLeft(id, "n")
}

// crash ends the executor and all its runs. It is back after crashDownTime, under its ID or as a new
// executor at the same address.
func (x *fakeExecutor) crash(sim *simulation) {
	x.down, x.refuses = true, true
	x.loseRuns(sim)
	held := x.heldPolls
	x.heldPolls = nil
	for _, respond := range held {
		sim.schedule(0, respond)
	}
	sim.schedule(crashDownTime, func() {
		if !x.refuses || x.replaced {
			return // it was started again in the meantime
		}
		if sim.keepsID {
			x.restart(sim)
		} else {
			x.replaced = true
			next := sim.addExecutor("n" + x.ID)
			next.Rack, next.Domain, next.Capacity, next.Labels = x.Rack, x.Domain, x.Capacity, x.Labels
		}
		for _, other := range sim.sortedExecutors() {
			for _, o := range sim.owners {
				switch {
				case o.dead:
				case other.replaced:
					o.core.RemoveExecutor(sim.now, other.ID)
				case !other.down:
					o.addExecutor(other)
				}
			}
		}
	})
}

// submitDeadly submits a job whose first task crashes its executors.
func (sim *simulation) submitDeadly(o *owner, id string, spec flow.Spec) {
	sim.deadly[fleet.TaskID{Job: id}] = true
	sim.submit(o, id, spec)
}

// expectBoundedCrashes checks that no deadly task was started more often than allowed.
func (sim *simulation) expectBoundedCrashes() {
	sim.t.Helper()
	for task := range sim.deadly {
		crashes := sim.crashes[task]
		if len(crashes) < maxCrashes {
			continue
		}
		after := 0
		for _, sp := range sim.history[task] {
			if sp.begin.After(crashes[maxCrashes-1]) && sp.inTouch {
				after++
			}
		}
		assert.Check(sim.t, after <= maxStartsAfterCrashes, "%v was started %d times after three crashes", task, after)
	}
}

// expectBlameOnCrashesOnly checks that only tasks under which executors have crashed are given up.
func (sim *simulation) expectBlameOnCrashesOnly() {
	sim.t.Helper()
	for _, task := range sim.givenUp {
		assert.Check(sim.t, len(sim.crashes[task]) >= 2, "%v was given up after %d crashes", task, len(sim.crashes[task]))
	}
}

// newCrashCell returns a simulation without failures of tasks, and its owner.
func newCrashCell(t *testing.T, seed uint64, executors int, keepsID bool) (*simulation, *owner) {
	sim := newSimulation(t, seed, executors)
	sim.failureShare, sim.keepsID = 0, keepsID
	o := sim.takeOver()
	sim.advance(time.Second)
	return sim, o
}

func TestTaskThatCrashesExecutorsIsGivenUp(t *testing.T) {
	steps := map[string]func(*flow.StepSpec){
		"plain":        func(*flow.StepSpec) {},
		"concurrent":   func(s *flow.StepSpec) { s.AllowConcurrentRuns = true },
		"gang":         func(s *flow.StepSpec) { s.Gang = true },
		"long-running": func(s *flow.StepSpec) { s.LongRunning = true },
	}
	for name, modify := range steps {
		for _, keepsID := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, keeps ID %t", name, keepsID), func(t *testing.T) {
				sim, o := newCrashCell(t, 1, 12, keepsID)
				for i := range 12 {
					sim.submit(o, fmt.Sprintf("innocent%d", i), singleStep(slowQueue, 2, 2*time.Second))
				}
				sim.advance(100 * time.Millisecond)
				spec := singleStep(testQueue, 3, 500*time.Millisecond)
				modify(&spec.Steps[0])
				sim.submitDeadly(o, "deadly", spec)
				sim.advance(40 * time.Second)
				sim.expectBoundedCrashes()
				assert.Equal(t, o.core.State("deadly").State, flow.Failed)
				for i := range 12 {
					r := o.core.State(fmt.Sprintf("innocent%d", i))
					assert.Equal(t, r.Outcome, cell.Found)
					assert.Equal(t, r.State, flow.Completed)
				}
				sim.expectNoViolations()
			})
		}
	}
}

func TestCrashCountOutlivesOwner(t *testing.T) {
	for _, outage := range []time.Duration{0, 5 * time.Second} {
		for _, delay := range []time.Duration{60 * time.Millisecond, time.Second, 3100 * time.Millisecond} {
			t.Run(fmt.Sprintf("killed %s after each crash, nobody owns the cell for %s", delay, outage), func(t *testing.T) {
				sim, o := newCrashCell(t, 1, 8, false)
				task := fleet.TaskID{Job: "deadly"}
				sim.submitDeadly(o, task.Job, singleStep(testQueue, 2, 500*time.Millisecond))
				for crashes := 0; sim.now.Before(time.Unix(1_700_000_000, 0).Add(60 * time.Second)); {
					sim.advance(5 * time.Millisecond)
					if len(sim.crashes[task]) == crashes {
						continue
					}
					crashes = len(sim.crashes[task])
					sim.advance(delay)
					o.dead = true
					sim.advance(outage)
					o = sim.takeOver()
				}
				sim.expectBoundedCrashes()
				assert.Equal(t, o.core.State(task.Job).State, flow.Failed)
			})
		}
	}
}

func TestTaskThatCrashesExecutorsLaterIsGivenUp(t *testing.T) {
	for _, after := range []time.Duration{400 * time.Millisecond, 1500 * time.Millisecond} {
		for _, concurrent := range []bool{false, true} {
			t.Run(fmt.Sprintf("after %s, concurrent runs %t", after, concurrent), func(t *testing.T) {
				sim, o := newCrashCell(t, 1, 8, false)
				sim.crashAfter = after
				spec := singleStep(testQueue, 1, 4*time.Second)
				spec.Steps[0].AllowConcurrentRuns = concurrent
				sim.submitDeadly(o, "deadly", spec)
				sim.submit(o, "innocent", singleStep(testQueue, 20, time.Second))
				sim.advance(60 * time.Second)
				sim.expectBoundedCrashes()
				assert.Equal(t, o.core.State("deadly").State, flow.Failed)
				assert.Equal(t, o.core.State("innocent").State, flow.Completed)
			})
		}
	}
}

// Guards against crashes that are forgotten, so that a task crashes one executor after another: the response
// to its start had been lost, and the new incarnation of the executor did not list the run (fault soak of
// 120 executors, seed 601).
func TestCrashAfterLostResponseCounts(t *testing.T) {
	sim, o := newCrashCell(t, 1, 8, true)
	sim.crashAfter = 500 * time.Millisecond
	for _, x := range sim.sortedExecutors() {
		x.rejectsRetries = true
	}
	sim.submitDeadly(o, "deadly", singleStep(testQueue, 1, 4*time.Second))
	sim.advance(60 * time.Second)
	sim.expectBoundedCrashes()
	assert.Equal(t, o.core.State("deadly").State, flow.Failed)
}

func TestCutExecutorIsNotTakenForCrashed(t *testing.T) {
	for _, cut := range []time.Duration{2 * time.Second, 12 * time.Second} {
		for _, concurrent := range []bool{false, true} {
			t.Run(fmt.Sprintf("cut for %s, concurrent runs %t", cut, concurrent), func(t *testing.T) {
				sim, o := newCrashCell(t, 1, 8, false)
				task := fleet.TaskID{Job: "job"}
				spec := singleStep(testQueue, 1, 600*time.Millisecond)
				spec.Steps[0].AllowConcurrentRuns = concurrent
				sim.submit(o, task.Job, spec)
				// Cuts off each executor that starts the task, three times.
				for starts := 0; starts < 3; {
					sim.advance(5 * time.Millisecond)
					if len(sim.history[task]) == starts {
						assert.Assert(t, o.core.State(task.Job).State != flow.Failed)
						if o.core.State(task.Job).State == flow.Completed {
							break
						}
						continue
					}
					starts = len(sim.history[task])
					x := sim.execs[sim.history[task][starts-1].executor]
					x.partitioned = true
					sim.schedule(cut, func() { x.partitioned = false })
				}
				sim.advance(30 * time.Second)
				assert.Equal(t, o.core.State(task.Job).State, flow.Completed)
				assert.Equal(t, o.core.Stats.Crashes, int64(0))
				sim.expectNoViolations()
			})
		}
	}
}

func TestCrashOfManyExecutorsFailsNoJob(t *testing.T) {
	sim, o := newCrashCell(t, 1, 9, false)
	for i := range 30 {
		sim.submit(o, fmt.Sprintf("job%d", i), singleStep(slowQueue, 2, 3*time.Second))
	}
	for range maxCrashes {
		sim.advance(700 * time.Millisecond)
		for i, x := range sim.sortedExecutors() {
			if i%3 == 0 && !x.replaced && !x.down {
				x.crash(sim)
			}
		}
		sim.advance(5 * time.Second)
	}
	sim.advance(60 * time.Second)
	for i := range 30 {
		assert.Equal(t, o.core.State(fmt.Sprintf("job%d", i)).State, flow.Completed)
	}
	sim.expectNoViolations()
}

// Guards against a job that is shown as failed because several executors crashed together just when one
// of its tasks had been started (fault soak, seed 209).
func TestTaskIsNotBlamedForCommonCrashes(t *testing.T) {
	for _, keepsID := range []bool{false, true} {
		t.Run(fmt.Sprintf("keeps ID %t", keepsID), func(t *testing.T) {
			sim, o := newCrashCell(t, 1, 12, keepsID)
			task := fleet.TaskID{Job: "job"}
			sim.submit(o, task.Job, singleStep(testQueue, 1, 600*time.Millisecond))
			for starts := range maxCrashes {
				for deadline := sim.now.Add(10 * time.Second); len(sim.history[task]) == starts; {
					sim.advance(5 * time.Millisecond)
					assert.Assert(t, sim.now.Before(deadline), "the task is not started after %d crashes", starts)
				}
				sim.advance(15 * time.Millisecond)
				sim.execs[sim.history[task][starts].executor].crash(sim)
				others := 0
				for _, x := range sim.sortedExecutors() {
					if !x.down && !x.replaced && others < 3 {
						x.crash(sim)
						others++
					}
				}
			}
			sim.advance(30 * time.Second)
			assert.Equal(t, o.core.State(task.Job).State, flow.Completed)
			sim.expectNoViolations()
		})
	}
}

func TestDrainedExecutorIsNotTakenForCrashed(t *testing.T) {
	sim, o := newCrashCell(t, 1, 3, false)
	sim.submit(o, "job", singleStep(testQueue, 1, 20*time.Second))
	task := fleet.TaskID{Job: "job"}
	for i := range 3 {
		sim.advance(100 * time.Millisecond)
		assert.Equal(t, len(sim.history[task]), i+1)
		x := sim.execs[sim.history[task][i].executor]
		x.Draining, x.MinRemaining = true, 2*time.Second
		o.addExecutor(x)
		sim.advance(2 * time.Second)
		x.crash(sim)
		sim.advance(crashDownTime)
	}
	sim.advance(30 * time.Second)
	assert.Equal(t, o.core.State("job").State, flow.Completed)
	assert.Equal(t, o.core.Stats.Crashes, int64(0))
}

// The load of a day on which a tenth of the urgent jobs has a task that crashes its executors, with a
// kill of the owner in the middle.
func TestInnocentJobsAreServedBesideCrashingTasks(t *testing.T) {
	const executors = 48
	sim := newLargeFleet(t, 1, executors)
	o := sim.takeOver()
	sim.advance(time.Second)
	deadly := 0
	for _, load := range ordinaryLoad(executors) {
		sim.submitLoad(o, load, 8*time.Second)
	}
	for range 8 {
		sim.advance(time.Second)
		for range 2 {
			sim.submitDeadly(o, fmt.Sprintf("deadly%d", deadly), singleStep(testQueue, 6, 640*time.Millisecond))
			deadly++
		}
	}
	sim.advance(100 * time.Millisecond)
	o.dead = true
	o = sim.takeOver()
	sim.advance(40 * time.Second)
	sim.expectBoundedCrashes()
	sim.expectBlameOnCrashesOnly()
	sim.expectNoViolations()
	for i := range deadly {
		assert.Equal(t, o.core.State(fmt.Sprintf("deadly%d", i)).State, flow.Failed)
	}
	for i := range sim.submitted {
		assert.Equal(t, o.core.State(fmt.Sprintf("l%05d", i+1)).State, flow.Completed)
	}
}

func TestStepOfSuspectsStartsAgainWhileThereIsRoom(t *testing.T) {
	t.Parallel()
	const executors, tasks = 48, 14
	for _, gang := range []bool{false, true} {
		for seed := range uint64(8) {
			t.Run(fmt.Sprintf("gang %t, seed %d", gang, seed), func(t *testing.T) {
				sim := newLargeFleet(t, seed, executors)
				o := sim.takeOver()
				sim.advance(time.Second)
				for _, load := range ordinaryLoad(executors * 3 / 4) {
					sim.submitLoad(o, load, 60*time.Second)
				}
				sim.advance(3 * time.Second)
				spec := singleStep(slowQueue, tasks, 5*time.Second)
				spec.Steps[0].Need.CPUMillis = 4500
				spec.Steps[0].Gang = gang
				sim.submit(o, "job", spec)
				for range 2 {
					sim.advance(1500 * time.Millisecond)
					crashed := make(map[string]bool)
					for i := range tasks {
						for _, sp := range sim.history[fleet.TaskID{Job: "job", Index: i}] {
							if sp.open && !crashed[sp.executor] && len(crashed) < 3 {
								crashed[sp.executor] = true
								sim.execs[sp.executor].crash(sim)
							}
						}
					}
					sim.advance(crashDownTime + time.Second)
				}
				// A run takes up to 7.5 s.
				sim.advance(12 * time.Second)
				assert.Equal(t, o.core.State("job").State, flow.Completed)
			})
		}
	}
}

// A long-running task that fails and is started again must not be given up because executors crash for
// other reasons: in between it has ended by itself, which a task that crashes its executors does not.
func TestTaskThatEndsByItselfIsNotGivenUp(t *testing.T) {
	sim, o := newCrashCell(t, 1, 6, false)
	spec := singleStep(testQueue, 1, 100*time.Millisecond)
	spec.Steps[0].LongRunning = true
	sim.submitHopeless(o, "job", spec)
	for range 6 {
		sim.crashYoungest(fleet.TaskID{Job: "job"})
		sim.advance(8 * time.Second)
		assert.Assert(t, !o.core.State("job").State.Final())
	}
}

// A long-running task must not be given up because of crashes between which it worked for longer than a
// trial takes.
func TestTaskThatOutlivesItsTrialIsNotGivenUp(t *testing.T) {
	sim, o := newCrashCell(t, 1, 6, false)
	spec := singleStep(testQueue, 1, time.Second)
	spec.Steps[0].LongRunning = true
	sim.submit(o, "job", spec)
	for range 6 {
		sim.crashYoungest(fleet.TaskID{Job: "job"})
		sim.advance(20 * time.Second)
		assert.Assert(t, !o.core.State("job").State.Final())
	}
}

// crashYoungest crashes the executor of the next run of a task as soon as it starts or, if one is running,
// at once.
func (sim *simulation) crashYoungest(task fleet.TaskID) {
	for {
		runs := sim.history[task]
		if n := len(runs); n > 0 && runs[n-1].open {
			sim.execs[runs[n-1].executor].crash(sim)
			return
		}
		sim.advance(5 * time.Millisecond)
	}
}

// A task beside which suspects crash its executors must not be given up.
func TestTaskBesideTrialsIsNotGivenUp(t *testing.T) {
	sim, o := newCrashCell(t, 1, 2, false)
	spec := singleStep(slowQueue, 1, time.Second)
	spec.Steps[0].LongRunning = true
	sim.submit(o, "beside", spec)
	sim.advance(time.Second)
	for i := range 6 {
		sim.submitDeadly(o, fmt.Sprintf("deadly%d", i), singleStep(testQueue, 1, 500*time.Millisecond))
		sim.advance(8 * time.Second)
	}
	assert.Equal(t, o.core.State("beside").State, flow.Running)
	sim.expectBoundedCrashes()
}
