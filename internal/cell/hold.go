package cell

import (
	"time"

	"github.com/daisyrack/daisyrack/pkg/place"
)

// ticketHold is how long room is held for a long-running step after the policy service has allowed it: its
// executors may have to be stored first.
const ticketHold = 300 * time.Millisecond

// holdRoom holds room for one task on each of the executors named in a call for a long-running step that has
// been waiting. On a full fleet the room would otherwise be taken, while the call is in flight, by tasks of
// later steps that have tickets already, again and again.
func (c *Core) holdRoom(now time.Time, req *AdviceRequest) {
	st := req.state
	if !st.spec.LongRunning || !st.impatient {
		return
	}
	until := now.Add(c.AdviceTimeout(req))
	for _, id := range req.Executors {
		ex := st.asking[id].ex
		ex.holds[st] = until
		c.held[ex] = true
	}
}

// releaseRoom ends the holds for a call that has ended, those on allowed executors after ticketHold.
func (c *Core) releaseRoom(now time.Time, req *AdviceRequest, allowed map[string]bool) {
	for _, id := range req.Executors {
		ex := req.state.asking[id].ex
		if _, held := ex.holds[req.state]; !held {
			continue
		}
		ex.holds[req.state] = now
		if allowed[id] {
			ex.holds[req.state] = now.Add(ticketHold)
		}
	}
	c.expireHolds(now)
}

// leavesHeldRoom reports whether a task of the step leaves the room on an executor that is held for steps
// earlier in scheduling order.
func (c *Core) leavesHeldRoom(now time.Time, st *stepState, ex *executor) bool {
	if len(ex.holds) == 0 {
		return true
	}
	free, _ := c.allocator.Free(ex.ID)
	left := free.Sub(st.spec.Reserved())
	for other, until := range ex.holds {
		if other.holds(now, until) && schedulesBefore(other, st) && !other.spec.Reserved().Fits(left) {
			return false
		}
	}
	return true
}

// holds reports whether a hold of the step counts that ends at the given time.
func (st *stepState) holds(now, until time.Time) bool {
	return now.Before(until) && len(st.pending) > 0
}

// expireHolds drops the holds that no longer count, so that other steps try the executors again.
func (c *Core) expireHolds(now time.Time) {
	for ex := range c.held {
		for st, until := range ex.holds {
			if !st.holds(now, until) {
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
	for i, cand := range candidates {
		if c.leavesHeldRoom(now, st, c.executors[cand.Worker]) {
			continue
		}
		usable := append([]place.Candidate(nil), candidates[:i]...)
		for _, cand := range candidates[i+1:] {
			if c.leavesHeldRoom(now, st, c.executors[cand.Worker]) {
				usable = append(usable, cand)
			}
		}
		return usable
	}
	return candidates
}
