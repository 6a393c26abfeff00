package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/cell"
	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/flow"
	"github.com/daisyrack/daisyrack/pkg/place"
)

const (
	// burstFleetSize is the size of the fleet of the burst tests, a fifth of the largest one.
	burstFleetSize = 220

	// The bursts of the users' day on which too little urgent work was done in time: long jobs come 2.6 times
	// as often from 2.3 s on, urgent ones 2.2 times as often from 5.9 s on.
	longBurstAt, longBurstLength, longBurstFactor       = 2300 * time.Millisecond, 6200 * time.Millisecond, 2.6
	urgentBurstAt, urgentBurstLength, urgentBurstFactor = 5900 * time.Millisecond, 4 * time.Second, 2.2
	burstLength                                         = 16 * time.Second

	// lossAt and lossLength are when a share of the executors lose the responses to calls that they have executed.
	lossAt, lossLength = 5980 * time.Millisecond, 6260 * time.Millisecond
)

// outcome counts the jobs of a queue by what their callers got.
type outcome struct {
	submitted, inTime, late, tooLate, failed, rejected int
}

func (o outcome) share(n int) float64 { return float64(n) / float64(max(o.submitted, 1)) }

// objective returns the time within which a job has to end: Stretch times its longest chain of actual work, runs
// that fail by their own fault included, one call for advice on 30 executors a step, and Slack.
func (sim *simulation) objective(id string) time.Duration {
	spec := sim.specs[id]
	q := sim.config.Queue(spec.Queue)
	ends := make([]time.Duration, len(spec.Steps))
	var chain time.Duration
	for s := range spec.Steps {
		var begin, longest time.Duration
		for _, before := range spec.Steps[s].DependsOn {
			begin = max(begin, ends[before])
		}
		for i := range spec.Steps[s].Count {
			t := fleet.TaskID{Job: id, Step: s, Index: i}
			work := sim.runTime(t)
			for _, sp := range sim.history[t] {
				if sp.kind == fleet.Failed && !sp.open {
					work += sp.end.Sub(sp.begin)
				}
			}
			longest = max(longest, work)
		}
		if q.Advice != nil {
			longest += q.Advice.BaseLatency + 30*q.Advice.LatencyPerExecutor
		}
		ends[s] = begin + longest
		chain = max(chain, ends[s])
	}
	return time.Duration(q.Stretch*float64(chain)) + q.Slack
}

// outcomeOf returns what the callers got who submitted jobs to a queue from the given time on, for a time.
func (sim *simulation) outcomeOf(o *owner, queue string, from time.Time, length time.Duration) outcome {
	var out outcome
	for id := range sim.submittedTo[queue] {
		spec := sim.specs[id]
		if at := spec.Accepted.Sub(from); at < 0 || at >= length {
			continue
		}
		out.submitted++
		state := o.core.State(id)
		at, ended := sim.endedAt[id]
		took, objective := at.Sub(spec.Accepted), sim.objective(id)
		switch {
		case state.Outcome == cell.Absent:
			out.rejected++
		case !ended || state.State != flow.Completed:
			out.failed++
		case took <= objective:
			out.inTime++
		case took <= 3*objective:
			out.late++
		default:
			out.tooLate++
		}
	}
	return out
}

// vary gives the steps of a load the spread of the users' jobs.
func (sim *simulation) vary(load workload) workload {
	load.modify = func(s *flow.StepSpec) {
		s.Count = max(1, min(int(float64(load.count)*sim.arrivals.ExpFloat64()), 6*load.count))
		s.Estimate = time.Duration(float64(load.estimate) * (0.5 + sim.arrivals.Float64()))
		s.Need = place.Resources{
			CPUMillis: int64(float64(load.cpuMillis) * (0.5 + sim.arrivals.Float64())),
			MemoryMB:  int64(9500 * (0.4 + 1.2*sim.arrivals.Float64())),
		}
		switch load.queue {
		case testQueue:
			s.AllowConcurrentRuns = sim.arrivals.Float64() < 0.3
			if sim.arrivals.Float64() < 0.15 {
				s.MaxPerExecutor = 1
			}
		case slowQueue:
			s.SavesCheckpoints = sim.arrivals.Float64() < 0.8
		}
	}
	return load
}

