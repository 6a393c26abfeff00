package cell_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/cell"
	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/flow"
	"github.com/daisyrack/daisyrack/pkg/place"
)

const (
	// nearFleetSize is the number of executors of the near plays, executorsOfRack to a rack. The first rack holds the
	// data of the crowd.
	nearFleetSize, executorsOfRack = 84, 12
	crowdRack                      = "r0"

	nearLength           = 20 * time.Second
	crowdAt, crowdLength = 8 * time.Second, 5 * time.Second
	// Shares of the steps that have data on some rack, of those during the crowd that have it on one, and of steps that
	// are slower on several racks for each one with data.
	nearShare, crowdShare, sameRackShare = 0.3, 0.7, 0.3
)

// newNearFleet returns a fleet as that of the "previews" deployment, a quarter in size, on which tasks take slowdown
// times as long away from their data. The owner knows that if aware is set.
func newNearFleet(t testing.TB, seed uint64, slowdown float64, aware bool) *simulation {
	sim := newSimulation(t, seed, 0)
	sim.allowedShare, sim.failureShare, sim.remoteSlowdown, sim.nearShare = 0.5, 0.01, slowdown, nearShare
	if aware {
		sim.ownerSlowdown = slowdown
	}
	sim.config.Queue(testQueue).Advice = &fleet.Advice{BaseLatency: 26 * time.Millisecond, LatencyPerExecutor: 364 * time.Microsecond, TicketTTL: 2500 * time.Millisecond}
	slow := sim.config.Queue(slowQueue)
	slow.Advice = &fleet.Advice{BaseLatency: 507 * time.Millisecond, LatencyPerExecutor: 7 * time.Millisecond, TicketTTL: 2500 * time.Millisecond}
	slow.Stretch, slow.Slack = 2.2, 1200*time.Millisecond
	sizes, speeds := [...]int64{1, 2, 2, 4}, [...]float64{1, 1, 1.3}
	for i := range nearFleetSize {
		x := sim.addExecutor(fmt.Sprintf("x%03d", i))
		rack := i / executorsOfRack
		x.Rack, x.Domain = fmt.Sprintf("r%d", rack), string(rune('a'+rack%4))
		x.slowdown = speeds[i%len(speeds)]
		size := sizes[i%len(sizes)]
		x.Capacity = place.Resources{CPUMillis: 16000 * size, MemoryMB: 32768 * size}
	}
	for i := range 3 {
		sim.config.Teams = append(sim.config.Teams, fleet.Team{Name: fmt.Sprintf("team%d", i), Weight: 1})
	}
	return sim
}

// playNearLoad plays an ordinary load, of which nearShare of the steps have data on some rack. With a crowd, crowdShare
// of them have it on one rack for a while. Estimates are off by up to error.
func (sim *simulation) playNearLoad(o *owner, level, estimateError float64, crowd bool) {
	const fraction = float64(nearFleetSize) / largeFleetSize * 1.15
	begin := sim.now
	rng := rand.New(rand.NewPCG(sim.seed, 5))
	modify := func(s *flow.StepSpec) {
		s.Image = fmt.Sprintf("image%d", rng.IntN(12))
		h := rand.New(rand.NewPCG(sim.seed, uint64(s.Image[len(s.Image)-1])))
		factor := 1 + estimateError*(2*h.Float64()-1)
		sim.actualRatio[s.Image] = 1 / factor
		s.Estimate = time.Duration(float64(s.Estimate) * factor)
		at := sim.now.Sub(begin)
		switch share := rng.Float64(); {
		case crowd && at > crowdAt && at < crowdAt+crowdLength && share < crowdShare:
			s.DataRack = crowdRack
		case share < sim.nearShare:
			s.DataRack = fmt.Sprintf("r%d", rng.IntN(nearFleetSize/executorsOfRack))
		case share < sim.nearShare*(1+sameRackShare):
			s.SameRack = true
		}
	}
	team := func(spec *flow.Spec) { spec.Team = sim.config.Teams[rng.IntN(len(sim.config.Teams))].Name }
	sim.submitLoad(o, workload{queue: testQueue, rate: 33.2 * fraction * level, steps: 2, count: 10, estimate: 640 * time.Millisecond, cpuMillis: 4500, modify: modify, modifyJob: team}, nearLength)
	sim.submitLoad(o, workload{queue: slowQueue, rate: 6 * fraction * level, steps: 2, count: 14, estimate: 6 * time.Second, cpuMillis: 9000, modify: modify, modifyJob: team}, nearLength)
	sim.advance(nearLength + 80*time.Second)
}

