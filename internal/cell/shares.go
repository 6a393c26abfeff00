package cell

import (
	"math"
	"slices"
	"time"

	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/flow"
	"github.com/daisyrack/daisyrack/internal/share"
)

// shareInterval is the time between two updates of the order of teams, since each goes through all waiting steps.
const shareInterval = 100 * time.Millisecond

// claimPatience is how long room is left free for a step within its team's share that does not start although there is
// enough: two slow calls to the policy service. It cannot use that room then, for reasons of its own.
const claimPatience = 2 * time.Second

// maxYield is how long a job beyond the rate of its team yields to others. After that it is ordered as others are, so that
// it ends however long a shortage lasts.
const maxYield = 30 * time.Second

const (
	// peakForgotten is the share of a peak that is forgotten within a second, and maxPeakShare the most that is kept
	// free for such peaks, as a share of the pool. Without it urgent steps of teams within their share wait about 0.3 s
	// for others to end, more than their objective leaves.
	peakForgotten = 0.5
	maxPeakShare  = 0.1
)

// contest is what teams compete for: the executors of a service, within one priority class.
type contest struct {
	priority int
	service  string
}

// claim is what steps within the shares of their teams wait for in one contest.
type claim struct {
	contest
	pool *pool
	// millis is the CPU that they wait for, need the most that one task needs, both in millicores.
	millis, need int64
	// peak is the most that steps of teams within their share have lately waited for at the same time.
	peak float64
	// usable is what is free in such pieces and what was in use when that was looked for, in the pass usableIn.
	usable, usableIn int64
	// closedIn is the last pass in which more was claimed than is free.
	closedIn int64
}

// account is what a team has of one contest.
type account struct {
	share.Account
	weight float64
	// running is the CPU reserved by its runs that count, pending that of its waiting tasks, both in millicores.
	running, pending int64
	// had is the service of the team in this contest and in those of more urgent classes for the same executors, so that
	// a team that floods one class yields in the others.
	had float64
	// ahead is the charge of its waiting steps in the order so far.
	ahead float64
	// claimed is the CPU that its steps have claimed in the pass claimedIn, in millicores.
	claimed, claimedIn int64
	// over is set while it has waiting steps beyond its share.
	over bool
	// level is the service for each unit of weight up to which it is within its share.
	level float64
}

// joinContest sets the contest and the account of a step, after its queue or the teams have changed. A step has no account
// if it belongs to no team, or if its tasks last: callers notice at once when they are missing.
func (c *Core) joinContest(st *stepState) {
	if len(c.teams) == 0 {
		st.claim, st.account, st.turn = nil, nil, 0
		return
	}
	key := contest{st.queue.Priority, st.queue.Service}
	if st.claim = c.claims[key]; st.claim == nil {
		st.claim = &claim{contest: key, pool: c.pool(key.service)}
		c.claims[key] = st.claim
	}
	t := st.job.team
	if t == nil || st.spec.LongRunning {
		st.account, st.turn = nil, 0
		return
	}
	if st.account = t.accounts[key]; st.account == nil {
		st.account = &account{weight: t.weight, level: math.Inf(1)}
		t.accounts[key] = st.account
	}
}

// keepAccounts makes the team go on with what it has had under the former configuration.
func (t *team) keepAccounts(former *team) {
	for key, a := range former.accounts {
		t.accounts[key] = &account{Account: a.Account, weight: t.weight, level: a.level}
	}
}

// charge returns what the waiting tasks of the step stand for.
func (st *stepState) charge() float64 {
	return share.Charge(cores(st.spec.Reserved().CPUMillis*int64(len(st.pending))), st.spec.Estimate)
}

func cores(millis int64) float64 { return float64(millis) / 1000 }

