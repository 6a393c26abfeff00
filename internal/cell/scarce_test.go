package cell_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/flow"
	"github.com/daisyrack/daisyrack/pkg/place"
)

const (
	// scarceLength is how long jobs arrive. The last burst lasts to the end, so that a backlog remains.
	scarceLength = 24 * time.Second

	// The shares of the fleet's CPU that the jobs of each queue use outside of bursts.
	scarceUrgentShare  = 0.1
	scarceSlowShare    = 0.5
	scarceLastingShare = 0.3
)

// A long-running task whose run has failed, or whose job was accepted, must be started within the time
// that callers allow, although a backlog of less important jobs needs more room and more calls to the
// policy service than there are.
func TestScarceFleetKeepsNoLongRunningTaskWaiting(t *testing.T) {
	t.Parallel()
	for seed := range max(seedCount()/10, 1) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runScarce(t, seed) })
	}
}

// scarceLoad submits the jobs of a fleet with little room to spare.
type scarceLoad struct {
	*waitingCheck
	rng *rand.Rand
	// cores is the number of cores of the fleet.
	cores float64
	end   time.Time
	// burst multiplies the rate of the jobs other than long-running ones.
	burst float64
}

// newScarceFleet returns a simulation with executors of unlike sizes and the policy service of a large
// fleet.
func newScarceFleet(t *testing.T, seed uint64) *simulation {
	sim := newSimulation(t, seed, 0)
	sim.failureShare, sim.lastingFailureShare = 0.03, 0.1
	sim.allowedShare, sim.allowedShares = 0.35, map[string]float64{testQueue: 0.7}
	sim.config.Queues = append(sim.config.Queues, fleet.Queue{
		Name: standingQueue, Service: testService, Priority: 1, MaxAttempts: 3, Stretch: 1.5, Slack: time.Second,
	})
	for i, base := range []time.Duration{38, 494, 585} {
		perExecutor := []time.Duration{500, 7000, 8450}[i]
		sim.config.Queues[i].Advice = &fleet.Advice{
			BaseLatency: base * time.Millisecond, LatencyPerExecutor: perExecutor * time.Microsecond, TicketTTL: 2 * time.Second,
		}
	}
	sim.advisers = 12 + sim.rng.IntN(25)
	for i := range 60 + sim.rng.IntN(61) {
		x := sim.addExecutor(fmt.Sprintf("x%03d", i))
		size := int64(1 + sim.rng.IntN(4))
		x.Capacity = place.Resources{CPUMillis: 8000 * size, MemoryMB: 32000 * size}
		if sim.rng.IntN(2) == 0 {
			x.Capacity.MemoryMB = 32000 * int64(1+sim.rng.IntN(4))
		}
	}
	return sim
}

// runScarce plays one seed: in half of them without faults.
func runScarce(t *testing.T, seed uint64) {
	sim := newScarceFleet(t, seed)
	w := newWaitingCheck(sim)
	w.restartTime = lastingRestartTime
	l := &scarceLoad{waitingCheck: w, rng: sim.arrivals, burst: 1, end: sim.now.Add(time.Second + scarceLength)}
	for _, capacity := range w.full {
		l.cores += float64(capacity.CPUMillis) / 1000
	}
	sim.keepsID = seed%4 == 1
	sim.takeOver()
	sim.advance(time.Second)
	sim.schedule(waitingCheckInterval, w.check)
	l.submitAll()
	if seed%2 == 1 {
		sim.advance(3 * time.Second)
		for range 1 + sim.rng.IntN(4) {
			w.injectFault()
			sim.advance(time.Duration(500+sim.rng.IntN(2000)) * time.Millisecond)
		}
		w.poison = false
	}
	sim.advance(l.end.Sub(sim.now))
	if seed%2 == 1 {
		sim.clearFaults(w.owner())
		w.disrupt(0)
	}
	sim.advance(60 * time.Second)
	sim.expectNoViolations()
	for _, id := range w.ids {
		w.checkFinal(id)
	}
	started := w.owner().core.Stats.Starts
	t.Logf("%d executors, %d advisers, %d jobs, %d starts by the last owner; longest wait of a long-running task: %s (%s)",
		len(w.full), sim.advisers, len(w.ids), started, w.longest, w.longestTask)
	assert.Assert(t, started > 0)
}

