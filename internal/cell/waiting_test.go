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

const (
	// maxWait is how long work may wait that can start, from calmTime after the last disruption on.
	maxWait  = 3 * time.Second
	calmTime = 4 * time.Second

	// lastingRestartTime is how long after its last run a long-running task counts as waiting.
	lastingRestartTime = 6 * time.Second

	// finishTime is the time from the end of the traffic until no work may wait any more.
	finishTime = 14 * time.Second

	// waitingCheckInterval is the time between two checks of all jobs.
	waitingCheckInterval = 100 * time.Millisecond
)

// waitingCheck checks all accepted jobs for work that can start and waits, and for jobs that are lost.
type waitingCheck struct {
	sim     *simulation
	replies map[string]*cell.Reply
	ids     []string
	// calmFrom is when the last disruption is over.
	calmFrom time.Time
	// since holds since when work that can start has been waiting, reported what was reported, and poison
	// is set while many jobs are submitted of which all runs fail.
	since    map[string]time.Time
	reported map[string]bool
	poison   bool
	// restartTime is how long after its last run a long-running task may start before it counts as waiting.
	restartTime time.Duration
	// full holds the usual capacity of each machine.
	full map[string]place.Resources
	// longest is the longest wait of a long-running task that could start, and longestTask that task.
	longest     time.Duration
	longestTask string
}

// newWaitingCheck returns a check of the jobs submitted from now on.
func newWaitingCheck(sim *simulation) *waitingCheck {
	w := &waitingCheck{
		sim: sim, replies: make(map[string]*cell.Reply), since: make(map[string]time.Time), reported: make(map[string]bool),
		calmFrom: sim.now, restartTime: lastingRestartTime - maxWait, full: make(map[string]place.Resources),
	}
	for _, x := range sim.sortedExecutors() {
		w.full[machineOf(x.ID)] = x.Capacity
	}
	return w
}

// Work that can start must not wait for longer than maxWait while the cell is calm, and no job may be
// lost or be shown as failed without cause.
func TestWorkThatCanStartDoesNotWait(t *testing.T) {
	t.Parallel()
	for seed := range seedCount() / 4 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runWaiting(t, seed) })
	}
}