// isOverRate counts a new job of a team and reports whether it is beyond what the team is entitled to. Jobs of public queues,
// periodic and long-running ones are not.
func (c *Core) isOverRate(now time.Time, spec *flow.Spec, q *fleet.Queue) bool {
	t := c.teams[spec.Team]
	if t == nil || q.Public || spec.Occurrences > 0 || slices.ContainsFunc(spec.Steps, func(s flow.StepSpec) bool { return s.LongRunning }) {
		return false
	}
	if t.rate.Take(now) {
		return false
	}
	t.beyondRate++
	return true
}

// setTurn gives a step that begins to wait its place behind the other steps of its team.
func (c *Core) setTurn(st *stepState) {
	st.turn = 0
	if a := st.account; a != nil {
		st.turn = share.Turn(a.had, a.ahead, a.weight, a.level)
		a.ahead += st.charge()
		a.over = a.over || st.turn > 0
		c.anyYields = c.anyYields || st.turn > 0
	}
}

// clearClaims begins a pass, in which steps claim room anew.
func (c *Core) clearClaims() {
	for _, cl := range c.claims {
		cl.millis = 0
	}
}

// claimRoom keeps room free for the tasks of a step that is within its team's share, or has none. The steps of teams
// beyond their share would otherwise take each place that becomes free, for which they have tickets already, while this
// step is asking for one.
func (c *Core) claimRoom(now time.Time, st *stepState) {
	cl := st.claim
	if cl == nil || !c.anyYields || len(st.pending) == 0 {
		return
	}
	if cl.closedIn == c.Stats.Passes {
		st.claimedAt = now
		return
	}
	available := c.available(cl)
	if cl.millis > available {
		cl.closedIn = c.Stats.Passes // what comes later has to yield anyway
		st.claimedAt = now
		return
	}
	if st.holdsForQuota() || !c.leavesReserve(st, 1) {
		return
	}
	need := st.spec.Reserved().CPUMillis
	claimed := cl.millis + need*int64(st.quotaRoom())
	if st.claimedAt.IsZero() || claimed > available {
		st.claimedAt = now
	}
	if now.Sub(st.claimedAt) >= claimPatience {
		return
	}
	a := st.account
	if a != nil {
		a.claimed, a.claimedIn = a.claimedBy(c.Stats.Passes)+claimed-cl.millis, c.Stats.Passes
	}
	cl.millis, cl.need = claimed, max(cl.need, need)
	if cl.priority == 0 && (a == nil || !a.over) {
		cl.peak = min(max(cl.peak, float64(claimed)), maxPeakShare*float64(cl.pool.capacity))
	}
}

// claimedBy returns what the team's steps have claimed so far in a pass.
func (a *account) claimedBy(pass int64) int64 {
	if a.claimedIn != pass {
		return 0
	}
	return a.claimed
}

// seeClaims records what steps of other teams that come before the step have claimed in this pass.
func (c *Core) seeClaims(st *stepState) {
	if st.turn <= 0 {
		return
	}
	st.claimsBefore = st.claim.millis - st.account.claimedBy(c.Stats.Passes)
}

// leavesClaims reports whether tasks of the step leave the room that steps within the shares of their teams have claimed.
func (c *Core) leavesClaims(st *stepState, tasks int) bool {
	if st.turn <= 0 {
		return true
	}
	cl := st.claim
	kept := max(st.claimsBefore, int64(cl.peak))
	left := kept + st.spec.Reserved().CPUMillis*int64(tasks)
	return kept == 0 || c.available(cl) >= left && c.usable(cl) >= left
}

// usable returns the CPU in millicores on executors that is free in pieces as large as the claims need: on a full fleet
// most of what is free is in smaller ones.
func (c *Core) usable(cl *claim) int64 {
	p := cl.pool
	if cl.usableIn != c.Stats.Passes {
		cl.usableIn, cl.usable = c.Stats.Passes, p.urgent+p.other
		for _, ex := range c.sortedExecutors {
			if ex.Service != cl.service || ex.Draining || !ex.claimed || ex.missedPolls >= maxMissedPolls {
				continue
			}
			free, _ := c.allocator.Free(ex.ID)
			cl.usable += max(free.CPUMillis-free.CPUMillis%max(cl.need, 1), 0)
		}
	}
	return cl.usable - p.urgent - p.other
}

