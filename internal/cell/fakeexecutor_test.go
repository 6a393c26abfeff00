package cell_test

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/daisyrack/daisyrack/internal/cell"
	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/flow"
	"github.com/daisyrack/daisyrack/pkg/place"
)

// clock returns the reading of the executor's own clock, which begins anew with each incarnation.
func (x *fakeExecutor) clock(sim *simulation) time.Duration {
	return x.clockStart + time.Duration(float64(sim.now.Sub(x.startTime))*x.clockRate)
}

// extendLease takes the end of a lease, on the clock of the executor, which shortens a longer one to its maximum.
func (x *fakeExecutor) extendLease(sim *simulation, until time.Duration) {
	x.leaseUntil = max(x.leaseUntil, min(until, x.clock(sim)+maxLease))
}

// randomClock returns a reading from 0 to an hour, the same whenever seed, executor and incarnation are the same.
func (x *fakeExecutor) randomClock(sim *simulation) time.Duration {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, x.ID, x.incarnation)
	return time.Duration(rand.New(rand.NewPCG(sim.seed, h.Sum64())).Int64N(int64(time.Hour)))
}

func (x *fakeExecutor) execute(sim *simulation, cmd cell.Command) fleet.Response {
	resp := fleet.Response{Clock: x.clock(sim), HasClock: true, Incarnation: x.incarnation}
	switch {
	case cmd.Start != nil:
		resp.Status = x.start(sim, cmd.Start)
	case cmd.Stop != nil:
		resp.Status = x.stop(sim, cmd.Stop)
	}
	return resp
}

func (x *fakeExecutor) start(sim *simulation, s *fleet.Start) fleet.Status {
	if s.Epoch < x.maxEpoch {
		return fleet.Fenced
	}
	x.maxEpoch = s.Epoch
	key := runKey(s.Task, s.Number)
	if x.runs[key] != nil {
		return fleet.Executed
	}
	if s.Number <= x.lastEndedRun[s.Task] {
		return fleet.AlreadyEnded
	}
	if s.LeaseEnd <= x.clock(sim) {
		return fleet.ArrivedLate
	}
	x.extendLease(sim, s.LeaseEnd)
	sim.checkStart(x, s)
	spec := sim.specOf(s.Task)
	runTime := time.Duration(float64(sim.runTime(s.Task)) * sim.slowdownOn(x, s.Task))
	sp := &span{number: s.Number, executor: x.ID, begin: sim.now, open: true, inTouch: sim.owners[s.Epoch-1].inTouch()}
	sim.history[s.Task] = append(sim.history[s.Task], sp)
	r := &fakeRun{
		Run: fleet.Run{Task: s.Task, Number: s.Number}, span: sp, startedAt: sim.now, duration: runTime,
		fails: sim.hopeless[s.Task] || x.failAll || sim.rng.Float64() < sim.failureRate(spec), need: spec.Reserved(), lasting: spec.LongRunning,
	}
	x.runs[key] = r
	if sim.deadly[s.Task] {
		sim.schedule(sim.crashAfter, func() {
			switch {
			case x.runs[key] != r:
			case sim.crashesSilently:
				x.crashSilently(sim)
			default:
				x.crash(sim)
			}
		})
	}
	if !x.hangs {
		x.scheduleEnd(sim, r)
	}
	sim.schedule(x.leaseLeft(sim)+time.Millisecond, func() { x.expire(sim) })
	return fleet.Executed
}

// runTime returns how long a run of a task takes.
func (sim *simulation) runTime(t fleet.TaskID) time.Duration {
	spec := sim.specOf(t)
	usual := float64(spec.Estimate)
	if ratio := sim.actualRatio[spec.Image]; ratio > 0 {
		usual *= ratio
	}
	return time.Duration(usual * (0.5 + sim.taskRandom(t)))
}

