package cell

import (
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/flow"
	"github.com/daisyrack/daisyrack/internal/share"
	"github.com/daisyrack/daisyrack/pkg/place"
)

const (
	// quotaLeftAfter is how long no start of a team must have been held back before it counts as below its quota:
	// a team with a backlog is below it for a moment whenever a run ends.
	quotaLeftAfter = time.Second

	// From quotaPatience until quotaPatience + quotaDrain after the quota has begun to hold a step back, and again each
	// quotaCycle, later steps of the team wait as well: a large task or a gang would never start beside a stream of
	// small ones. The others must not wait for ever, since long-running tasks may leave no room for it.
	quotaPatience = time.Second
	quotaDrain    = 10 * time.Second
	quotaCycle    = 60 * time.Second

	// gangQuotaRetryAfter is the retry delay sent with the rejection of a gang above the quota of its team, which can
	// only run once the quota is raised.
	gangQuotaRetryAfter = 5 * time.Minute
)

// team is a configured team with what it has running.
type team struct {
	*fleet.Team
	quota share.Quota
	// rate tells which of its jobs are beyond the number a second that it is entitled to.
	rate share.Rate
	// beyondRate counts those since the takeover.
	beyondRate int64
	// weight is its weight among the teams, accounts what it has had of what it competes for.
	weight   float64
	accounts map[contest]*account
	// assumed is the sum of what its jobs may have running on executors that are not claimed, assumedOver the
	// part of it that the capacity of these executors does not bound. unclaimed counts such jobs by executor.
	assumed, assumedOver place.Resources
	unclaimed            map[string]int
	// reached is set from a start that is held back, at reachedAt, until none was for quotaLeftAfter; heldAt is when
	// the last one was. held counts these times.
	heldAt, reachedAt time.Time
	reached           bool
	held              int64
	// drainedIn is the last pass in which the team's steps wait for an earlier one.
	drainedIn int64
}

// setTeams makes the teams of the configuration those that jobs belong to.
func (c *Core) setTeams(now time.Time) {
	if len(c.config.Teams) == 0 && len(c.teams) == 0 {
		return
	}
	former := c.teams
	weights := make([]float64, 0, len(c.config.Teams))
	for i := range c.config.Teams {
		weights = append(weights, c.config.Teams[i].Weight)
	}
	c.teams = make(map[string]*team, len(c.config.Teams))
	for i := range c.config.Teams {
		cfg := &c.config.Teams[i]
		t := &team{
			Team: cfg, unclaimed: make(map[string]int), accounts: make(map[contest]*account),
			weight: share.Weight(cfg.Weight, weights),
		}
		if was := former[cfg.Name]; was != nil {
			t.keepAccounts(was)
			t.rate, t.beyondRate = was.rate, was.beyondRate
			t.heldAt, t.reachedAt, t.reached, t.held = was.heldAt, was.reachedAt, was.reached, was.held
		}
		t.rate.Set(now, t.weight)
		t.quota.Limit = cfg.Limit
		c.teams[cfg.Name] = t
	}
	for _, j := range c.jobs {
		j.team = c.teams[j.Spec.Team]
		for _, st := range j.steps {
			c.joinContest(st)
		}
		for _, runs := range j.runs {
			for _, r := range runs {
				c.countForTeam(r, 1)
			}
		}
		if j.assumption != nil {
			j.assumption.need, j.assumption.over = place.Resources{}, place.Resources{}
			c.staleAssumptions[j] = true
			if j.team != nil {
				j.team.addUnclaimed(j)
			}
		}
	}
	c.refreshAssumptions()
	for _, st := range c.runnable {
		st.turn = 0 // until the next update of the shares
	}
}

// countForTeam counts a run for its team, from the decision to start it until it has certainly ended. Best-effort tasks
// count with their full need.
func (c *Core) countForTeam(r *run, sign int64) {
	if t := r.job.team; t != nil {
		t.quota.Count(r.spec().Need, sign)
	}
	r.countShare(sign)
	c.markRunsChanged(r.job)
}

