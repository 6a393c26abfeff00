package cell

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/flow"
	"github.com/daisyrack/daisyrack/internal/near"
	"github.com/daisyrack/daisyrack/pkg/place"
)

const (
	// rackListInterval is how long the list of the executors of a rack is used.
	rackListInterval = 100 * time.Millisecond

	// maxNearStandby is the number of near executors without room for which a step keeps tickets. The users' racks have
	// 12 executors, of which half are allowed; each makes a slow call 7 ms longer.
	maxNearStandby = 16

	// slowdownPenalty is the penalty for each multiple of the usual run time.
	slowdownPenalty = 4
)

// nearPlacement is what the core observes for steps whose tasks run faster on one rack.
type nearPlacement struct {
	runTimes near.RunTimes
	wanted   map[string]*wantedRack
	// racks holds the executors of each rack as of racksAt.
	racks   map[string][]*executor
	racksAt time.Time
	// taken holds, by rack, the CPU that steps of each class take on their rack.
	taken map[string][]classTaken
}

// classTaken is the CPU that steps of queues with a priority take on a rack.
type classTaken struct {
	priority int
	cpu      near.Rate
}

// rack returns the rack on which the tasks of the step run faster; empty if there is none.
func (st *stepState) rack() string {
	return cmp.Or(st.spec.DataRack, st.preferredRack)
}

// waitsForNear reports whether waiting for a near place is considered for the step.
func (st *stepState) waitsForNear() bool {
	return st.remoteSlowdown > 1 && !st.spec.LongRunning && st.rack() != ""
}

// isNear reports whether tasks of the step run faster on the executor than elsewhere.
func (st *stepState) isNear(ex *executor) bool {
	return ex.Rack == st.rack() && st.failuresOn[ex.ID] == 0 && ex.relativeSlowdown < st.remoteSlowdown
}

// elsewherePenalty returns the penalty of an executor that is not on the rack of the step. With a known slowdown it is
// on the scale of the penalty for slow executors.
func (st *stepState) elsewherePenalty(ex *executor) float64 {
	if st.remoteSlowdown > 1 {
		return slowdownPenalty * ex.slowdown * (st.remoteSlowdown - 1)
	}
	return otherRackPenalty
}

// rackExecutors returns the executors of a rack, sorted by ID.
func (c *Core) rackExecutors(now time.Time, rack string) []*executor {
	if c.near.racks == nil || now.Sub(c.near.racksAt) >= rackListInterval {
		c.near.racks, c.near.racksAt = make(map[string][]*executor), now
		sum := 0.0
		for _, ex := range c.sortedExecutors {
			sum += ex.slowdown
		}
		for _, ex := range c.sortedExecutors {
			ex.relativeSlowdown = ex.slowdown * float64(len(c.sortedExecutors)) / sum
			c.near.racks[ex.Rack] = append(c.near.racks[ex.Rack], ex)
		}
	}
	return c.near.racks[rack]
}

// isWanted reports whether steps wait for a rack.
func (c *Core) isWanted(rack string) bool {
	w := c.near.wanted[rack]
	return w != nil && len(w.steps) > 0
}

// mayUse reports whether a task of the step may start on a near executor once there is room.
func (c *Core) mayUse(now time.Time, st *stepState, ex *executor) bool {
	if c.executors[ex.ID] != ex || !st.isNear(ex) || !c.isEligible(now, st, ex) || !st.spec.Reserved().Fits(ex.Capacity) {
		return false
	}
	incarnation, asked := st.asked[ex.ID]
	return !asked || incarnation != ex.incarnation || st.tickets[ex.ID].incarnation == ex.incarnation
}