// slowdownOn returns how many times as long a task takes on an executor as in a near place on a usual one.
func (sim *simulation) slowdownOn(x *fakeExecutor, t fleet.TaskID) float64 {
	slowdown := 1.0
	if x.slowdown > 0 {
		slowdown = x.slowdown
	}
	spec := sim.specOf(t)
	away := spec.DataRack != "" && spec.DataRack != x.Rack
	if spec.SameRack && spec.DataRack == "" {
		for i := range spec.Count {
			other := t
			other.Index = i
			away = away || slices.ContainsFunc(sim.history[other], func(sp *span) bool {
				return sp.open && sim.execs[sp.executor].Rack != x.Rack
			})
		}
	}
	if away && sim.remoteSlowdown > 0 {
		slowdown *= sim.remoteSlowdown
	}
	return slowdown
}

// failureRate returns the share of runs of a step that fail on their own.
func (sim *simulation) failureRate(spec *flow.StepSpec) float64 {
	if spec.LongRunning {
		return sim.lastingFailureShare
	}
	return sim.failureShare
}

// scheduleEnd schedules the end of a run that makes progress from now on.
func (x *fakeExecutor) scheduleEnd(sim *simulation, r *fakeRun) {
	spec := sim.specOf(r.Task)
	if spec.LongRunning && !(r.fails && (sim.lastingFailureShare > 0 || sim.hopeless[r.Task])) {
		return
	}
	startedUnder, key := x.incarnation, runKey(r.Task, r.Number)
	sim.schedule(r.duration, func() {
		if x.incarnation == startedUnder && x.runs[key] == r && !x.hangs {
			kind := fleet.Done
			if r.fails {
				kind = fleet.Failed
			}
			if spec.Gang && !sim.gangIsComplete(r.Task, r.Number) {
				kind = fleet.GangBroken
			}
			x.finish(sim, key, kind)
		}
	})
}

// hang keeps the runs of the executor from making progress for a time.
func (x *fakeExecutor) hang(sim *simulation, d time.Duration) {
	if x.hangs {
		return
	}
	x.hangs = true
	sim.schedule(d, func() {
		x.hangs = false
		for _, key := range x.keys() {
			x.scheduleEnd(sim, x.runs[key])
		}
	})
}

// gangIsComplete reports whether all tasks of a run of a gang are running.
func (sim *simulation) gangIsComplete(t fleet.TaskID, number int64) bool {
	for i := range sim.specOf(t).Count {
		t.Index = i
		if !slices.ContainsFunc(sim.history[t], func(sp *span) bool { return sp.number == number && sp.open }) {
			return false
		}
	}
	return true
}

// gangIsDone reports whether a task of the gang of t has ended as done.
func (sim *simulation) gangIsDone(t fleet.TaskID) bool {
	for i := range sim.specOf(t).Count {
		t.Index = i
		if slices.ContainsFunc(sim.history[t], func(sp *span) bool { return sp.kind == fleet.Done && !sp.open }) {
			return true
		}
	}
	return false
}

func (x *fakeExecutor) leaseLeft(sim *simulation) time.Duration {
	return time.Duration(float64(x.leaseUntil-x.clock(sim)) / x.clockRate)
}

func (x *fakeExecutor) expire(sim *simulation) {
	if x.down || len(x.runs) == 0 {
		return
	}
	if x.clock(sim) < x.leaseUntil {
		sim.schedule(x.leaseLeft(sim)+time.Millisecond, func() { x.expire(sim) })
		return
	}
	for _, key := range x.keys() {
		x.finish(sim, key, fleet.LeaseExpired)
	}
}

