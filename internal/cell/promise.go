package cell

import (
	"maps"
	"slices"
	"time"
)

// maxStandbyExecutors is the number of executors without room for which a long-running step that waits
// keeps tickets.
const maxStandbyExecutors = 20

// fitsBesidePromises returns for how many tasks of the step an executor with the given free CPU in
// millicores has room beside what slow calls in flight are likely to claim. For a long-running step only
// calls for steps that come first in scheduling order count: the tasks of the others give way to those of
// this step. For the others all count, which spreads the steps of a backlog over the executors.
func (st *stepState) fitsBesidePromises(ex *executor, freeCPU int64) int {
	need := max(st.spec.Reserved().CPUMillis, 1)
	if !st.spec.LongRunning {
		return int(max(freeCPU-ex.promisedCPU, 0) / need)
	}
	for other, cpu := range ex.promises {
		if !other.job.State.Final() && schedulesBefore(other, st) {
			freeCPU -= cpu
		}
	}
	freeCPU += need / 2 // a promise of less than half a task does not take the only place
	return int(max(freeCPU, 0) / need)
}

// isPromised reports whether an executor has room for the step only without what slow calls in flight
// are likely to claim, so that it is not asked for.
func (c *Core) isPromised(st *stepState, ex *executor) bool {
	free, _ := c.allocator.Free(ex.ID)
	return st.hasSlowAdvice() && st.fitsBesidePromises(ex, free.CPUMillis) == 0
}

// standbyExecutors returns executors that are known to be allowed for a long-running step that has been
// waiting, and whose tickets run out. Without them, room that becomes free there is taken by later steps
// before the step can ask for it.
func (c *Core) standbyExecutors(now time.Time, st *stepState, renewBefore time.Time) []*executor {
	if !st.spec.LongRunning || !st.impatient {
		return nil
	}
	var out []*executor
	for _, id := range slices.Sorted(maps.Keys(st.tickets)) {
		ex, t := c.executors[id], st.tickets[id]
		if ex == nil || t.incarnation != ex.incarnation || renewBefore.Before(t.until) || !c.isEligible(now, st, ex) {
			continue
		}
		if _, inFlight := st.asking[id]; inFlight || !st.spec.Reserved().Fits(ex.Capacity) {
			continue
		}
		if out = append(out, ex); len(out) == maxStandbyExecutors {
			break
		}
	}
	return out
}

// promiseRoom records what a slow call for the step is expected to claim of the executors that it names: in
// all no more than its pending tasks need, since a single task asks for several executors.
func (st *stepState) promiseRoom(named []*executor, share float64) {
	total := 0.0
	for _, ex := range named {
		total += share * float64(st.asking[ex.ID].fits)
	}
	if total == 0 {
		return
	}
	perTask := share * min(1, float64(len(st.pending))/total) * float64(st.spec.Reserved().CPUMillis)
	for _, ex := range named {
		cpu := int64(perTask * float64(st.asking[ex.ID].fits))
		ex.promises[st] = cpu
		ex.promisedCPU += cpu
	}
}
