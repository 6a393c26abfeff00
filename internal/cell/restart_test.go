package cell_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/ledger"
)

// Guards against random faults that find nothing: without the binding of calls to an incarnation tasks run twice.
func TestRandomFaultsFindUnboundCalls(t *testing.T) {
	t.Parallel()
	failed, seeds := 0, max(seedCount(), defaultSeeds)
	for seed := range seeds {
		sim := newSimulation(t, seed, 6)
		sim.unbound = true
		sim.runFaults(0)
		if len(sim.violations) > 0 {
			failed++
		}
	}
	t.Logf("%d of %d seeds found a violation", failed, seeds)
	assert.Assert(t, failed > 0)
}

// A start without a response that is carried out by the next incarnation of its executor must not run a task twice. See
// KNOWN-RED.txt.
func TestRandomFaultsWithStartsThatOutliveTheProcess(t *testing.T) {
	for seed := range seedCount() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newSimulation(t, seed, 6)
			sim.lateOutlivesProcess = true
			sim.runFaults(0)
			sim.expectNoViolations()
		})
	}
}

// restartSoonCut makes executors crash, start again under their ID and address, and be partitioned soon after: one, or
// a whole failure domain. Beside that the owner may change, responses get lost, or the executors drain. It returns the
// owner afterwards.
//
// It guards against calls that are meant for one incarnation and act in the next, whose clock begins anew: a lease end
// of the former incarnation would be in force for much longer than the owner assumes.
func (sim *simulation) restartSoonCut(o *owner, x *fakeExecutor) *owner {
	victims := []*fakeExecutor{x}
	if sim.rng.IntN(4) == 0 {
		victims = slices.DeleteFunc(sim.sortedExecutors(), func(other *fakeExecutor) bool { return other.Domain != x.Domain })
	}
	victims = slices.DeleteFunc(victims, func(x *fakeExecutor) bool {
		return x.down || x.partitioned || x.replaced || sim.now.Before(x.disturbedUntil)
	})
	back := sim.randomTime(100, 1300)
	cut := back + sim.randomTime(100, 2600)
	healed := cut + sim.randomTime(5500, 12000)
	refuses, restartsAgain := sim.rng.IntN(5) == 0, sim.rng.IntN(6) == 0
	again := cut + sim.randomTime(0, 4000)
	for _, x := range victims {
		x.down, x.refuses, x.disturbedUntil = true, refuses, sim.now.Add(healed)
		x.loseRuns(sim)
		sim.schedule(back, func() { sim.restartListed(x) })
		sim.schedule(cut, func() { x.partitioned = true })
		if restartsAgain {
			sim.schedule(again, func() { sim.restartListed(x) })
		}
		sim.schedule(healed, func() { x.partitioned = false })
	}
	sim.schedule(back, sim.submitLasting)
	if sim.rng.IntN(4) == 0 {
		sim.dropResponses(cut)
	}
	if sim.rng.IntN(6) == 0 {
		from := sim.randomTime(0, int(cut.Milliseconds()))
		sim.schedule(from, func() { sim.drain(victims) })
	}
	for sim.rng.IntN(2) == 0 {
		sim.advance(sim.randomTime(0, int(cut.Milliseconds())))
		o = sim.changeOwner(o)
	}
	if sim.rng.IntN(3) == 0 {
		// Another change of the owner or an outage of the store would delay the second run of a task beyond the first.
		sim.advance(cut + lease + 2*time.Second)
	}
	return o
}

// drainSoonCut makes an executor drain and be partitioned soon after a change of the owner. It returns the owner afterwards.
//
// It guards against a new owner that counts only its own leases: it gives draining executors shorter ones than those that
// the former owner has given them before.
func (sim *simulation) drainSoonCut(o *owner, x *fakeExecutor) *owner {
	if x.down || x.partitioned || sim.now.Before(x.disturbedUntil) {
		return o
	}
	sim.submitLasting()
	sim.advance(sim.randomTime(100, 2000))
	sim.drain([]*fakeExecutor{x})
	sim.advance(sim.randomTime(0, 1000))
	o = sim.changeOwner(o)
	cut := sim.randomTime(0, 2000)
	healed := cut + sim.randomTime(5500, 12000)
	x.disturbedUntil = maxTime(x.disturbedUntil, sim.now.Add(healed))
	sim.schedule(cut, func() { x.partitioned = true })
	sim.schedule(healed, func() { x.partitioned = false })
	sim.advance(sim.randomTime(0, 9000))
	return o
}

// restartListed starts an executor again, or for the first time since a crash, with its entry in the instance list.
func (sim *simulation) restartListed(x *fakeExecutor) {
	if !x.replaced {
		x.restart(sim)
		sim.relist(x)
	}
}

// submitLasting submits a job whose tasks outlive the lease of their executors, and find room at once after that.
func (sim *simulation) submitLasting() {
	if sim.submitNext == nil {
		return
	}
	spec := singleStep(testQueue, 10+sim.rng.IntN(20), sim.randomTime(7000, 13000))
	spec.Steps[0].Need.CPUMillis = int64(200 + sim.rng.IntN(800))
	sim.submitNext(spec)
}

// changeOwner replaces the owner, which is killed, at once or for some time without a successor, or does not know yet that
// another instance has taken over, or is stopped and goes on afterwards, or hands the cell over.
func (sim *simulation) changeOwner(o *owner) *owner {
	switch sim.rng.IntN(5) {
	case 4:
		return sim.handOver(o)
	case 0:
		o.dead = true
	case 1:
		o.dead = true
		sim.advance(sim.randomTime(0, 800))
	case 2:
		o.stoppedUntil = sim.now.Add(sim.randomTime(800, 6000))
		sim.advance(ledger.StaleAfter)
	}
	return sim.takeOver()
}

// dropResponses makes responses to polls and commands get lost for a time.
func (sim *simulation) dropResponses(d time.Duration) {
	former := sim.lostPollShare
	if sim.lostCommandShare > 0 {
		return
	}
	sim.lostPollShare, sim.lostCommandShare = 0.1, 0.2
	sim.schedule(d, func() { sim.lostPollShare, sim.lostCommandShare = former, 0 })
}

// drain makes executors drain for a time.
func (sim *simulation) drain(executors []*fakeExecutor) {
	remaining := sim.randomTime(3000, 20000)
	set := func(draining bool) {
		for _, x := range executors {
			x.Draining, x.MinRemaining = draining, remaining
			if !x.unlisted && !x.down {
				sim.relist(x)
			}
		}
	}
	for _, x := range executors {
		x.disturbedUntil = maxTime(x.disturbedUntil, sim.now.Add(remaining))
	}
	set(true)
	sim.schedule(remaining, func() { set(false) })
}

// randomTime returns a time between two numbers of milliseconds.
func (sim *simulation) randomTime(atLeast, below int) time.Duration {
	return time.Duration(atLeast+sim.rng.IntN(max(below-atLeast, 1))) * time.Millisecond
}