func (x *fakeExecutor) keys() []string {
	keys := make([]string, 0, len(x.runs))
	for key := range x.runs {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

func (x *fakeExecutor) finish(sim *simulation, key string, kind fleet.EndKind) {
	r := x.runs[key]
	delete(x.runs, key)
	r.span.end, r.span.open, r.span.kind = sim.now, false, kind
	x.lastEndedRun[r.Task] = max(x.lastEndedRun[r.Task], r.Number)
	x.lastSequence++
	checkpoint := ""
	if sim.specOf(r.Task).SavesCheckpoints {
		checkpoint = key
	}
	x.ends = append(x.ends, fleet.End{Sequence: x.lastSequence, Task: r.Task, Number: r.Number, Kind: kind, Checkpoint: checkpoint})
	held := x.heldPolls
	x.heldPolls = nil
	for _, respond := range held {
		sim.schedule(0, respond)
	}
	if kind == fleet.LeaseExpired {
		// Runs that ended before the lease expired but were not recorded do not count.
		return
	}
}

func (x *fakeExecutor) stop(sim *simulation, s *fleet.Stop) fleet.Status {
	if s.Epoch < x.maxEpoch {
		return fleet.Fenced
	}
	x.maxEpoch = s.Epoch
	x.lastEndedRun[s.Task] = max(x.lastEndedRun[s.Task], s.Number)
	key := runKey(s.Task, s.Number)
	if r := x.runs[key]; r != nil {
		startedUnder := x.incarnation
		sim.schedule(time.Duration(sim.rng.Int64N(int64(maxStopTime))), func() {
			if x.incarnation == startedUnder && x.runs[key] == r {
				x.finish(sim, key, fleet.Stopped)
			}
		})
	}
	return fleet.Executed
}

func (x *fakeExecutor) acknowledge(upTo, epoch int64) {
	if epoch < x.maxEpoch {
		return
	}
	x.ends = slices.DeleteFunc(x.ends, func(e fleet.End) bool { return e.Sequence <= upTo })
}

func (x *fakeExecutor) listRuns(sim *simulation) fleet.Response {
	resp := fleet.Response{Clock: x.clock(sim), HasClock: true, Incarnation: x.incarnation, Ends: slices.Clone(x.ends)}
	for _, key := range x.keys() {
		r := x.runs[key].Run
		if x.hangs {
			resp.Runs = append(resp.Runs, r)
			continue
		}
		r.Percent = min(100, 100*float64(sim.now.Sub(x.runs[key].startedAt))/float64(max(x.runs[key].duration, 1)))
		resp.Runs = append(resp.Runs, r)
	}
	return resp
}

// checkStart checks a start against the history of all runs: capacity, concurrent runs of the task
// and completion of earlier steps.
func (sim *simulation) checkStart(x *fakeExecutor, s *fleet.Start) {
	spec := sim.specOf(s.Task)
	var used place.Resources
	for _, r := range x.runs {
		used = used.Add(r.need)
	}
	if !spec.Reserved().Fits(x.countedCapacity(sim).Sub(used)) {
		sim.addViolation("capacity of %s exceeded by %s", x.ID, runKey(s.Task, s.Number))
	}
	sim.checkQuota(s.Task)
	for _, sp := range sim.history[s.Task] {
		if sp.open && !spec.AllowConcurrentRuns {
			sim.addViolation("task %s runs twice: run %d on %s and run %d on %s", runKey(s.Task, s.Number), sp.number, sp.executor, s.Number, x.ID)
		}
	}
	all := sim.specs[s.Task.Job]
	for _, before := range all.Steps[s.Task.Step].DependsOn {
		for i := range all.Steps[before].Count {
			t := fleet.TaskID{Job: s.Task.Job, Step: before, Index: i}
			if all.Steps[before].Gang && sim.gangIsDone(t) {
				break // one end represents all tasks of a gang
			}
			if !slices.ContainsFunc(sim.history[t], func(sp *span) bool { return sp.kind == fleet.Done && !sp.open }) {
				sim.addViolation("%s started before %s was done", runKey(s.Task, s.Number), runKey(t, 0))
			}
		}
	}
}

// domainOf assigns executors to three failure domains by the last digit of their ID.
func domainOf(id string) string {
	return string(rune('a' + (id[len(id)-1]-'0')%3))
}

// taskRandom returns a number from 0 to 1 for a task, the same whenever the seed is the same.
func (sim *simulation) taskRandom(t fleet.TaskID) float64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, sim.seed, t)
	return rand.New(rand.NewPCG(sim.seed, h.Sum64())).Float64()
}