// available returns the CPU in millicores that steps of a contest may start tasks on.
func (c *Core) available(cl *claim) int64 {
	p := cl.pool
	free := p.capacity - p.urgent - p.other
	if cl.priority > 0 {
		free = min(free, p.capacity-p.urgentReserve()-p.other)
	}
	return max(free, 0)
}

// updateShares orders the waiting steps by what their teams have had lately, where demand exceeds the capacity.
func (c *Core) updateShares(now time.Time) {
	elapsed := now.Sub(c.sharesUpdatedAt)
	if len(c.teams) == 0 || elapsed < shareInterval {
		return
	}
	if c.sharesUpdatedAt.IsZero() {
		elapsed = 0
	}
	c.sharesUpdatedAt = now
	for _, t := range c.teams {
		for _, a := range t.accounts {
			a.Advance(elapsed, cores(a.running))
			a.pending, a.ahead, a.over = 0, 0, false
		}
	}
	for _, cl := range c.claims {
		if cl.peak *= math.Pow(1-peakForgotten, elapsed.Seconds()); cl.peak < 1 {
			cl.need = 0
		}
	}
	for _, st := range c.runnable {
		if a := st.account; a != nil && st.job.accepted && !st.holdsForQuota() {
			a.pending += st.spec.Reserved().CPUMillis * int64(st.quotaRoom())
		}
	}
	c.setLevels()
	reordered := false
	for _, st := range c.runnable {
		if st.job.overRate && now.Sub(st.job.Spec.Accepted) >= maxYield {
			st.job.overRate, reordered = false, true
		}
		reordered = reordered || st.turn != 0
		st.turn = 0
	}
	if reordered {
		c.sortRunnable() // within a team in the order without shares
	}
	reordered = false
	for _, st := range c.runnable {
		c.setTurn(st)
		reordered = reordered || st.turn != 0
	}
	if reordered {
		c.sortRunnable()
	}
	c.anyYields = reordered && slices.ContainsFunc(c.runnable, func(st *stepState) bool { return st.turn > 0 })
}

// setLevels sets up to which service teams are within their share of each contest, and what they have had.
func (c *Core) setLevels() {
	claims := make(map[contest][]share.Claim)
	own := make(map[contest]int64)
	for _, t := range c.teams {
		for key, a := range t.accounts {
			a.had = 0
			var running, pending int64
			for other, b := range t.accounts {
				if other.service == key.service && other.priority <= key.priority {
					a.had += b.Service(cores(b.running))
					running, pending = running+b.running, pending+b.pending
				}
			}
			claims[key] = append(claims[key], share.Claim{Weight: a.weight, Cores: cores(running + pending)})
			own[key] += running
		}
	}
	levels := make(map[contest]float64, len(claims))
	for key, list := range claims {
		levels[key] = share.Level(cores(c.available(c.claims[key])+own[key]), list)
	}
	for _, t := range c.teams {
		for key, a := range t.accounts {
			a.level = levels[key]
		}
	}
}

// sortRunnable restores the scheduling order.
func (c *Core) sortRunnable() {
	slices.SortFunc(c.runnable, func(a, b *stepState) int {
		switch {
		case schedulesBefore(a, b):
			return -1
		case schedulesBefore(b, a):
			return 1
		}
		return 0
	})
}

// countShare counts the CPU of a run for its team's share, or no longer if sign is -1.
func (r *run) countShare(sign int64) {
	if sign > 0 {
		r.account = r.step.account
	}
	if r.account != nil {
		r.account.running += sign * r.spec().Reserved().CPUMillis
	}
	if sign < 0 {
		r.account = nil
	}
}