// quotaTasks returns how many tasks of the step start at a time.
func (st *stepState) quotaTasks() int {
	if st.spec.Gang {
		return len(st.pending)
	}
	return 1
}

// quotaRoom returns how many pending tasks of the step the quota of its team allows now.
func (st *stepState) quotaRoom() int {
	if t := st.job.team; t != nil {
		return t.quota.Room(st.spec.Need, len(st.pending))
	}
	return len(st.pending)
}

// holdsForQuota reports whether the quota of the step's team allows no start of it now.
func (st *stepState) holdsForQuota() bool {
	t := st.job.team
	return t != nil && !t.quota.Allows(st.spec.Need, st.quotaTasks())
}

// skipsForQuota reports whether a scheduling pass leaves the step out because of the quota of its team, and records
// that. A gang of which some tasks run and steps with tasks that may crash their executors are looked at all the same.
func (c *Core) skipsForQuota(now time.Time, st *stepState) bool {
	t := st.job.team
	if t == nil || st.job.Suspicious() || st.spec.Gang && len(st.job.runs) > 0 {
		return false
	}
	first, held := t.drainedIn != c.Stats.Passes, st.holdsForQuota()
	if first && st.drainsQuota(now) {
		t.drainedIn = c.Stats.Passes // also once the quota has room for it, until it finds a place
	}
	if first && !held {
		return false
	}
	c.holdForQuota(now, st)
	return true
}

// drainsQuota reports whether later steps of the team have to leave their quota to this one.
func (st *stepState) drainsQuota(now time.Time) bool {
	if st.quotaHeldSince.IsZero() {
		return false
	}
	held := now.Sub(st.quotaHeldSince) % quotaCycle
	return held >= quotaPatience && held < quotaPatience+quotaDrain &&
		st.job.team.quota.EverAllows(st.spec.Need, st.quotaTasks())
}

// holdForQuota records that a start of the step is held back. The next visit considers all executors.
func (c *Core) holdForQuota(now time.Time, st *stepState) {
	st.fullScan, st.skipped = false, true
	if st.quotaHeldSince.IsZero() {
		st.quotaHeldSince = now
	}
	t := st.job.team
	t.heldAt = now
	if t.reached {
		return
	}
	t.reached, t.reachedAt = true, now
	t.held++
	c.logQuota(t).WithField("job", st.job.ID).WithField("pending", len(st.pending)).Info("team has reached its quota")
}

// checkQuotas records which teams are below their quota again.
func (c *Core) checkQuotas(now time.Time) {
	for _, t := range c.teams {
		if t.reached && now.Sub(t.heldAt) > quotaLeftAfter {
			t.reached = false
			c.logQuota(t).WithField("after_ms", t.heldAt.Sub(t.reachedAt).Milliseconds()).Info("team is below its quota again")
		}
	}
}

// gangExceedsQuota reports whether a step of the job must run all at once and is above the quota of the team, so that it
// can not run before the quota is raised.
func (c *Core) gangExceedsQuota(spec *flow.Spec) bool {
	t := c.teams[spec.Team]
	if t == nil {
		return false
	}
	return slices.ContainsFunc(spec.Steps, func(s flow.StepSpec) bool { return s.Gang && !t.quota.EverAllows(s.Need, s.Count) })
}

// logQuota returns a log entry with the state of a team's quota.
func (c *Core) logQuota(t *team) *log.Entry {
	return c.Log.WithField("team", t.Name).WithField("runs", t.quota.Runs).
		WithField("cpu_millis", t.quota.Used.CPUMillis).WithField("memory_mb", t.quota.Used.MemoryMB).
		WithField("accelerators", t.quota.Used.Accelerators).WithField("assumed_cpu_millis", t.quota.Assumed.CPUMillis).
		WithField("limit_cpu_millis", t.Limit.CPUMillis).WithField("limit_memory_mb", t.Limit.MemoryMB).
		WithField("limit_accelerators", t.Limit.Accelerators)
}
