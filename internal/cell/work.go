package cell

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/flow"
	"github.com/daisyrack/daisyrack/pkg/place"
)

const (
	// urgentReserve is the least share of the fleet's processor time that only urgent work may
	// use, so that it finds room at once while long tasks fill the fleet; maxReserve is the largest.
	urgentReserve = 0.12
	maxReserve    = 0.4

	// peakFactor times the largest recent use by urgent work is kept for it; the memory of the
	// peak fades by peakFade within a second.
	peakFactor = 1.0
	peakFade   = 0.25

	// ticketMargin is how long before its end a ticket is no longer used: the start has to
	// arrive within it.
	ticketMargin = 150 * time.Millisecond

	// failedHere is the penalty of an executor on which the task has failed.
	failedHere = 100

	// mixedPenalty keeps fillers away from tasks with a target, where there is a choice.
	mixedPenalty = 10

	// otherDomainPenalty keeps the tasks of a job in one failure domain.
	otherDomainPenalty = 3

	// otherRackPenalty prefers the rack where the data is.
	otherRackPenalty = 5
)

// work is a step with tasks that have to be started.
type work struct {
	job   *job
	step  fleet.StepID
	spec  *flow.StepSpec
	queue *fleet.Queue
	// pending are the indexes of the tasks to start.
	pending []int
	queued  bool
	// rack is preferred by the tasks of a step that are slower on several racks.
	rack string

	tickets map[string]ticket
	// judged has the life in which an executor was asked for; without a ticket it is not allowed.
	judged     map[string]int64
	asking     bool
	askAfter   time.Time
	onExecutor map[string]int
	// unclaimed are the executors on which an earlier owner may have started tasks of the step and
	// that have not been claimed; until then no task is started elsewhere.
	unclaimed map[string]bool
	// untried is set when all executors have to be looked at.
	untried bool
	avoid   map[string]int
}

// ticket allows the step on one life of an executor.
type ticket struct {
	value string
	until time.Time
	life  int64
}

func (w *work) setQueue(q *fleet.Queue) {
	if q != nil {
		w.queue = q
	}
}

// addSteps queues the tasks of steps that may start.
func (c *Core) addSteps(_ time.Time, j *job, steps []fleet.StepID) {
	for _, s := range steps {
		c.refill(c.workOf(j, s))
	}
}

// chooseHome returns the failure domain with the most room.
func (c *Core) chooseHome() string {
	free := make(map[string]int64)
	best := ""
	for _, ex := range c.ordered {
		if !ex.listed || ex.Draining || !ex.claimed || ex.misses > 0 {
			continue
		}
		room, _ := c.room.Free(ex.ID)
		free[ex.Domain] += max(room.CPUMillis, 0)
		if best == "" || free[ex.Domain] > free[best] || free[ex.Domain] == free[best] && ex.Domain < best {
			best = ex.Domain
		}
	}
	return best
}

// roomiestRack returns the rack with room for the most tasks of a step.
func (c *Core) roomiestRack(w *work) string {
	fits := make(map[string]int)
	best := ""
	for _, ex := range c.ordered {
		if !ex.listed || ex.Draining || !ex.claimed || ex.misses > 0 || !ex.HasLabel(w.spec.RequiredLabel) {
			continue
		}
		fits[ex.Rack] += c.fits(w, ex)
		if best == "" || fits[ex.Rack] > fits[best] || fits[ex.Rack] == fits[best] && ex.Rack < best {
			best = ex.Rack
		}
	}
	return best
}

// workOf returns the work of a step; a new one has no pending tasks.
func (c *Core) workOf(j *job, s fleet.StepID) *work {
	if w := j.works[s]; w != nil {
		return w
	}
	w := &work{
		job: j, step: s, spec: &j.Spec.Steps[s.Step], queue: c.policy.Queue(j.Spec.Queue),
		tickets: make(map[string]ticket), judged: make(map[string]int64),
		onExecutor: make(map[string]int), avoid: make(map[string]int),
		unclaimed: make(map[string]bool),
	}
	if w.queue == nil {
		w.queue = &fleet.Queue{Name: j.Spec.Queue}
	}
	if w.spec.SameRack && w.spec.DataRack == "" {
		w.rack = c.roomiestRack(w)
	}
	j.works[s] = w
	c.lock(w)
	return w
}

// refill makes all tasks of the step pending that are not done and do not run.
func (c *Core) refill(w *work) {
	if !w.job.Ready(w.step) || len(w.unclaimed) > 0 {
		return
	}
	w.pending = w.pending[:0]
	for _, i := range w.job.UnfinishedTasks(w.step) {
		t := fleet.TaskID{Job: w.job.ID, Occurrence: w.step.Occurrence, Step: w.step.Step, Index: i}
		if len(w.job.runs[t]) == 0 {
			w.pending = append(w.pending, i)
		}
	}
	c.enqueue(w)
}

func (w *work) add(index int) {
	if !slices.Contains(w.pending, index) {
		w.pending = append(w.pending, index)
	}
}