// submitAll submits all jobs from now on.
func (l *scarceLoad) submitAll() {
	for begin := 4 * time.Second; begin < scarceLength; begin += 8 * time.Second {
		l.sim.schedule(begin, func() { l.burst = 2 + 0.5*l.rng.Float64() })
		if begin+8*time.Second < scarceLength {
			l.sim.schedule(begin+3*time.Second, func() { l.burst = 1 })
		}
	}
	l.stream(scarceUrgentShare, l.urgentSpec)
	l.stream(scarceSlowShare, l.slowSpec)
	for used := 0.0; used < scarceLastingShare*l.cores; {
		spec := l.lastingSpec()
		used += float64(spec.Steps[0].Count) * float64(spec.Steps[0].Need.CPUMillis) / 1000
		l.sim.schedule(time.Duration(l.rng.Int64N(int64(scarceLength))), func() { l.submit(spec) })
	}
}

// stream submits jobs that use a share of the fleet's CPU until the traffic ends.
func (l *scarceLoad) stream(share float64, next func() flow.Spec) {
	if l.sim.now.After(l.end) {
		return
	}
	spec := next()
	work := 0.0
	for _, s := range spec.Steps {
		work += float64(s.Count) * float64(s.Need.CPUMillis) / 1000 * s.Estimate.Seconds()
	}
	l.submit(spec)
	rate := share * l.cores * l.burst
	l.sim.schedule(time.Duration(work*l.rng.ExpFloat64()/rate*float64(time.Second)), func() { l.stream(share, next) })
}

func (l *scarceLoad) submit(spec flow.Spec) {
	l.submitSpec(fmt.Sprintf("%s%d", spec.Queue, len(l.ids)), spec)
}

// between returns a random number, evenly distributed.
func (l *scarceLoad) between(low, high int64) int64 { return low + l.rng.Int64N(high-low+1) }

func (l *scarceLoad) urgentSpec() flow.Spec {
	spec := flow.Spec{Queue: testQueue, Text: "text"}
	for i := range 2 {
		s := flow.StepSpec{
			Count: int(l.between(4, 16)), Need: place.Resources{CPUMillis: 2200, MemoryMB: 4000},
			Estimate: time.Duration(l.between(400, 1000)) * time.Millisecond,
		}
		if i > 0 {
			s.DependsOn = []int{i - 1}
		}
		spec.Steps = append(spec.Steps, s)
	}
	return spec
}

func (l *scarceLoad) slowSpec() flow.Spec {
	spec := flow.Spec{Queue: slowQueue, Text: "text"}
	for i := range l.between(1, 2) {
		s := flow.StepSpec{
			Count: int(l.between(4, 30)), Need: place.Resources{CPUMillis: 4500, MemoryMB: 9000},
			Estimate: time.Duration(l.between(3600, 6000)) * time.Millisecond, Gang: l.rng.IntN(8) == 0,
		}
		if i > 0 {
			s.DependsOn = []int{int(i) - 1}
		}
		spec.Steps = append(spec.Steps, s)
	}
	return spec
}

// lastingSpec returns a long-running job; its estimate is about when its failing runs fail.
func (l *scarceLoad) lastingSpec() flow.Spec {
	s := flow.StepSpec{
		Count: int(l.between(1, 40)), Need: place.Resources{CPUMillis: l.between(1400, 7600), MemoryMB: l.between(1000, 33000)},
		Estimate: time.Duration(l.between(3000, 16000)) * time.Millisecond, LongRunning: true,
	}
	if l.rng.Float64() < 0.7 {
		s.MaxPerExecutor = int(l.between(1, 2))
	}
	return flow.Spec{Queue: standingQueue, Text: "text", Steps: []flow.StepSpec{s}}
}