func runWaiting(t *testing.T, seed uint64) {
	sim := newSimulation(t, seed, 0)
	for i := range 12 {
		x := sim.addExecutor(fmt.Sprintf("x%d%d", i/4, i%4))
		if i%3 == 0 {
			x.Labels = []string{"special"}
		}
	}
	sim.keepsID = seed%5 == 0
	sim.lastingFailureShare = 0.2
	if seed%2 == 1 {
		sim.allowedShare = 0.6
		for i := range sim.config.Queues {
			sim.config.Queues[i].Advice = &fleet.Advice{
				BaseLatency: time.Duration(20+200*i) * time.Millisecond, LatencyPerExecutor: time.Millisecond, TicketTTL: 2 * time.Second,
			}
		}
	}
	w := newWaitingCheck(sim)
	sim.takeOver()
	sim.schedule(waitingCheckInterval, w.check)
	sim.advance(time.Second)
	for range 3 {
		for range 6 {
			for range 1 + sim.rng.IntN(3) {
				w.submit()
			}
			w.injectFault()
			sim.advance(time.Duration(100+sim.rng.IntN(900)) * time.Millisecond)
		}
		for end := maxTime(sim.now, w.calmFrom).Add(calmTime + 8*time.Second); sim.now.Before(end); {
			w.submit()
			if sim.rng.IntN(12) == 0 {
				w.poison = !w.poison
			}
			sim.advance(time.Duration(100+sim.rng.IntN(500)) * time.Millisecond)
		}
		w.poison = false
	}
	sim.clearFaults(w.owner())
	w.calmFrom = sim.now.Add(finishTime - calmTime)
	sim.advance(60 * time.Second)
	sim.expectNoViolations()
	sim.expectBoundedCrashes()
	for _, task := range sim.givenUp {
		assert.Check(t, sim.deadly[task], "%v was given up and does not crash its executors, after %d crashes", task, len(sim.crashes[task]))
	}
	for _, id := range w.ids {
		w.checkFinal(id)
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (w *waitingCheck) owner() *owner { return w.sim.owners[len(w.sim.owners)-1] }

// disrupt records that a disruption lasts for d from now on.
func (w *waitingCheck) disrupt(d time.Duration) {
	w.calmFrom = maxTime(w.calmFrom, w.sim.now.Add(d))
}

// submit submits a random job, some with a step of which all runs fail or a task that crashes executors.
func (w *waitingCheck) submit() {
	sim := w.sim
	id := fmt.Sprintf("j%d", len(w.ids))
	spec := w.randomSpec()
	share := 0.03
	if w.poison {
		share = 0.5
	}
	switch step := sim.rng.IntN(len(spec.Steps)); {
	case sim.rng.Float64() < share:
		for i := range spec.Steps[step].Count {
			sim.hopeless[fleet.TaskID{Job: id, Step: step, Index: i}] = true
		}
		spec.Steps[step].Estimate = min(spec.Steps[step].Estimate, 300*time.Millisecond)
	case sim.seed%4 >= 2 && sim.rng.Float64() < 0.05:
		sim.deadly[fleet.TaskID{Job: id}] = true
	}
	w.submitSpec(id, spec)
}

func (w *waitingCheck) submitSpec(id string, spec flow.Spec) {
	w.ids = append(w.ids, id)
	w.replies[id] = w.sim.submit(w.owner(), id, spec)
}

func (w *waitingCheck) randomSpec() flow.Spec {
	rng := w.sim.rng
	spec := w.sim.randomSpec()
	lasting := len(w.ids)%20 == 5
	for i := range spec.Steps {
		s := &spec.Steps[i]
		switch rng.IntN(8) {
		case 0, 1:
			s.Gang, s.AllowConcurrentRuns = true, false
		case 2:
			s.RequiredLabel = "special"
		case 3:
			s.SavesCheckpoints = true
		case 4:
			s.BestEffort = true
		case 5:
			s.SameRack = true
		case 6:
			s.DataRack = fmt.Sprintf("r%d", rng.IntN(4))
		}
		if lasting {
			s.LongRunning, s.Gang, s.AllowConcurrentRuns = true, false, false
			s.Count, s.Need.CPUMillis = min(s.Count, 3), min(s.Need.CPUMillis, 1000)
		}
	}
	if lasting {
		spec.Steps = spec.Steps[:1]
	}
	return spec
}

// injectFault injects one random fault.
func (w *waitingCheck) injectFault() {
	sim := w.sim
	rng := sim.rng
	var all []*fakeExecutor
	for _, x := range sim.sortedExecutors() {
		if !x.replaced {
			all = append(all, x)
		}
	}
	x := all[rng.IntN(len(all))]
	d := time.Duration(1000+rng.IntN(3000)) * time.Millisecond
	switch rng.IntN(11) {
	case 0: // the owner is killed several times
		for i := range 1 + rng.IntN(3) {
			sim.schedule(time.Duration(i*(200+rng.IntN(1300)))*time.Millisecond, func() {
				w.owner().dead = true
				sim.takeOver()
				w.disrupt(0)
			})
		}
		w.disrupt(4 * time.Second)
	case 1: // a rack crashes
		for _, other := range all {
			if other.Rack == x.Rack && !other.down {
				other.crash(sim)
			}
		}
		w.disrupt(crashDownTime)
	case 2: // everything loses power
		w.owner().dead = true
		for _, other := range all {
			other.down = true
			other.loseRuns(sim)
			sim.schedule(time.Duration(500+rng.IntN(2500))*time.Millisecond, func() {
				if !other.replaced && other.down {
					other.restart(sim)
				}
			})
		}
		sim.schedule(d/2, func() { w.owner().dead = true; sim.takeOver(); w.disrupt(0) })
		w.disrupt(4 * time.Second)
	case 3: // executors fail all runs
		x.failAll = true
		sim.schedule(d, func() { x.failAll = false })
		w.disrupt(d)
	case 4: // executors shrink
		for _, other := range all {
			if rng.IntN(3) == 0 {
				full := w.full[machineOf(other.ID)]
				other.resize(sim, place.Resources{CPUMillis: full.CPUMillis / 8 * int64(1+rng.IntN(5)), MemoryMB: full.MemoryMB / 4})
			}
		}
		sim.schedule(d, func() {
			for _, other := range sim.sortedExecutors() {
				other.resize(sim, w.full[machineOf(other.ID)])
			}
		})
		w.disrupt(d + beatInterval)
	case 5: // the policy service fails or is slow
		if rng.IntN(2) == 0 {
			sim.adviceFails = true
		} else {
			sim.adviceDelay = time.Second
		}
		sim.schedule(d, func() { sim.adviceFails, sim.adviceDelay = false, 0 })
		w.disrupt(d)
	case 6: // an executor stands still
		x.hang(sim, d)
		w.disrupt(d)
	case 7: // an executor drains and leaves
		x.Draining, x.MinRemaining = true, 2*time.Second
		w.owner().addExecutor(x)
		sim.schedule(2*time.Second, func() {
			if !x.replaced && !x.down {
				x.crash(sim)
			}
		})
		w.disrupt(2*time.Second + crashDownTime)
		sim.schedule(2*time.Second+crashDownTime+time.Millisecond, func() { x.Draining = false })
	case 8: // jobs fail
		w.poison = !w.poison
	default:
		before := len(sim.owners)
		sim.injectFault(w.owner())
		w.disrupt(5 * time.Second)
		if x := slices.IndexFunc(all, func(x *fakeExecutor) bool { return x.partitioned }); x >= 0 || len(sim.owners) > before {
			w.disrupt(12500 * time.Millisecond)
		}
	}
}

// check checks all jobs, and again after waitingCheckInterval.
func (w *waitingCheck) check() {
	sim := w.sim
	sim.schedule(waitingCheckInterval, w.check)
	for task := range sim.deadly {
		if n := len(sim.crashes[task]); n > 0 {
			w.calmFrom = maxTime(w.calmFrom, sim.crashes[task][n-1].Add(crashDownTime))
		}
	}
	for _, x := range sim.execs {
		w.calmFrom = maxTime(w.calmFrom, x.disturbedUntil)
	}
	o := w.owner()
	if o.dead {
		clear(w.since)
		return
	}
	free, full := w.room()
	for _, id := range w.ids {
		w.checkKnown(o, id)
		if r := o.core.State(id); r.Outcome != cell.Found || r.State.Final() {
			continue
		}
		spec := sim.specs[id]
		for step := range spec.Steps {
			w.checkStep(id, &spec, step, free, full)
		}
	}
}

// checkKnown checks that an accepted job is known to the owner.
func (w *waitingCheck) checkKnown(o *owner, id string) {
	r := w.replies[id]
	if r.Outcome == cell.Accepted && o.core.State(id).Outcome != cell.Found && !w.reported[id] {
		w.reported[id] = true
		w.sim.addViolation("accepted job %s is not known", id)
	}
}

// room returns the free capacity of each usable executor, and whether half of the capacity is in use.
func (w *waitingCheck) room() (free map[*fakeExecutor]place.Resources, full bool) {
	free = make(map[*fakeExecutor]place.Resources)
	var total, used int64
	o := w.owner()
	for _, x := range w.sim.sortedExecutors() {
		if x.replaced || x.down {
			continue
		}
		left := x.Capacity
		if len(x.rooms) > 0 {
			left = x.rooms[len(x.rooms)-1].capacity
		}
		total += left.CPUMillis
		for _, r := range x.runs {
			left = left.Sub(r.need)
			used += r.need.CPUMillis
		}
		if o.reaches(x) && !x.Draining && !x.unlisted && !x.failAll && !x.hangs {
			free[x] = left
		}
	}
	return free, 2*used >= total
}

// checkStep checks a step, or each of its tasks if they last.
func (w *waitingCheck) checkStep(id string, spec *flow.Spec, step int, free map[*fakeExecutor]place.Resources, full bool) {
	s := &spec.Steps[step]
	for _, before := range s.DependsOn {
		if !w.done(id, spec, before) {
			return
		}
	}
	if w.done(id, spec, step) {
		return
	}
	if !s.LongRunning {
		need := 1
		if s.Gang {
			need = s.Count
		}
		waits := !full && !w.jobRuns(id, spec) && w.fits(id, spec, step, free) >= 2*need
		key := fmt.Sprintf("%s step %d", id, step)
		w.record(key, key, waits)
		return
	}
	room := -1
	for i := range s.Count {
		runs := w.sim.history[fleet.TaskID{Job: id, Step: step, Index: i}]
		waits := true
		if n := len(runs); n > 0 {
			last := runs[n-1]
			waits = !last.open && w.sim.now.Sub(last.end) >= w.restartTime
		}
		if waits && room < 0 {
			room = w.fits(id, spec, step, free)
		}
		key := fmt.Sprintf("%s step %d task %d after %d runs", id, step, i, len(runs))
		w.record(key, fmt.Sprintf("%s step %d", id, step), waits && room >= 2)
		if since, ok := w.since[key]; ok && w.sim.now.Sub(since) > w.longest {
			w.longest, w.longestTask = w.sim.now.Sub(since), key
		}
	}
}

// record records whether work waits, and reports it if it has waited for too long, once for each step.
func (w *waitingCheck) record(key, step string, waits bool) {
	now := w.sim.now
	if !waits || now.Before(w.calmFrom.Add(calmTime)) {
		delete(w.since, key)
		return
	}
	since, ok := w.since[key]
	if !ok {
		w.since[key] = now
		return
	}
	if now.Sub(since) > maxWait && !w.reported[step] {
		w.reported[step] = true
		w.sim.addViolation("%s waits and could start", key)
	}
}

// done reports whether a step is done.
func (w *waitingCheck) done(id string, spec *flow.Spec, step int) bool {
	s := &spec.Steps[step]
	for i := range s.Count {
		runs := w.sim.history[fleet.TaskID{Job: id, Step: step, Index: i}]
		done := !s.LongRunning && slices.ContainsFunc(runs, func(sp *span) bool { return !sp.open && sp.kind == fleet.Done })
		switch {
		case s.Gang && done:
			return true
		case !s.Gang && !done:
			return false
		}
	}
	return !s.Gang
}

// jobRuns reports whether a run of a job is open.
func (w *waitingCheck) jobRuns(id string, spec *flow.Spec) bool {
	for step := range spec.Steps {
		for i := range spec.Steps[step].Count {
			runs := w.sim.history[fleet.TaskID{Job: id, Step: step, Index: i}]
			if slices.ContainsFunc(runs, func(sp *span) bool { return sp.open }) {
				return true
			}
		}
	}
	return false
}

// fits returns how many tasks of a step fit on the executors that it may run on.
func (w *waitingCheck) fits(id string, spec *flow.Spec, step int, free map[*fakeExecutor]place.Resources) int {
	s := &spec.Steps[step]
	sum := 0
	for x, left := range free {
		if !x.HasLabel(s.RequiredLabel) || !w.sim.allows(fleet.StepID{Job: id, Step: step}, x.ID) {
			continue
		}
		n := 0
		for need := s.Reserved(); need.Fits(left) && n < 2*s.Count; n++ {
			left = left.Sub(need)
		}
		if s.MaxPerExecutor > 0 {
			on := 0
			for _, r := range x.runs {
				if r.Task.Job == id && r.Task.Step == step {
					on++
				}
			}
			n = min(n, s.MaxPerExecutor-on)
		}
		sum += max(n, 0)
	}
	return sum
}

// checkFinal checks the state of a job at the end: failed only with exhausted attempts or a deadly task,
// and final unless there is no room for it.
func (w *waitingCheck) checkFinal(id string) {
	sim := w.sim
	spec := sim.specs[id]
	r := w.owner().core.State(id)
	if r.Outcome != cell.Found {
		return // accepted jobs are checked all the while
	}
	// Jobs may wait for long-running tasks, which never free their room.
	free := make(map[*fakeExecutor]place.Resources)
	for _, x := range sim.sortedExecutors() {
		if x.replaced {
			continue
		}
		free[x] = x.Capacity
		for _, r := range x.runs {
			if r.lasting {
				free[x] = free[x].Sub(r.need)
			}
		}
	}
	exhausted, gaveUp, unfit := false, false, false
	for step := range spec.Steps {
		need := 1
		if spec.Steps[step].Gang {
			need = spec.Steps[step].Count
		}
		unfit = unfit || w.fits(id, &spec, step, free) < 2*need
		failedGangs := make(map[int64]bool)
		for i := range spec.Steps[step].Count {
			task := fleet.TaskID{Job: id, Step: step, Index: i}
			failed := 0
			for _, sp := range sim.history[task] {
				if !sp.open && sp.kind == fleet.Failed {
					failed++
					failedGangs[sp.number] = true
				}
			}
			limit := sim.config.Queue(spec.Queue).MaxAttempts
			if spec.Steps[step].Gang {
				failed = len(failedGangs)
			}
			exhausted = exhausted || failed >= limit && !spec.Steps[step].LongRunning
			gaveUp = gaveUp || sim.deadly[task]
		}
	}
	switch {
	case r.State == flow.Failed && !exhausted && !gaveUp:
		sim.t.Errorf("job %s is shown as failed without cause", id)
	case spec.Steps[0].LongRunning || unfit:
	case !r.State.Final():
		sim.t.Errorf("job %s is not in a final state: %s", id, r.State)
	}
}

// A step that waits although there is room must be reported, once for each wait.
func TestStepThatWaitsBesideRoomIsReported(t *testing.T) {
	sim, o := newCrashCell(t, 1, 2, false)
	sim.listStalled = true
	sim.advance(entryValidity)
	sim.submit(o, "job", singleStep(testQueue, 2, time.Second))
	sim.advance(1500 * time.Millisecond)
	assert.Equal(t, o.core.Stats.StepsWaited, int64(0))
	sim.advance(3500 * time.Millisecond)
	assert.Equal(t, o.core.Stats.StepsWaited, int64(1))
}

// A step that waits for room must not be reported.
func TestStepThatWaitsForRoomIsNotReported(t *testing.T) {
	sim, o := newCrashCell(t, 1, 1, false)
	sim.submit(o, "running", singleStep(testQueue, 3, 20*time.Second)) // leaves room for one task
	sim.advance(100 * time.Millisecond)
	sim.submit(o, "waiting", singleStep(testQueue, 2, time.Second))
	sim.advance(100 * time.Millisecond)
	sim.submit(o, "waits", singleStep(testQueue, 2, time.Second))
	sim.advance(5 * time.Second)
	assert.Equal(t, o.core.Stats.StepsWaited, int64(0))
}

// submitHopeless submits a job of which all runs fail.
func (sim *simulation) submitHopeless(o *owner, id string, spec flow.Spec) {
	for i := range spec.Steps[0].Count {
		sim.hopeless[fleet.TaskID{Job: id, Index: i}] = true
	}
	sim.submit(o, id, spec)
}

// Jobs that always fail must not keep executors away from others, whether there are many of them or one
// whose tasks are started again for ever.
func TestJobsThatFailKeepNoExecutorAway(t *testing.T) {
	for _, lasting := range []bool{false, true} {
		t.Run(fmt.Sprintf("long-running %t", lasting), func(t *testing.T) {
			sim, o := newCrashCell(t, 1, 4, false)
			for i := range 100 {
				if !lasting || i == 0 {
					spec := singleStep(testQueue, 2, 200*time.Millisecond)
					spec.Steps[0].LongRunning = lasting
					sim.submitHopeless(o, fmt.Sprintf("hopeless%d", i), spec)
				}
				sim.advance(100 * time.Millisecond)
			}
			sim.submit(o, "innocent", singleStep(testQueue, 1, 200*time.Millisecond))
			sim.advance(time.Second)
			assert.Equal(t, o.core.State("innocent").State, flow.Completed)
			if !lasting {
				assert.Equal(t, o.core.State("hopeless0").State, flow.Failed)
			}
		})
	}
}

// An executor that fails all runs must be kept away while there are others.
func TestExecutorThatFailsAllRunsIsKeptAway(t *testing.T) {
	sim, o := newCrashCell(t, 1, 4, false)
	sim.execs["x0"].failAll = true
	for i := range 100 {
		sim.submit(o, fmt.Sprintf("job%d", i), singleStep(testQueue, 2, 200*time.Millisecond))
		sim.advance(100 * time.Millisecond)
	}
	sim.advance(5 * time.Second)
	failed := 0
	for i := range 100 {
		if o.core.State(fmt.Sprintf("job%d", i)).State == flow.Failed {
			failed++
		}
	}
	started := 0
	for _, runs := range sim.history {
		for _, sp := range runs {
			if sp.executor == "x0" {
				started++
			}
		}
	}
	assert.Assert(t, failed == 0, "%d jobs failed", failed)
	assert.Assert(t, started <= 12, "%d runs were started on the executor that fails all", started)
}

// A step must not wait for longer than maxWait for the only executor that suits it, which has failed
// several runs before, while the fleet has room.
func TestStepUsesExecutorThatIsKeptAway(t *testing.T) {
	sim, o := newCrashCell(t, 1, 4, false)
	x := sim.execs["x0"]
	x.Labels, x.failAll = []string{"special"}, true
	o.addExecutor(x)
	spec := singleStep(testQueue, 1, 200*time.Millisecond)
	spec.Steps[0].RequiredLabel = "special"
	for i := range 8 {
		sim.submit(o, fmt.Sprintf("failing%d", i), spec)
	}
	sim.advance(time.Second)
	x.failAll = false
	sim.submit(o, "job", spec)
	sim.advance(100 * time.Millisecond)
	assert.Equal(t, len(sim.history[fleet.TaskID{Job: "job"}]), 0) // it is kept away
	sim.advance(maxWait - 100*time.Millisecond)
	assert.Equal(t, o.core.State("job").State, flow.Completed)
}

// A long-running task that has been started more than a thousand times under one owner must start under
// the next one, whose numbers for its runs begin below those that executors have seen.
func TestTaskOfManyRunsStartsUnderNextOwner(t *testing.T) {
	sim, o := newCrashCell(t, 1, 1, false)
	task := fleet.TaskID{Job: "job"}
	spec := singleStep(testQueue, 1, 20*time.Millisecond)
	spec.Steps[0].LongRunning = true
	sim.submitHopeless(o, "job", spec)
	for len(sim.history[task]) < 1500 {
		sim.advance(time.Second)
	}
	o.dead = true
	sim.takeOver()
	before := len(sim.history[task])
	sim.advance(maxWait)
	assert.Assert(t, len(sim.history[task]) > before)
}