// forget removes a task from those to start.
func (w *work) forget(index int) {
	if i := slices.Index(w.pending, index); i >= 0 {
		w.pending = slices.Delete(w.pending, i, i+1)
	}
}

// liveRuns returns the runs of the step's tasks.
func (w *work) liveRuns() []*run {
	var out []*run
	for t, runs := range w.job.runs {
		if stepOf(t) == w.step {
			out = append(out, runs...)
		}
	}
	sortRuns(out)
	return out
}

// enqueue puts the work into the order in which steps are served.
func (c *Core) enqueue(w *work) {
	if len(w.pending) == 0 || w.job.State.Final() {
		return
	}
	w.untried = true
	if w.queued {
		return
	}
	w.queued = true
	i := sort.Search(len(c.works), func(i int) bool { return before(w, c.works[i]) })
	c.works = slices.Insert(c.works, i, w)
}

func (c *Core) dropWork(w *work) {
	w.pending = nil
	if !w.queued {
		return
	}
	w.queued = false
	if i := slices.Index(c.works, w); i >= 0 {
		c.works = slices.Delete(c.works, i, i+1)
	}
}

// before orders by priority, then by objective. It answers an ordinary load and short bursts:
// nothing is starved as long as the fleet catches up.
func before(a, b *work) bool {
	if a.queue.Priority != b.queue.Priority {
		return a.queue.Priority < b.queue.Priority
	}
	if !a.job.objective.Equal(b.job.objective) {
		return a.job.objective.Before(b.job.objective)
	}
	if a.job.ID != b.job.ID {
		return a.job.ID < b.job.ID
	}
	return a.step.Occurrence < b.step.Occurrence || a.step.Occurrence == b.step.Occurrence && a.step.Step < b.step.Step
}

// Schedule starts the tasks for which there is room, in order. A step that found no room is
// tried again on the executors that have room since, or when it has new tickets or tasks.
func (c *Core) Schedule(now time.Time) {
	freed := c.freed
	c.freed = nil
	for _, ex := range freed {
		ex.freed = false
	}
	c.works = slices.DeleteFunc(c.works, func(w *work) bool {
		if w.queue.Advice == nil && len(w.pending) > 0 {
			c.nominate(now, w)
		}
		if w.job.accepted && len(w.pending) > 0 {
			c.serve(now, w, freed)
		}
		w.queued = len(w.pending) > 0
		return !w.queued
	})
}

// free notes that an executor may have room for tasks that found none.
func (c *Core) free(ex *executor) {
	if !ex.freed {
		ex.freed = true
		c.freed = append(c.freed, ex)
	}
}

func (c *Core) serve(now time.Time, w *work, freed []*executor) {
	if !c.mayGrow(w, 1) {
		w.untried = true
		return
	}
	var candidates []place.Candidate
	if w.untried || w.spec.Gang {
		candidates = c.candidates(now, w)
	} else {
		candidates = c.candidatesAmong(now, w, freed)
	}
	w.untried = false
	if len(candidates) == 0 {
		return
	}
	if w.spec.Gang {
		c.serveGang(now, w, candidates)
		return
	}
	for len(w.pending) > 0 {
		index := w.pending[0]
		if !c.mayGrow(w, 1) {
			w.untried = true
			return
		}
		number := c.number(w.job, c.taskOf(w, index))
		ex := c.put(now, w, index, number, candidates)
		if ex == nil {
			w.job.nextRun[c.taskOf(w, index)]--
			return
		}
		w.pending = w.pending[1:]
		c.begin(now, w, index, number, ex)
	}
}

func (c *Core) taskOf(w *work, index int) fleet.TaskID {
	return fleet.TaskID{Job: w.job.ID, Occurrence: w.step.Occurrence, Step: w.step.Step, Index: index}
}

// serveGang starts all tasks of a gang or none.
func (c *Core) serveGang(now time.Time, w *work, candidates []place.Candidate) {
	if len(w.pending) < w.spec.Count || !c.mayGrow(w, w.spec.Count) {
		return
	}
	if len(w.liveRuns()) > 0 {
		return
	}
	number := int64(0)
	for _, index := range w.pending {
		number = max(number, c.number(w.job, c.taskOf(w, index)))
	}
	placed := make([]*executor, 0, len(w.pending))
	for _, index := range w.pending {
		ex := c.put(now, w, index, number, candidates)
		if ex == nil {
			break
		}
		w.onExecutor[ex.ID]++
		placed = append(placed, ex)
	}
	for _, ex := range placed {
		w.onExecutor[ex.ID]--
	}
	if len(placed) < len(w.pending) {
		for i := range placed {
			c.room.Release(runKey(c.taskOf(w, w.pending[i]), number))
		}
		for _, index := range w.pending {
			w.job.nextRun[c.taskOf(w, index)]--
		}
		return
	}
	for i, index := range w.pending {
		w.job.nextRun[c.taskOf(w, index)] = number - (c.Epoch-1)*runsPerEpoch
		c.begin(now, w, index, number, placed[i])
	}
	w.pending = nil
}