// nearOutcome is what callers got of a play: by queue and by team, the mean time to completion and what was earned
// (1 for each job in its objective, a fifth up to three times the objective); and the tasks away from their data.
type nearOutcome struct {
	mean, earned map[string]float64
	away, all    int
	// spread is the number of steps on several racks that are slower there.
	spread int
}

func (sim *simulation) nearOutcome() nearOutcome {
	out := nearOutcome{mean: make(map[string]float64), earned: make(map[string]float64)}
	n := make(map[string]float64)
	for id, at := range sim.endedAt {
		spec := sim.specs[id]
		took, objective := at.Sub(spec.Accepted), sim.objective(id)
		earned := 0.0
		switch {
		case took <= objective:
			earned = 1
		case took <= 3*objective:
			earned = 0.2
		}
		kind := "data"
		if !slices.ContainsFunc(spec.Steps, func(s flow.StepSpec) bool { return s.DataRack != "" }) {
			kind = "no data"
		}
		for _, key := range []string{"all", spec.Queue, spec.Team, kind} {
			n[key]++
			out.mean[key] += took.Seconds()
			out.earned[key] += earned
		}
	}
	for key := range n {
		out.mean[key] /= n[key]
		out.earned[key] /= n[key]
	}
	racks := make(map[fleet.StepID]map[string]bool)
	for t, spans := range sim.history {
		step := fleet.StepID{Job: t.Job, Step: t.Step}
		if spec := sim.specOf(t); spec.SameRack && spec.DataRack == "" {
			if racks[step] == nil {
				racks[step] = make(map[string]bool)
			}
			racks[step][sim.execs[spans[0].executor].Rack] = true
		}
		for _, sp := range spans {
			if rack := sim.specOf(t).DataRack; rack != "" {
				out.all++
				if sim.execs[sp.executor].Rack != rack {
					out.away++
				}
			}
		}
	}
	for _, r := range racks {
		if len(r) > 1 {
			out.spread++
		}
	}
	return out
}

// add adds the figures of another play, as a mean of n plays.
func (o *nearOutcome) add(other nearOutcome, n int) {
	for key, mean := range other.mean {
		o.mean[key] += mean / float64(n)
		o.earned[key] += other.earned[key] / float64(n)
	}
	o.away, o.all, o.spread = o.away+other.away, o.all+other.all, o.spread+other.spread
}

// On a day with a crowd of jobs for one rack at most half as many tasks run away from their data as without waits, jobs
// take less time, and nobody is served worse: no class, no team, and no jobs without data by more than 0.01 of what they
// earn. Guards against waits that cost more than they gain; estimates are off by up to 90%.
func TestWaitsForNearPlacesDuringCrowd(t *testing.T) {
	const seeds, tolerance = 4, 0.01
	for name, crowd := range map[string]bool{"ordinary": false, "crowd": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var outcomes [2]nearOutcome
			for i, aware := range []bool{false, true} {
				outcomes[i] = nearOutcome{mean: make(map[string]float64), earned: make(map[string]float64)}
				for seed := range uint64(seeds) {
					sim := newNearFleet(t, seed, 2.5, aware)
					o := sim.takeOver()
					sim.advance(time.Second)
					sim.playNearLoad(o, 0.9, 0.9, crowd)
					sim.expectNoViolations()
					assert.Equal(t, len(sim.endedAt), sim.submitted)
					assert.Equal(t, o.core.Stats.NearWaits > 0, aware)
					outcomes[i].add(sim.nearOutcome(), seeds)
				}
			}
			before, after := outcomes[0], outcomes[1]
			t.Logf("tasks away from their data %d of %d, before %d; spread steps %d, before %d", after.away, after.all, before.away, after.spread, before.spread)
			for _, key := range slices.Sorted(maps.Keys(before.mean)) {
				t.Logf("%s: mean %.2f s, before %.2f; earned %.3f, before %.3f", key, after.mean[key], before.mean[key], after.earned[key], before.earned[key])
				assert.Assert(t, after.earned[key] >= before.earned[key]-tolerance, key)
			}
			assert.Assert(t, 2*after.away <= before.away)
			assert.Assert(t, after.spread <= before.spread)
			assert.Assert(t, after.mean["all"] < before.mean["all"])
		})
	}
}