// submitBursts submits the jobs of the bursts, which come beside a load, counted from now on.
func (sim *simulation) submitBursts(o *owner, loads []workload) {
	burst := func(load workload, factor float64, at, length time.Duration) {
		load.rate *= factor - 1
		sim.schedule(at, func() { sim.submitLoad(o, sim.vary(load), length) })
	}
	burst(loads[1], longBurstFactor, longBurstAt, longBurstLength)
	burst(loads[0], urgentBurstFactor, urgentBurstAt, urgentBurstLength)
}

// loseResponses makes a share of the responses to calls get lost in the time in which they do on the users' day,
// counted from now on.
func (sim *simulation) loseResponses(share float64) {
	sim.schedule(lossAt, func() { sim.lostPollShare, sim.lostCommandShare = share, share })
	sim.schedule(lossAt+lossLength, func() { sim.lostPollShare, sim.lostCommandShare = 0, 0 })
}

// playBursts plays the bursts while the responses to a share of the calls get lost, and returns what the callers
// got who submitted urgent jobs during the burst of these.
func playBursts(t *testing.T, seed uint64, lost float64) outcome {
	t.Helper()
	sim := newLargestFleet(t, seed, burstFleetSize)
	sim.allowedShare, sim.failureShare = 0.6, 0.05
	sim.costs = ownerCosts(1)
	o := sim.takeOver()
	sim.advance(time.Second)
	begin := sim.now
	loads := heavyLoad(burstFleetSize)
	for _, load := range loads {
		sim.submitLoad(o, sim.vary(load), burstLength)
	}
	sim.submitBursts(o, loads)
	sim.loseResponses(lost)
	sim.advance(burstLength + time.Minute)
	sim.expectNoViolations()
	out := sim.outcomeOf(o, testQueue, begin.Add(urgentBurstAt), urgentBurstLength)
	t.Logf("seed %d, %.3f lost: %+v; %d starts, %d polls, %d missed, %d second runs", seed, lost, out,
		o.core.Stats.Starts, o.core.Stats.Polls, o.core.Stats.MissedPolls, o.core.Stats.SpeculativeRuns)
	return out
}

// Lost responses must not make urgent jobs late in bursts: the objective leaves half of a job's work and 0.25 s
// for waits, and a call whose response got lost takes 0.3 s. So of the jobs that are in time without losses, at
// least four fifths must be in time with one response in sixteen lost. In each play the urgent jobs must earn the
// highest floor of the users' days, where a late job earns a fifth.
func TestUrgentJobsInBurstsWithLostResponses(t *testing.T) {
	t.Parallel()
	const (
		lostShare = 0.064
		floor     = 0.46
	)
	calm, lossy := 0, 0
	for seed := range uint64(4) {
		calm += playBursts(t, seed, 0).inTime
		out := playBursts(t, seed, lostShare)
		lossy += out.inTime
		assert.Check(t, out.earned() >= floor, "seed %d: %.2f earned", seed, out.earned())
	}
	assert.Check(t, float64(lossy) >= 0.8*float64(calm), "%d jobs in time, %d without losses", lossy, calm)
}

const (
	// storeAwayAt and storeAwayLength are when the store does not serve the owner, so that its commits go through
	// another instance.
	storeAwayAt, storeAwayLength = 2550 * time.Millisecond, 9140 * time.Millisecond

	// dayLength is how long jobs arrive in the plays of the users' day.
	dayLength = 24 * time.Second

	// calmAt is when the bursts, the losses and the outage of the store have been over for a second.
	calmAt = 13240 * time.Millisecond
)

// dayOutcome is what callers got: those of urgent jobs in the burst, after it and on the whole day, and those of long
// jobs.
type dayOutcome struct {
	burst, after, all, long outcome
}

// earned returns the share of the worth that is earned, where a late job earns a fifth.
func (o outcome) earned() float64 {
	const lateCredit = 0.2
	return o.share(o.inTime) + lateCredit*o.share(o.late)
}