// decideNear decides about the tasks of a step that found no near place; missing is their number.
func (c *Core) decideNear(now time.Time, st *stepState, missing int) near.Decision {
	if st.spec.Gang && !c.rackHolds(now, st) {
		return near.Decision{Reason: near.NoPlaces}
	}
	ratio, estimate := c.near.runTimes.Ratio(st.image(), st.spec.Count), min(st.spec.Estimate, flow.MaxEstimate)
	need := max(float64(st.spec.Reserved().CPUMillis), 1)
	s := near.Step{
		RunTime: fleet.Times(ratio, estimate), Slowdown: st.remoteSlowdown, Need: need, Tasks: missing,
		Together: st.spec.SameRack || st.spec.Gang, Harm: c.harm(st),
	}
	objective := st.job.Spec.Accepted.Add(fleet.Times(st.queue.Stretch*ratio, st.job.Spec.CriticalPath())).Add(st.queue.Slack)
	s.Left = objective.Sub(now) - fleet.Times(ratio, st.job.Spec.ChainAfter(st.stepID.Step))
	var r near.Rack
	whole := 0.0
	for _, ex := range c.rackExecutors(now, st.rack()) {
		freed := ex.freedCPU.PerSecond(now, ex.incarnationSince) - ex.takenCPU.PerSecond(now, ex.incarnationSince)
		whole += freed
		if !c.mayUse(now, st, ex) {
			continue
		}
		if _, asked := st.asked[ex.ID]; st.queue.Advice != nil && !asked {
			freed *= c.allowedShareOf(st.queue.Name).value
		}
		r.Freed += freed
	}
	// Of what becomes free, the steps of higher classes that are still to come take as much as those so far.
	share := min(max(r.Freed, 0)/max(whole, 1), 1)
	for _, taken := range c.near.taken[st.rack()] {
		if taken.priority < st.queue.Priority {
			r.Freed -= share * taken.cpu.PerSecond(now, c.TakeoverAt)
		}
	}
	if !st.near.beganAt.IsZero() {
		s.Waited = now.Sub(st.near.beganAt)
	}
	if c.isWanted(st.rack()) {
		w := c.near.wanted[st.rack()]
		r.Idle = now.Sub(w.gotAt)
		claims, i := c.rackClaims(w, st, need*float64(missing))
		// The steps before it use all of the rack, and only part of that on the executors that this one may use.
		r.Ahead = near.Ahead(claims, i) * share
	}
	return near.Decide(s, r)
}

// rackHolds reports whether the executors of its rack that the gang may use are large enough for all of it.
func (c *Core) rackHolds(now time.Time, st *stepState) bool {
	n := 0
	for _, ex := range c.rackExecutors(now, st.rack()) {
		if c.mayUse(now, st, ex) {
			n += c.fitsInto(st, ex, ex.Capacity)
		}
	}
	return n >= st.spec.Count
}

// rackClaims returns the claims of the steps that wait for a rack and of one step, in scheduling order, and the index of
// that step.
func (c *Core) rackClaims(w *wantedRack, st *stepState, cpu float64) ([]near.Claim, int) {
	steps := slices.DeleteFunc(slices.Clone(w.steps), func(other *stepState) bool { return other == st })
	steps = append(steps, st)
	slices.SortFunc(steps, func(a, b *stepState) int {
		if schedulesBefore(a, b) {
			return -1
		}
		return 1
	})
	claims := make([]near.Claim, 0, len(steps))
	for _, other := range steps {
		claim := near.Claim{
			Class: other.queue.Priority, Team: other.job.Spec.Team,
			CPU: float64(other.spec.Reserved().CPUMillis) * float64(min(other.near.tasks, len(other.pending))),
		}
		if t := other.job.team; t != nil {
			claim.Weight = t.Weight
		}
		if other == st {
			claim.CPU = cpu
		}
		claims = append(claims, claim)
	}
	return claims, slices.Index(steps, st)
}

// harm returns the seconds by which others are delayed for each second that a task of the step runs longer.
func (c *Core) harm(st *stepState) float64 {
	return float64(st.spec.Reserved().CPUMillis) * float64(len(c.runnable)) / float64(max(c.pool(st.queue.Service).capacity, 1))
}

// gain returns the time that a near place saves a task of the step.
func (c *Core) gain(st *stepState) time.Duration {
	return fleet.Times((st.remoteSlowdown-1)*c.near.runTimes.Ratio(st.image(), st.spec.Count), min(st.spec.Estimate, flow.MaxEstimate))
}

// image names the tasks that behave like those of the step.
func (st *stepState) image() string {
	return cmp.Or(st.spec.Image, "queue "+st.queue.Name)
}

