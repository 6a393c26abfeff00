package cell

import (
	"slices"
	"time"

	"github.com/daisyrack/daisyrack/pkg/place"
)

// maxHoldingTasks is the number of pending tasks up to which a step holds room. A hold keeps room on about
// three executors for each one that is allowed, so that those of wide steps would keep other long-running
// steps waiting.
const maxHoldingTasks = 2

// holdRoom holds room for one task on each of the executors named in a call for a long-running step that has
// been waiting. On a full fleet the room would otherwise be taken, while the call is in flight, by tasks of
// later steps that have tickets already, again and again.
func (c *Core) holdRoom(now time.Time, req *AdviceRequest) {
	st := req.state
	if !st.spec.LongRunning || !st.impatient || len(st.pending) > maxHoldingTasks {
		return
	}
	until := now.Add(c.AdviceTimeout(req))
	for _, id := range req.Executors {
		ex := st.asking[id].ex
		ex.holds[st] = until
		c.held[ex] = true
	}
}

// extendHolds lets the holds for a call that has ended last as long as the tickets that it got, since the
// executors may have to be stored first, and ends the others.
func (c *Core) extendHolds(now time.Time, req *AdviceRequest, allowed map[string]bool, validity time.Duration) {
	for _, id := range req.Executors {
		ex := req.state.asking[id].ex
		if _, held := ex.holds[req.state]; !held {
			continue
		}
		ex.holds[req.state] = now
		if allowed[id] {
			ex.holds[req.state] = now.Add(validity)
		}
	}
	c.expireHolds(now)
}

// leavesHeldRoom reports whether a task of the step leaves the room on an executor that is held for steps
// earlier in scheduling order. Holds for which there is no room anyway keep nobody away.
func (c *Core) leavesHeldRoom(now time.Time, st *stepState, ex *executor) bool {
	if len(ex.holds) == 0 {
		return true
	}
	free, _ := c.allocator.Free(ex.ID)
	var held place.Resources
	for _, other := range ex.holders(now) {
		if need := other.spec.Reserved(); schedulesBefore(other, st) && held.Add(need).Fits(free) {
			held = held.Add(need)
		}
	}
	return held.Fits(free.Sub(st.spec.Reserved())) || held == place.Resources{}
}

// holders returns the steps for which room is held on the executor, in scheduling order.
func (ex *executor) holders(now time.Time) []*stepState {
	var out []*stepState
	for st, until := range ex.holds {
		if st.holdCounts(now, until) {
			out = append(out, st)
		}
	}
	slices.SortFunc(out, func(a, b *stepState) int {
		if schedulesBefore(a, b) {
			return -1
		}
		return 1
	})
	return out
}

// holdCounts reports whether a hold of the step that ends at the given time is still in force.
func (st *stepState) holdCounts(now, until time.Time) bool {
	return now.Before(until) && len(st.pending) > 0
}

// expireHolds drops the holds that are no longer in force, so that other steps try the executors again.
func (c *Core) expireHolds(now time.Time) {
	for ex := range c.held {
		for st, until := range ex.holds {
			if !st.holdCounts(now, until) {
				delete(ex.holds, st)
				c.markFreed(ex)
			}
		}
		if len(ex.holds) == 0 {
			delete(c.held, ex)
		}
	}
}

// withoutHeld returns the candidates on which the step may start a task beside the room that is held.
func (c *Core) withoutHeld(now time.Time, st *stepState, candidates []place.Candidate) []place.Candidate {
	if len(c.held) == 0 {
		return candidates
	}
	return slices.DeleteFunc(slices.Clone(candidates), func(cand place.Candidate) bool {
		return !c.leavesHeldRoom(now, st, c.executors[cand.Worker])
	})
}