// playDay plays a day for an owner whose loop, calls, polls and commits share one processor, and whose work costs
// factor times as much as planned. If it is disturbed, the bursts, the lost responses and the outage of the store of
// the users' day come with it.
func playDay(t *testing.T, seed uint64, factor float64, disturbed bool) dayOutcome {
	t.Helper()
	sim := newLargestFleet(t, seed, burstFleetSize)
	sim.allowedShare, sim.failureShare = 0.6, 0.05
	sim.costs, sim.sharedProcessor = ownerCosts(factor), true
	o := sim.takeOver()
	sim.advance(time.Second)
	begin := sim.now
	loads := heavyLoad(burstFleetSize)
	for _, load := range loads {
		sim.submitLoad(o, sim.vary(load), dayLength)
	}
	if disturbed {
		sim.submitBursts(o, loads)
		sim.loseResponses(0.064)
		sim.schedule(storeAwayAt, func() { sim.storeRelayed = true })
		sim.schedule(storeAwayAt+storeAwayLength, func() { sim.storeRelayed = false })
	}
	sim.advance(dayLength)
	busy := o.loop.processor.busy.Seconds() / dayLength.Seconds()
	sim.advance(time.Minute)
	sim.expectNoViolations()
	out := dayOutcome{
		burst: sim.outcomeOf(o, testQueue, begin.Add(urgentBurstAt), urgentBurstLength),
		after: sim.outcomeOf(o, testQueue, begin.Add(calmAt), dayLength-calmAt),
		all:   sim.outcomeOf(o, testQueue, begin, dayLength),
		long:  sim.outcomeOf(o, slowQueue, begin, dayLength),
	}
	t.Logf("seed %d, cost %.1f, disturbed %t: burst %+v, %.2f earned; after %+v; all %+v, %.2f earned; long %+v, %.2f earned; processor busy for %.2f; %d starts, %d polls, %d missed, %d resent, %d second runs",
		seed, factor, disturbed, out.burst, out.burst.earned(), out.after, out.all, out.all.earned(), out.long, out.long.earned(), busy,
		o.core.Stats.Starts, o.core.Stats.Polls, o.core.Stats.MissedPolls, o.core.Stats.Resent, o.core.Stats.SpeculativeRuns)
	return out
}

// An outage of the store for the owner, lost responses and bursts must not leave an owner late after they have ended,
// though its loop shares the processor with its calls, polls and commits. The urgent jobs of the burst must earn the
// highest floor of the users' days, and of those that come a second after the end of all, four fifths of the jobs must
// be in time that are on an undisturbed day.
func TestOwnerRecoversFromBurstsLossesAndStoreOutage(t *testing.T) {
	t.Parallel()
	const floor = 0.46
	calm, after := 0, 0
	for seed := range uint64(3) {
		calm += playDay(t, seed, 1, false).after.inTime
		out := playDay(t, seed, 1, true)
		after += out.after.inTime
		assert.Check(t, out.burst.earned() >= floor, "seed %d: %.2f earned in the burst", seed, out.burst.earned())
	}
	assert.Check(t, float64(after) >= 0.8*float64(calm), "%d jobs in time after the disruptions, %d without them", after, calm)
}

// Where the owner's work costs more processor time than planned, callers must lose in proportion: with twice the cost
// each queue earns half of what it does with the planned cost, less a tenth, though the bursts, losses and store outage
// of the users' day come with it. An owner that accepts all jobs makes all of them late.
func TestCallersLoseInProportionToCost(t *testing.T) {
	for seed := range uint64(2) {
		planned := playDay(t, seed, 1, true)
		for _, factor := range []float64{1.5, 2, 3} {
			out := playDay(t, seed, factor, true)
			least := 0.9 / factor
			assert.Check(t, out.all.earned() >= least*planned.all.earned(), "seed %d, cost %.1f: urgent jobs earn %.2f, %.2f at the planned cost",
				seed, factor, out.all.earned(), planned.all.earned())
			assert.Check(t, out.long.earned() >= least*planned.long.earned(), "seed %d, cost %.1f: long jobs earn %.2f, %.2f at the planned cost",
				seed, factor, out.long.earned(), planned.long.earned())
		}
	}
}