// splitNear splits candidates into near ones and the others.
func (c *Core) splitNear(st *stepState, candidates []place.Candidate) (nearby, others []place.Candidate) {
	for _, cand := range candidates {
		if st.isNear(c.executors[cand.Worker]) {
			nearby = append(nearby, cand)
		} else {
			others = append(others, cand)
		}
	}
	return nearby, others
}

// placeTasksNear starts the pending tasks of a step in near places, and as many of the others elsewhere as do not wait.
func (c *Core) placeTasksNear(now time.Time, st *stepState, candidates []place.Candidate) {
	if st.scansAll {
		c.chooseRack(st, candidates)
	}
	nearby, others := c.splitNear(st, candidates)
	before := len(st.pending)
	if len(nearby) > 0 {
		c.placeTasks(now, st, nearby, 0)
	}
	c.countPlaces(now, st, before-len(st.pending))
	// Only tasks that the quota lets start now can use a near place or start elsewhere.
	room := st.quotaRoom()
	if room == 0 || !c.leavesReserve(st, 1) || !c.fitsAny(st, others) {
		return
	}
	waiting := c.updateNearWait(now, st, room)
	before = len(st.pending)
	if waiting < room {
		c.placeTasks(now, st, others, before-(room-waiting))
	}
	nearAway.Add(before - len(st.pending))
	c.Stats.NearElsewhere += int64(before - len(st.pending))
}

// placeGangNear starts all tasks of a gang on one rack, or on any if it does not wait for that.
func (c *Core) placeGangNear(now time.Time, st *stepState, candidates []place.Candidate) {
	c.chooseRack(st, candidates)
	nearby, _ := c.splitNear(st, candidates)
	missing := st.spec.Count - c.fitsAmong(st, nearby)
	if missing <= 0 {
		c.startGang(now, st, nearby)
		if len(st.pending) == 0 {
			c.countPlaces(now, st, st.spec.Count)
		}
		return
	}
	if c.fitsAmong(st, candidates) < st.spec.Count || c.updateNearWait(now, st, missing) > 0 {
		return
	}
	c.startGang(now, st, candidates)
	if len(st.pending) == 0 {
		nearAway.Add(st.spec.Count)
		c.Stats.NearElsewhere += int64(st.spec.Count)
	}
}

// fitsAmong returns how many tasks of the step fit on the candidates.
func (c *Core) fitsAmong(st *stepState, candidates []place.Candidate) int {
	n := 0
	for _, cand := range candidates {
		n += c.fits(st, c.executors[cand.Worker])
	}
	return n
}

// fitsAny reports whether a task of the step fits on any of the candidates.
func (c *Core) fitsAny(st *stepState, candidates []place.Candidate) bool {
	return slices.ContainsFunc(candidates, func(cand place.Candidate) bool { return c.fits(st, c.executors[cand.Worker]) > 0 })
}

// chooseRack chooses the rack of a step without data: that of its runs, or the one whose candidates fit the most tasks.
// It stays while another one would not fit more of the pending tasks.
func (c *Core) chooseRack(st *stepState, candidates []place.Candidate) {
	if !st.spec.SameRack || st.spec.DataRack != "" {
		return
	}
	runs := make(map[string]int)
	for id, n := range st.runsOn {
		if ex := c.executors[id]; ex != nil && n > 0 {
			runs[ex.Rack] += n
		}
	}
	fits := make(map[string]int)
	best := st.preferredRack
	if len(runs) > 0 {
		for rack, n := range runs {
			if n > runs[best] || n == runs[best] && rack < best {
				best = rack
			}
		}
	} else {
		for _, cand := range candidates {
			ex := c.executors[cand.Worker]
			fits[ex.Rack] = min(fits[ex.Rack]+c.fits(st, ex), len(st.pending))
		}
		for rack, n := range fits {
			if n > fits[best] || n == fits[best] && best != st.preferredRack && rack < best {
				best = rack
			}
		}
	}
	if best != st.preferredRack {
		c.leaveRack(st)
		st.preferredRack = best
		st.near.tasks = 0 // decided anew for this rack; the time waited counts
	}
}