// Guards against decisions about other steps that depend on the slowdown, and against waits without a known one.
func TestPlayWithoutNearStepsIsIdentical(t *testing.T) {
	play := func(slowdown, share float64) *simulation {
		sim := newNearFleet(t, 1, 2.5, false)
		sim.ownerSlowdown, sim.nearShare = slowdown, share
		o := sim.takeOver()
		sim.advance(time.Second)
		sim.playNearLoad(o, 0.9, 0.9, false)
		assert.Equal(t, o.core.Stats.NearWaits, int64(0))
		return sim
	}
	for _, c := range []struct{ share, slowdown float64 }{{0, 2.5}, {nearShare, 1}} {
		without, with := play(0, c.share), play(c.slowdown, c.share)
		assert.Equal(t, len(with.history), len(without.history))
		for task, spans := range without.history {
			others := with.history[task]
			assert.Equal(t, len(others), len(spans))
			for i, sp := range spans {
				assert.Equal(t, *others[i], *sp)
			}
		}
	}
}

// newTwoRacks returns an owner of four executors of 8 cores, two on each of the racks "near" and "far", whose tasks take
// three times as long away from their data. Without advice each executor can be used.
func newTwoRacks(t *testing.T, advice bool) (*simulation, *owner) {
	sim := newSimulation(t, 1, 0)
	sim.failureShare, sim.remoteSlowdown, sim.ownerSlowdown = 0, 3, 3
	if advice {
		sim.allowedShare = 1
		sim.config.Queue(slowQueue).Advice = &fleet.Advice{BaseLatency: 400 * time.Millisecond, LatencyPerExecutor: 5 * time.Millisecond, TicketTTL: 2500 * time.Millisecond}
	}
	for i, rack := range []string{"near", "near", "far", "far"} {
		x := sim.addExecutor(fmt.Sprintf("x%d", i))
		x.Rack, x.Domain, x.Labels = rack, "a", []string{rack}
	}
	o := sim.takeOver()
	sim.advance(time.Second)
	return sim, o
}

// racksOf returns how many tasks of a job ran on each rack.
func (sim *simulation) racksOf(job string) map[string]int {
	racks := make(map[string]int)
	for task, spans := range sim.history {
		if task.Job == job {
			racks[sim.execs[spans[0].executor].Rack]++
		}
	}
	return racks
}

func nearStep(queue string, count int, cpuMillis int64, estimate time.Duration) flow.Spec {
	spec := singleStep(queue, count, estimate)
	spec.Steps[0].DataRack, spec.Steps[0].Need.CPUMillis = "near", cpuMillis
	return spec
}

// occupy fills the near rack with tasks of 2 cores that need it, and leaves others waiting for room there.
func (sim *simulation) occupy(o *owner) {
	for i := range 20 {
		spec := singleStep(testQueue, 1, time.Second+time.Duration(i%16)*150*time.Millisecond)
		spec.Steps[0].RequiredLabel = "near"
		sim.submit(o, fmt.Sprintf("other%d", i), spec)
	}
	sim.advance(2500 * time.Millisecond)
	assert.Equal(sim.t, len(sim.execs["x0"].runs)+len(sim.execs["x1"].runs), 8)
}

// Guards against tasks that start away from their data at once although a place there comes free soon, also where the
// policy service takes as long to allow it as the place would stay free.
func TestStepWaitsForRackThatComesFreeSoon(t *testing.T) {
	for _, advice := range []bool{false, true} {
		sim, o := newTwoRacks(t, advice)
		sim.occupy(o)
		sim.submit(o, "job", nearStep(slowQueue, 3, 2000, 4*time.Second))
		sim.advance(20 * time.Second)
		assert.DeepEqual(t, sim.racksOf("job"), map[string]int{"near": 3})
		assert.Equal(t, o.core.State("job").State, flow.Completed)
		assert.Assert(t, o.core.Stats.NearPlaces > 0)
		sim.expectNoViolations()
	}
}

