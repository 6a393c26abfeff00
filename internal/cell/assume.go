package cell

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/flow"
	"github.com/daisyrack/daisyrack/internal/share"
	"github.com/daisyrack/daisyrack/pkg/place"
)

// endedRunsWindow is how long after its end runs of a job may go on that a new owner has not seen: until a stop reaches
// their executor or their lease has expired, and as much again for the time of a takeover.
const endedRunsWindow = 30 * time.Second

// assumption is what a restored job of a team may have running without the knowledge of this owner.
type assumption struct {
	// unclaimed are the executors on which an earlier owner may have started tasks of the job, and may still do so.
	unclaimed map[string]bool
	// need is the need of these tasks, except that of best-effort ones. over is theirs: an executor runs them beyond
	// its capacity.
	need, over place.Resources
}

// assumeRuns makes the tasks of a restored job count for its team as far as they may be running on executors that are
// not claimed. Jobs that have just ended are included: their runs may not have been stopped yet.
func (c *Core) assumeRuns(now time.Time, j *job) {
	if j.Spec.Team == "" || len(j.Executors()) == 0 || j.State.Final() && now.Sub(j.Ended) > endedRunsWindow {
		return
	}
	j.assumption = &assumption{unclaimed: make(map[string]bool)}
	for _, id := range j.Executors() {
		j.assumption.unclaimed[id] = true
		c.assumedOn[id] = append(c.assumedOn[id], j)
	}
	if j.team != nil {
		j.team.addUnclaimed(j)
	}
	c.staleAssumptions[j] = true
}

// addUnclaimed counts the unclaimed executors of a job.
func (t *team) addUnclaimed(j *job) {
	for id := range j.assumption.unclaimed {
		t.unclaimed[id]++
	}
}

// endAssumptions records that no runs of earlier owners are on an executor that this owner does not know of.
func (c *Core) endAssumptions(id string) {
	for _, j := range c.assumedOn[id] {
		delete(j.assumption.unclaimed, id)
		c.staleAssumptions[j] = true
		if t := j.team; t != nil {
			if t.unclaimed[id]--; t.unclaimed[id] <= 0 {
				delete(t.unclaimed, id)
			}
		}
	}
	delete(c.assumedOn, id)
}

// endOverdueAssumptions does that for the executors on which all leases of earlier owners have expired.
func (c *Core) endOverdueAssumptions(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(c.assumedOn)) {
		if c.hasExpired(now, c.priorLeaseExpiry(id)) {
			c.endAssumptions(id)
		}
	}
}

// refreshAssumptions brings up to date what teams may have running on unclaimed executors. Nothing starts between two
// calls.
func (c *Core) refreshAssumptions() {
	if len(c.staleAssumptions) == 0 && len(c.assumedOn) == 0 {
		return
	}
	for j := range c.staleAssumptions {
		delete(c.staleAssumptions, j)
		a := j.assumption
		need, over := a.need, a.over
		a.need, a.over = place.Resources{}, place.Resources{}
		if j.team != nil && len(a.unclaimed) > 0 {
			a.need, a.over = j.mayHaveRunning()
		}
		if j.team != nil {
			j.team.assumed = j.team.assumed.Add(a.need.Sub(need))
			j.team.assumedOver = j.team.assumedOver.Add(a.over.Sub(over))
		}
		if len(a.unclaimed) == 0 {
			j.assumption = nil
			c.releaseEnded(j)
		}
	}
	for _, t := range c.teams {
		t.quota.Assumed = t.assumed.Min(c.mostOn(len(t.unclaimed))).Add(t.assumedOver)
	}
}

// mostOn returns the most that can run on so many executors, by the largest known one. Without any there is no bound.
func (c *Core) mostOn(executors int) place.Resources {
	if c.largest == (place.Resources{}) {
		return place.Resources{CPUMillis: math.MaxInt64, MemoryMB: math.MaxInt64, Accelerators: math.MaxInt64}
	}
	return share.Times(c.largest, int64(executors))
}

// mayHaveRunning returns the need of the tasks that may run on unclaimed executors. An unfinished task without a known
// run may; whether its step is ready is not known, since ends of earlier steps may not be listed yet. Tasks that may run
// several times may do so on each of the executors, done or not, and the members of a gang that is done may not have
// been stopped yet.
func (j *job) mayHaveRunning() (need, over place.Resources) {
	add := func(s *flow.StepSpec, tasks int) {
		sum := share.Times(s.Need, int64(tasks))
		if s.BestEffort {
			over = over.Add(sum)
		} else {
			need = need.Add(sum)
		}
	}
	executors := len(j.assumption.unclaimed)
	for i := range j.Spec.Steps {
		s := &j.Spec.Steps[i]
		switch {
		case j.State.Final():
			// Which tasks had ended is not stored with the final state.
			add(s, s.Count*max(j.Spec.Occurrences, 1))
		case j.Spec.Occurrences > 0 && s.AllowConcurrentRuns:
			add(s, s.Count*executors)
		case j.Spec.Occurrences > 0 && s.Gang:
			add(s, s.Count) // of an occurrence that has ended
		}
	}
	for _, occ := range j.OpenOccurrences() {
		for i := range j.Spec.Steps {
			s := &j.Spec.Steps[i]
			if s.AllowConcurrentRuns {
				add(s, s.Count*executors)
				continue
			}
			tasks := 0
			for index := range s.Count {
				t := fleet.TaskID{Job: j.ID, Occurrence: occ, Step: i, Index: index}
				if (s.Gang || !j.Task(t).Done) && len(j.runs[t]) == 0 {
					tasks++
				}
			}
			add(s, tasks)
		}
	}
	return need, over
}

// markRunsChanged records that the known runs of a job have changed.
func (c *Core) markRunsChanged(j *job) {
	if j.assumption != nil {
		c.staleAssumptions[j] = true
	}
}

// mayHaveRuns reports whether tasks of a job may be running.
func (j *job) mayHaveRuns() bool { return len(j.runs) > 0 || j.assumption != nil }

// releaseEnded makes the spec and the places of an ended job obsolete. Those of a team's job are kept until none of its
// tasks runs, so that the next owner can count them.
func (c *Core) releaseEnded(j *job) {
	if !j.storedState.Final() || j.Spec.Team != "" && j.mayHaveRuns() {
		return
	}
	c.releasePage(j.specPage)
	j.specPage = nil
	c.releasePlaces(j)
}

// hasRunsOfEnded reports whether the task may be one of a team's job or occurrence that has ended.
func (j *job) hasRunsOfEnded(t fleet.TaskID) bool {
	return j.Spec.Team != "" && t.Step >= 0 && t.Step < len(j.Spec.Steps) && t.Index >= 0 && t.Index < j.Spec.Steps[t.Step].Count
}