// mayGrow reports whether work of this priority may take more tasks of its step: less urgent
// work leaves a share of the fleet to urgent work.
func (c *Core) mayGrow(w *work, tasks int) bool {
	if w.queue.Priority == 0 {
		return true
	}
	capacity, _ := c.room.Totals()
	var others int64
	for priority, busy := range c.busy {
		if priority > 0 {
			others += busy
		}
	}
	return others+w.spec.Reserved().CPUMillis*int64(tasks) <= capacity.CPUMillis-c.reserve(capacity.CPUMillis)
}

// reserve returns the processor time that only urgent work may use. It answers bursts of long
// jobs beside an ordinary load of urgent ones.
func (c *Core) reserve(capacity int64) int64 {
	kept := min(max(peakFactor*c.urgentPeak, urgentReserve*float64(capacity)), maxReserve*float64(capacity))
	return int64(kept)
}

// notePeak follows the use by urgent work.
func (c *Core) notePeak(now time.Time) {
	if !c.peakAt.IsZero() {
		c.urgentPeak *= 1 - peakFade*min(now.Sub(c.peakAt).Seconds(), 1)
	}
	c.peakAt = now
	c.urgentPeak = max(c.urgentPeak, float64(c.busy[0]))
}

// candidates returns the executors that may run the step now.
func (c *Core) candidates(now time.Time, w *work) []place.Candidate {
	var out []place.Candidate
	if w.queue.Advice == nil {
		for _, ex := range c.ordered {
			if w.job.stored[ex.ID] && c.mayRun(now, w, ex) {
				out = append(out, place.Candidate{Worker: ex.ID, Penalty: penalty(w, ex)})
			}
		}
		return out
	}
	for id := range w.tickets {
		if ex := c.execs[id]; ex != nil && w.job.stored[id] && c.allowed(now, w, ex) && c.mayRun(now, w, ex) {
			out = append(out, place.Candidate{Worker: id, Penalty: penalty(w, ex)})
		}
	}
	return out
}

// candidatesAmong returns those of the given executors that may run the step now.
func (c *Core) candidatesAmong(now time.Time, w *work, among []*executor) []place.Candidate {
	var out []place.Candidate
	for _, ex := range among {
		if w.job.stored[ex.ID] && (w.queue.Advice == nil || c.allowed(now, w, ex)) && c.mayRun(now, w, ex) {
			out = append(out, place.Candidate{Worker: ex.ID, Penalty: penalty(w, ex)})
		}
	}
	return out
}

// allowed reports whether the step has a ticket for the executor that can still be used.
func (c *Core) allowed(now time.Time, w *work, ex *executor) bool {
	t, ok := w.tickets[ex.ID]
	return ok && t.life == ex.life && !now.Add(ticketMargin).After(t.until)
}

// mayRun reports whether the executor can be used for the step, whatever its room.
func (c *Core) mayRun(now time.Time, w *work, ex *executor) bool {
	if !c.usable(now, ex) || ex.Service != w.queue.Service || !ex.HasLabel(w.spec.RequiredLabel) {
		return false
	}
	return w.spec.MaxPerExecutor == 0 || w.onExecutor[ex.ID] < w.spec.MaxPerExecutor
}

// penalty is what speaks against an executor for a step; lower is better.
func penalty(w *work, ex *executor) float64 {
	p := float64(w.avoid[ex.ID])*failedHere + 4*(ex.slow-1) + float64(ex.fails)
	if rack := cmp.Or(w.spec.DataRack, w.rack); rack != "" && rack != ex.Rack {
		p += otherRackPenalty
	}
	if !w.spec.LongRunning && w.spec.DataRack == "" && w.rack == "" && w.job.home != ex.Domain {
		p += otherDomainPenalty
	}
	if w.spec.BestEffort || w.spec.LatencyTarget > 0 {
		for _, r := range ex.runs {
			if w.spec.BestEffort && r.spec().LatencyTarget > 0 || w.spec.LatencyTarget > 0 && r.spec().BestEffort {
				return p + mixedPenalty
			}
		}
	}
	return p
}

// put grants the need of a task on the best candidate.
func (c *Core) put(now time.Time, w *work, index int, number int64, candidates []place.Candidate) *executor {
	usable := candidates
	if w.spec.MaxPerExecutor > 0 {
		usable = nil
		for _, cand := range candidates {
			if w.onExecutor[cand.Worker] < w.spec.MaxPerExecutor {
				usable = append(usable, cand)
			}
		}
	}
	t := place.Task{
		ID: runKey(c.taskOf(w, index), number), Job: w.job.ID, Kind: place.Batch,
		Need: w.spec.Reserved(), RunTime: w.spec.Estimate,
	}
	d := c.room.PlaceAmong(now, t, usable)
	if d.Worker == "" {
		return nil
	}
	return c.execs[d.Worker]
}