// Guards against waits for a rack on which long-running tasks take all room: none of them ends.
func TestStepDoesNotWaitForRackThatNeverComesFree(t *testing.T) {
	sim, o := newTwoRacks(t, false)
	spec := nearStep(slowQueue, 8, 2000, time.Second)
	spec.Steps[0].LongRunning = true
	sim.submit(o, "lasting", spec)
	sim.advance(time.Second)
	assert.DeepEqual(t, sim.racksOf("lasting"), map[string]int{"near": 8})
	sim.submit(o, "job", nearStep(slowQueue, 3, 2000, 4*time.Second))
	sim.advance(200 * time.Millisecond)
	assert.DeepEqual(t, sim.racksOf("job"), map[string]int{"far": 3})
	assert.Equal(t, o.core.Stats.NearWaits, int64(0))
}

// Guards against a step that goes on waiting for a rack that leaves.
func TestWaitEndsWhenRackLeaves(t *testing.T) {
	sim, o := newTwoRacks(t, false)
	sim.occupy(o)
	sim.submit(o, "job", nearStep(slowQueue, 3, 2000, 6*time.Second))
	sim.advance(100 * time.Millisecond)
	assert.Equal(t, o.core.Stats.NearWaits, int64(1))
	assert.Equal(t, len(sim.racksOf("job")), 0)
	for _, id := range []string{"x0", "x1"} {
		sim.execs[id].Draining = true
		o.addExecutor(sim.execs[id])
	}
	sim.advance(300 * time.Millisecond)
	assert.DeepEqual(t, sim.racksOf("job"), map[string]int{"far": 3})
	assert.Equal(t, o.core.Stats.NearGivenUp, int64(1))
}

// Guards against a wait that keeps room from others, or lasts longer than a near place is worth.
func TestWaitIsBoundedAndHoldsNoRoom(t *testing.T) {
	sim, o := newTwoRacks(t, false)
	sim.occupy(o)
	begin := sim.now
	sim.submit(o, "job", nearStep(slowQueue, 1, 2000, 2*time.Second))
	sim.advance(50 * time.Millisecond)
	assert.Equal(t, o.core.Stats.NearWaits, int64(1))
	spec := singleStep(slowQueue, 4, 500*time.Millisecond)
	sim.submit(o, "other", spec)
	sim.advance(100 * time.Millisecond)
	assert.DeepEqual(t, sim.racksOf("other"), map[string]int{"far": 4})
	sim.advance(10 * time.Second)
	sp := sim.history[fleet.TaskID{Job: "job"}]
	const mostHarm = 2 // waiting may take twice what it gains
	assert.Assert(t, len(sp) == 1 && sp[0].begin.Sub(begin) < mostHarm*(3-1)*2*time.Second)
}

// Guards against a gang that is spread over racks although one has room for all of it: urgent tasks take part of the rack
// that had the most room when the step became ready.
func TestGangStaysOnRackWithRoom(t *testing.T) {
	sim, o := newTwoRacks(t, false)
	first := singleStep(slowQueue, 1, time.Second) // its commit is in flight while the two others are submitted
	first.Steps[0].RequiredLabel = "near"
	sim.submit(o, "first", first)
	gang := singleStep(slowQueue, 6, time.Second)
	gang.Steps[0].Gang, gang.Steps[0].SameRack = true, true
	sim.submit(o, "gang", gang)
	urgent := singleStep(testQueue, 5, 4*time.Second)
	urgent.Steps[0].RequiredLabel = "far"
	sim.submit(o, "urgent", urgent)
	sim.advance(time.Second)
	assert.DeepEqual(t, sim.racksOf("urgent"), map[string]int{"far": 5})
	assert.DeepEqual(t, sim.racksOf("gang"), map[string]int{"near": 6})
}

// Guards against jobs that are lost or wait for ever when the owner changes while their steps wait: the wait starts anew.
func TestWaitsEndAfterChangeOfOwner(t *testing.T) {
	sim := newNearFleet(t, 3, 2.5, true)
	o := sim.takeOver()
	sim.advance(time.Second)
	var successor *owner
	sim.schedule(crowdAt+2*time.Second, func() {
		assert.Assert(t, o.core.Stats.NearWaits > 0)
		successor = sim.handOver(o)
	})
	sim.playNearLoad(o, 0.5, 0.9, true)
	sim.expectNoViolations()
	found := 0
	for id := range sim.specs {
		if reply := successor.core.State(id); reply.Outcome == cell.Found {
			found++
			assert.Assert(t, reply.State.Final(), id)
		}
	}
	assert.Assert(t, found > 20, "%d jobs", found)
}
