package cell_test

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/cell"
	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/flow"
	"github.com/daisyrack/daisyrack/pkg/place"
)

const (
	// endedJobRetention is how long owners keep ended jobs.
	endedJobRetention = 180 * time.Second

	// maxStoreDelay is how much later than its end the final state of a job may be stored. Outages of the store
	// last 5 s, and one may follow another.
	maxStoreDelay = 20 * time.Second
)

// defaultSeeds is the number of seeds unless DAISYRACK_SEEDS is set.
const defaultSeeds = 60

func seedCount() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("DAISYRACK_SEEDS"), 10, 32); err == nil {
		return n
	}
	return defaultSeeds
}

// Random faults must not run a task twice, exceed a capacity or lose a job.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	completed := 0
	for seed := range seedCount() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { completed += runFaults(t, seed, 0) })
	}
	// Guards against a simulation that does nothing: most seeds complete many jobs.
	assert.Assert(t, completed >= 10*int(seedCount()), "%d jobs completed", completed)
}

// Among the jobs of random faults, some have a task that crashes its executors.
func TestRandomFaultsWithCrashingTasks(t *testing.T) {
	t.Parallel()
	for seed := range seedCount() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runFaults(t, seed, 0.15) })
	}
}

// runFaults runs one seed and returns the number of completed jobs.
func runFaults(t *testing.T, seed uint64, deadlyShare float64) int {
	sim := newSimulation(t, seed, 6)
	replies := sim.runFaults(deadlyShare)
	sim.expectNoViolations()
	sim.expectBoundedCrashes()
	sim.expectBlameOnCrashesOnly()
	last := sim.owners[len(sim.owners)-1]
	completed := 0
	for i := range len(replies) {
		id := fmt.Sprintf("j%d", i)
		r := last.core.State(id)
		if ended, ok := sim.endedAt[id]; ok && r.Outcome == cell.Absent && sim.now.Sub(ended) > endedJobRetention-maxStoreDelay {
			continue // its final state was stored, and has been dropped since
		}
		accepted := replies[id].Outcome == cell.Accepted || r.Outcome == cell.Found
		if accepted && r.State != flow.Completed && r.State != flow.Failed {
			t.Errorf("accepted job %s is not in a final state: outcome %s, state %s", id, r.Outcome, r.State)
		}
		if r.State == flow.Completed {
			completed++
		}
	}
	ends := int64(0)
	for _, o := range sim.owners {
		ends += o.core.Stats.Ends
	}
	assert.Assert(t, ends >= int64(completed))
	return completed
}

// runFaults submits jobs, some with a task that crashes its executors, beside random faults. It waits for the ends of
// the jobs and returns the replies to their submission.
func (sim *simulation) runFaults(deadlyShare float64) map[string]*cell.Reply {
	if sim.seed%3 == 1 {
		sim.lostPollShare = 0.05
	}
	if sim.seed%2 == 1 {
		sim.allowedShare = 0.6
		for i := range sim.config.Queues {
			sim.config.Queues[i].Advice = &fleet.Advice{
				BaseLatency: time.Duration(20+200*i) * time.Millisecond, LatencyPerExecutor: time.Millisecond, TicketTTL: 2 * time.Second,
			}
		}
	}
	o := sim.takeOver()
	sim.advance(time.Second)
	replies := make(map[string]*cell.Reply)
	sim.submitNext = func(spec flow.Spec) {
		id := fmt.Sprintf("j%d", len(replies))
		if sim.arrivals.Float64() < deadlyShare {
			sim.deadly[fleet.TaskID{Job: id}] = true
		}
		replies[id] = sim.submit(sim.owners[len(sim.owners)-1], id, spec)
	}
	for range 30 {
		for range 1 + sim.rng.IntN(3) {
			sim.submitNext(sim.randomSpec())
		}
		o = sim.injectFault(o)
		sim.advance(time.Duration(100+sim.rng.IntN(900)) * time.Millisecond)
	}
	sim.clearFaults(o)
	// The last drains and partitions end within 20 s; then a task of up to 20 s may need three runs.
	sim.advance(90 * time.Second)
	return replies
}

func (sim *simulation) randomSpec() flow.Spec {
	queue := testQueue
	if sim.rng.IntN(3) == 0 {
		queue = slowQueue
	}
	spec := singleStep(queue, 1+sim.rng.IntN(8), time.Duration(100+sim.rng.IntN(1500))*time.Millisecond)
	spec.Steps[0].Need.CPUMillis = int64(500 + sim.rng.IntN(3000))
	if sim.rng.IntN(5) == 0 {
		spec.Steps[0].Estimate = time.Duration(5000+sim.rng.IntN(8000)) * time.Millisecond
	}
	if sim.rng.IntN(4) == 0 {
		spec.Steps[0].MaxPerExecutor = 2
	}
	spec.Steps[0].AllowConcurrentRuns = sim.rng.IntN(3) == 0
	if sim.rng.IntN(2) == 0 {
		spec.Steps = append(spec.Steps, flow.StepSpec{
			Count: 1 + sim.rng.IntN(5), Need: place.Resources{CPUMillis: 1500}, DependsOn: []int{0},
			Estimate: time.Duration(100+sim.rng.IntN(3000)) * time.Millisecond,
		})
	}
	return spec
}

