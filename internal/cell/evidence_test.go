package cell_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/fleet"
)

// Guards against tasks that are never given up because those that crash executors later than right after
// the start clear each other.
func TestLateDeadlyTasksDoNotClearEachOther(t *testing.T) { playLateDeadlyTasks(t, 2) }

// The same for more tasks. See KNOWN-RED.txt.
func TestManyLateDeadlyTasksDoNotClearEachOther(t *testing.T) { playLateDeadlyTasks(t, 3) }

func playLateDeadlyTasks(t *testing.T, tasks int) {
	for _, after := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 1500 * time.Millisecond} {
		for _, spread := range []time.Duration{0, 500 * time.Millisecond} {
			sim, o := newCrashCell(t, 1, 48, false)
			sim.crashAfter = after
			for i := range tasks {
				sim.submitDeadly(o, fmt.Sprintf("deadly%d", i), singleStep(testQueue, 1, 4*time.Second))
				sim.advance(spread)
			}
			sim.advance(120 * time.Second)
			sim.expectBoundedCrashes()
		}
	}
}

// Guards against a task that goes on crashing executors which do not break their connections, so that the
// crash is noticed late.
func TestDeadlyTaskOnExecutorsThatFallSilentIsGivenUp(t *testing.T) {
	for _, c := range []struct{ executors, jobs int }{{12, 8}, {48, 30}} {
		sim, o := newCrashCell(t, 1, c.executors, false)
		sim.crashesSilently = true
		for i := range c.jobs {
			sim.submitDeadly(o, fmt.Sprintf("deadly%d", i), singleStep(testQueue, 1, 640*time.Millisecond))
			sim.advance(200 * time.Millisecond)
		}
		sim.advance(120 * time.Second)
		sim.expectBoundedCrashes()
	}
}

// Guards against executors that are lost for nothing: where none crashes by itself, two crashes are enough.
func TestDeadlyTasksTakeTwoExecutors(t *testing.T) {
	const executors, seconds = 48, 20
	sim := newLargeFleet(t, 0, executors)
	o := sim.takeOver()
	sim.advance(time.Second)
	for _, load := range ordinaryLoad(executors) {
		load.rate /= 2
		sim.submitLoad(o, load, seconds*time.Second)
	}
	for i := range 2 * seconds {
		sim.advance(time.Second / 2)
		sim.submitDeadly(o, fmt.Sprintf("deadly%d", i), singleStep(testQueue, 6, 640*time.Millisecond))
	}
	sim.advance(40 * time.Second)
	for i := range 2 * seconds {
		crashes := len(sim.crashes[fleet.TaskID{Job: fmt.Sprintf("deadly%d", i)}])
		assert.Check(t, crashes <= 2, "deadly%d crashed %d executors", i, crashes)
	}
}

// Guards against a task that goes on crashing executors because a response that its executor sent before the
// crash, and that arrives late, is taken to show that it survived the start.
func TestLateResponseDoesNotProveStart(t *testing.T) {
	for seed := range uint64(6) {
		sim, o := newCrashCell(t, seed, 24, true)
		for i := range 24 {
			sim.submit(o, fmt.Sprintf("innocent%d", i), singleStep(slowQueue, 2, 300*time.Millisecond))
		}
		sim.advance(time.Second)
		sim.pollDelay, sim.crashAfter = 250*time.Millisecond, 120*time.Millisecond
		for i := range 16 {
			sim.submitDeadly(o, fmt.Sprintf("deadly%d", i), singleStep(testQueue, 1, 640*time.Millisecond))
			sim.submit(o, fmt.Sprintf("short%d", i), singleStep(testQueue, 24, 200*time.Millisecond))
			sim.advance(600 * time.Millisecond)
		}
		sim.advance(60 * time.Second)
		sim.expectBoundedCrashes()
	}
}
