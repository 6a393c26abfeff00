package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/daisyrack/daisyrack/pkg/place"
)

// gangRetryInterval is the time between two attempts to place a gang.
const gangRetryInterval = 25 * time.Millisecond

// stopPartOfGang stops the runs of a gang that has pending tasks as well: the owner that started them
// did not start the others, or some have ended. It reports whether there are any.
func (c *Core) stopPartOfGang(now time.Time, st *stepState) bool {
	live := st.liveRuns()
	for _, r := range live {
		c.stopRun(now, r, "gang is incomplete")
	}
	return len(live) > 0
}

// tryGang places a gang if that could succeed where it did not before. Placing all of its tasks takes
// long, so it is not tried after every event.
func (c *Core) tryGang(now time.Time, st *stepState, freed []*executor) {
	st.fullScan = st.fullScan || len(c.candidatesAmong(now, st, freed)) > 0
	if !st.fullScan || now.Before(st.nextGangAt) {
		return
	}
	st.fullScan = false
	st.nextGangAt = now.Add(gangRetryInterval)
	switch candidates := c.candidates(now, st); {
	case len(candidates) == 0:
	case st.waitsForNear():
		c.placeGangNear(now, st, candidates)
	default:
		c.startGang(now, st, candidates)
	}
}

// startGang starts all tasks of a gang or none.
func (c *Core) startGang(now time.Time, st *stepState, candidates []place.Candidate) {
	if len(st.pending) < st.spec.Count || !c.leavesReserve(st, st.spec.Count) {
		return
	}
	if st.holdsForQuota() {
		c.holdForQuota(now, st)
		return
	}
	number := int64(0)
	for _, index := range st.pending {
		number = max(number, c.nextRunNumber(st.job, st.taskID(index)))
	}
	if st.hasSuspects() {
		st.sortSuspectsFirst()
	}
	placed := make([]*executor, 0, len(st.pending))
	for _, index := range st.pending {
		ex := c.allocate(now, st, index, number, candidates)
		if ex == nil {
			break
		}
		st.runsOn[ex.ID]++
		placed = append(placed, ex)
		if st.isSuspect(index) && !st.trialOverdue {
			candidates = without(candidates, ex)
		}
	}
	for _, ex := range placed {
		st.runsOn[ex.ID]--
	}
	if len(placed) < len(st.pending) {
		for i := range placed {
			c.allocator.Release(runKey(st.taskID(st.pending[i]), number))
		}
		for _, index := range st.pending {
			st.job.lastRunNumber[st.taskID(index)]--
		}
		return
	}
	for i, index := range st.pending {
		st.job.lastRunNumber[st.taskID(index)] = number - (c.Epoch-1)*runsPerEpoch
		c.startRun(now, st, index, number, placed[i])
	}
	st.pending = nil
}

// sortSuspectsFirst sorts the pending tasks so that suspects are placed first, since the others must not
// share their executors.
func (st *stepState) sortSuspectsFirst() {
	slices.SortStableFunc(st.pending, func(a, b int) int {
		switch suspect := st.isSuspect(a); {
		case suspect == st.isSuspect(b):
			return cmp.Compare(a, b)
		case suspect:
			return -1
		}
		return 1
	})
}