// declinesElsewhere reports whether all pending tasks of the step wait for near places, for long enough that it needs
// no ticket for other executors yet.
func (st *stepState) declinesElsewhere(now time.Time) bool {
	if st.near.tasks == 0 || st.near.tasks < st.quotaRoom() {
		return false
	}
	latency := ticketMargin
	if a := st.queue.Advice; a != nil {
		latency += a.BaseLatency + a.LatencyPerExecutor*usualAdviceExecutors
	}
	return now.Add(latency).Before(st.near.until)
}

// nearStandby returns the near executors without room for which a step that would wait there needs tickets, so that it
// can use a place as soon as there is one.
func (c *Core) nearStandby(now time.Time, st *stepState, renewBefore time.Time) []*executor {
	if !st.waitsForNear() || st.near.over {
		return nil
	}
	var out []*executor
	room := 0
	for _, ex := range c.rackExecutors(now, st.rack()) {
		if !c.mayUse(now, st, ex) {
			continue
		}
		if fits := c.fits(st, ex); fits > 0 {
			room += fits
			continue
		}
		_, inFlight := st.asking[ex.ID]
		t, ok := st.tickets[ex.ID]
		if !inFlight && len(out) < maxNearStandby && (!ok || t.incarnation != ex.incarnation || !renewBefore.Before(t.until)) {
			out = append(out, ex)
		}
	}
	missing := st.quotaRoom() - room
	if missing <= 0 || st.near.tasks == 0 && c.decideNear(now, st, missing).Tasks == 0 {
		return nil
	}
	return out
}

// recordNear records the executors of the step's rack for its job, so that tasks can start there as soon as there is room.
func (c *Core) recordNear(now time.Time, st *stepState) {
	if !st.waitsForNear() {
		return
	}
	var ids []string
	for _, ex := range c.rackExecutors(now, st.rack()) {
		if len(ids) < maxNearStandby && !st.job.recordedOn[ex.ID] && c.mayUse(now, st, ex) {
			ids = append(ids, ex.ID)
		}
	}
	if len(ids) > 0 {
		c.recordExecutors(st.job, ids)
	}
}

// slowdownAt returns how many times as long a run takes on its executor because that is not near.
func (c *Core) slowdownAt(r *run) float64 {
	if r.step.waitsForNear() && r.ex.Rack != r.step.rack() {
		return r.step.remoteSlowdown
	}
	return 1
}

// observeNear records the end of a run that is done, which took ratio times its estimate, and returns what it would have
// taken in a near place.
func (c *Core) observeNear(r *run, ratio float64) float64 {
	if c.RemoteSlowdown <= 1 {
		return ratio
	}
	ratio /= c.slowdownAt(r)
	c.near.runTimes.Observe(r.step.image(), ratio)
	return ratio
}

// observeFreed records that a run no longer takes room on its executor.
func (c *Core) observeFreed(now time.Time, r *run) {
	if c.RemoteSlowdown > 1 {
		r.ex.freedCPU.Add(now, float64(r.spec().Reserved().CPUMillis))
	}
}

// observeTaken records that a task took room on the rack of its step, or on one that other steps wait for.
func (c *Core) observeTaken(now time.Time, st *stepState, ex *executor) {
	if st.waitsForNear() && st.rack() == ex.Rack {
		if c.near.taken == nil {
			c.near.taken = make(map[string][]classTaken)
		}
		classes := c.near.taken[ex.Rack]
		i := slices.IndexFunc(classes, func(t classTaken) bool { return t.priority == st.queue.Priority })
		if i < 0 {
			i, classes = len(classes), append(classes, classTaken{priority: st.queue.Priority})
			c.near.taken[ex.Rack] = classes
		}
		classes[i].cpu.Add(now, float64(st.spec.Reserved().CPUMillis))
	}
	if c.isWanted(ex.Rack) && st.rack() != ex.Rack {
		ex.takenCPU.Add(now, float64(st.spec.Reserved().CPUMillis))
	}
}

// validSlowdown returns a slowdown that can be relied on: settings may hold any number.
func validSlowdown(x float64) float64 {
	if x <= 1 || math.IsNaN(x) || math.IsInf(x, 0) {
		return 0
	}
	return x
}