// injectFault injects one random fault and returns the owner after it.
func (sim *simulation) injectFault(o *owner) *owner {
	all := slices.DeleteFunc(sim.sortedExecutors(), func(x *fakeExecutor) bool { return x.replaced })
	x := all[sim.rng.IntN(len(all))]
	switch sim.rng.IntN(13) {
	case 0: // the owner is killed
		o.dead = true
		return sim.takeOver()
	case 1: // the owner is partitioned with some executors; another takes over and reaches the others
		next := sim.takeOver()
		o.storeUnreachable = true
		for _, other := range all {
			if sim.rng.IntN(3) == 0 {
				next.unreachable[other.ID] = true
			} else {
				o.unreachable[other.ID] = true
			}
		}
		sim.schedule(6*time.Second, func() {
			clear(next.unreachable)
			clear(o.unreachable)
			o.storeUnreachable = false
			o.disruptedAt, next.disruptedAt = sim.now, sim.now
		})
		return next
	case 8: // a failure domain is partitioned with the owner inside
		next := sim.takeOver()
		o.storeUnreachable = true
		domain := domainOf(x.ID)
		for _, other := range all {
			if other.Domain == domain {
				next.unreachable[other.ID] = true
			} else {
				o.unreachable[other.ID] = true
			}
		}
		sim.schedule(6*time.Second, func() {
			clear(next.unreachable)
			clear(o.unreachable)
			o.storeUnreachable = false
			o.disruptedAt, next.disruptedAt = sim.now, sim.now
		})
		return next
	case 2: // an executor crashes and restarts
		x.down = true
		x.loseRuns(sim)
		sim.schedule(time.Duration(sim.rng.IntN(5000))*time.Millisecond, func() {
			if !x.replaced {
				x.restart(sim)
			}
		})
	case 3: // an executor is partitioned
		x.partitioned = true
		sim.schedule(time.Duration(500+sim.rng.IntN(12000))*time.Millisecond, func() { x.partitioned = false })
	case 4: // the store is down
		if !sim.storeDown {
			sim.storeDown = true
			sim.schedule(time.Duration(300+sim.rng.IntN(5000))*time.Millisecond, func() {
				sim.storeDown, sim.storeDisruptedAt = false, sim.now
			})
		}
	case 5: // commands are executed late
		sim.lateCommandShare = 0.1
		sim.schedule(4*time.Second, func() { sim.lateCommandShare = 0 })
	case 7: // the store refuses commits
		sim.storeRefuses = true
		sim.schedule(time.Duration(300+sim.rng.IntN(4000))*time.Millisecond, func() {
			sim.storeRefuses, sim.storeDisruptedAt = false, sim.now
		})
	case 9, 10, 11: // an executor or a failure domain restarts and is partitioned soon after
		return sim.restartSoonCut(o, x)
	case 12: // an executor drains, and the owner changes, before it is partitioned
		return sim.drainSoonCut(o, x)
	case 6: // an executor temporarily loses its entry
		x.unlisted = true
		sim.owners[len(sim.owners)-1].core.RemoveExecutor(sim.now, x.ID)
		sim.schedule(3*time.Second, func() { sim.relist(x) })
	}
	return o
}

func (sim *simulation) relist(x *fakeExecutor) {
	x.unlisted = false
	for _, o := range sim.owners {
		if !o.dead && !x.replaced {
			o.addExecutor(x)
		}
	}
}

// clearFaults ends all faults.
func (sim *simulation) clearFaults(o *owner) {
	sim.storeDown, sim.storeRefuses, sim.lateCommandShare = false, false, 0
	sim.storeDisruptedAt = sim.now
	for _, x := range sim.sortedExecutors() {
		if x.down && !x.replaced {
			x.restart(sim)
		}
		x.partitioned = false
	}
	clear(o.unreachable)
	o.storeUnreachable = false
	sim.advance(3 * time.Second)
	for _, x := range sim.sortedExecutors() {
		if !x.replaced {
			o.addExecutor(x)
		}
	}
}

// tracing reports whether owners print their log entries.
func tracing() bool { return os.Getenv("DAISYRACK_TRACE") != "" }
