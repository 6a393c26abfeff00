package cell_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/cell"
	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/flow"
	"github.com/daisyrack/daisyrack/pkg/place"
)

// quotaWindow is how long a quota that was lowered may still be used.
const quotaWindow = 5 * time.Second

// setLimit changes the quota of a team from now on. Owners that reach the store learn it at once.
func (sim *simulation) setLimit(team string, limit place.Resources) {
	cfg := *sim.config
	cfg.Version++
	cfg.Teams = slices.Clone(cfg.Teams)
	i := slices.IndexFunc(cfg.Teams, func(t fleet.Team) bool { return t.Name == team })
	if i < 0 {
		i = len(cfg.Teams)
		cfg.Teams = append(cfg.Teams, fleet.Team{Name: team, Weight: 1})
	}
	cfg.Teams[i].Limit = limit
	sim.config = &cfg
	if sim.limits == nil {
		sim.limits = make(map[string][]room)
	}
	sim.limits[team] = append(sim.limits[team], room{sim.now, limit})
	for _, o := range sim.owners {
		if !o.dead && !o.storeUnreachable {
			o.core.SetConfig(sim.now, &cfg)
		}
	}
}

// running returns what all executors run for a team.
func (sim *simulation) running(team string) place.Resources {
	var sum place.Resources
	for _, x := range sim.execs {
		for _, r := range x.runs {
			if sim.specs[r.Task.Job].Team == team {
				sum = sum.Add(sim.specOf(r.Task).Need)
			}
		}
	}
	return sum
}

// checkQuota checks what a team has running with a task that starts now. The platform tolerates a tenth and one task
// beyond the quota. The owner needs none of that, and the tolerance would hide runs that it does not count.
func (sim *simulation) checkQuota(t fleet.TaskID) {
	team := sim.specs[t.Job].Team
	limits := sim.limits[team]
	if len(limits) == 0 {
		return
	}
	limit := limits[len(limits)-1].capacity
	for i := range len(limits) - 1 {
		if sim.now.Sub(limits[i+1].since) <= quotaWindow {
			limit = mostOf(limit, limits[i].capacity)
		}
	}
	need := sim.specOf(t).Need
	running := sim.running(team)
	for _, d := range [...][3]int64{
		{limit.CPUMillis, running.CPUMillis, need.CPUMillis},
		{limit.MemoryMB, running.MemoryMB, need.MemoryMB},
		{limit.Accelerators, running.Accelerators, need.Accelerators},
	} {
		if limit, before, each := d[0], d[1], d[2]; limit > 0 && each > 0 && before > 0 && before+each > limit {
			sim.addViolation("team %s has %d of %d running when %s starts with %d", team, before, limit, runKey(t, 0), each)
		}
	}
}

// mostOf returns the larger of two quotas, of which 0 is no limit.
func mostOf(a, b place.Resources) place.Resources {
	most := func(a, b int64) int64 {
		if a == 0 || b == 0 {
			return 0
		}
		return max(a, b)
	}
	return place.Resources{
		CPUMillis: most(a.CPUMillis, b.CPUMillis), MemoryMB: most(a.MemoryMB, b.MemoryMB),
		Accelerators: most(a.Accelerators, b.Accelerators),
	}
}

// newQuotaCell returns a simulation with teams that have quotas, and one without.
func newQuotaCell(t *testing.T, seed uint64) *simulation {
	sim := newSimulation(t, seed, 6)
	sim.setLimit("small", place.Resources{CPUMillis: 9000})
	sim.setLimit("medium", place.Resources{CPUMillis: 16000, MemoryMB: 5000})
	sim.setLimit("large", place.Resources{CPUMillis: 26000})
	sim.setLimit("open", place.Resources{})
	teams := rand.New(rand.NewPCG(seed, 4))
	sim.nextTeam = func() string { return []string{"small", "medium", "large", "large", "open", "open"}[teams.IntN(6)] }
	return sim
}

// Guards against teams that run more than their quota because of runs that the owner does not know of: those of an
// earlier owner, late starts, lost responses, copies, and runs of jobs that have ended.
func TestRandomFaultsKeepQuotas(t *testing.T) {
	t.Parallel()
	for seed := range seedCount() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newQuotaCell(t, seed)
			if seed%3 == 1 {
				sim.lostPollShare, sim.lostCommandShare = 0.05, 0.05
			}
			o := sim.takeOver()
			sim.advance(time.Second)
			var replies []*cell.Reply
			var lasting []string
			submit := func(spec flow.Spec) {
				id := fmt.Sprintf("j%d", len(replies))
				replies = append(replies, sim.submit(sim.owners[len(sim.owners)-1], id, spec))
				if spec.Steps[0].LongRunning {
					lasting = append(lasting, id)
				}
			}
			for range 30 {
				for range 1 + sim.rng.IntN(3) {
					spec := sim.randomSpec()
					switch sim.rng.IntN(8) {
					case 0:
						spec.Steps[0].Gang, spec.Steps[0].AllowConcurrentRuns = true, false
						spec.Steps[0].Count = min(spec.Steps[0].Count, 3)
						spec.Steps[0].Need.CPUMillis = min(spec.Steps[0].Need.CPUMillis, 2500)
					case 1:
						spec.Steps[0].BestEffort = true
					case 2:
						spec.Steps = spec.Steps[:1]
						spec.Steps[0].LongRunning, spec.Steps[0].Count = true, min(spec.Steps[0].Count, 2)
						spec.Steps[0].Need.CPUMillis = 500
					}
					submit(spec)
				}
				if sim.rng.IntN(4) == 0 {
					o.core.Cancel(sim.now, fmt.Sprintf("j%d", sim.rng.IntN(len(replies))), func(cell.Reply) {})
				}
				if sim.rng.IntN(6) == 0 {
					sim.setLimit("large", place.Resources{CPUMillis: int64(9000 + sim.rng.IntN(20000))})
				}
				o = sim.injectFault(o)
				sim.advance(time.Duration(100+sim.rng.IntN(900)) * time.Millisecond)
			}
			sim.clearFaults(o)
			sim.setLimit("large", place.Resources{CPUMillis: 26000})
			for _, id := range lasting {
				last := sim.owners[len(sim.owners)-1]
				last.core.Cancel(sim.now, id, func(cell.Reply) {})
			}
			sim.lostPollShare, sim.lostCommandShare = 0, 0
			sim.advance(150 * time.Second)
			sim.expectNoViolations()
			last := sim.owners[len(sim.owners)-1]
			for i, r := range replies {
				id := fmt.Sprintf("j%d", i)
				state := last.core.State(id)
				if r.Outcome == cell.Accepted && state.Outcome == cell.Found && !state.State.Final() {
					t.Errorf("job %s of team %s is %s at the end", id, sim.specs[id].Team, state.State)
				}
			}
			for _, team := range sim.config.Teams {
				assert.Equal(t, sim.running(team.Name), place.Resources{}, "team %s", team.Name)
			}
		})
	}
}

// newTeamCell returns a cell whose jobs are those of one team, and its owner.
func newTeamCell(t *testing.T, executors int, limit place.Resources) (*simulation, *owner) {
	sim := newSimulation(t, 1, executors)
	sim.failureShare = 0
	sim.setLimit("a", limit)
	sim.nextTeam = func() string { return "a" }
	o := sim.takeOver()
	sim.advance(time.Second)
	return sim, o
}

// submitTasks submits a job of a team with one step.
func (sim *simulation) submitTasks(o *owner, id string, count int, cpuMillis int64, estimate time.Duration, modify func(*flow.StepSpec)) *cell.Reply {
	spec := singleStep(slowQueue, count, estimate)
	spec.Steps[0].Need = place.Resources{CPUMillis: cpuMillis}
	if modify != nil {
		modify(&spec.Steps[0])
	}
	return sim.submit(o, id, spec)
}

// A step that is wider than the quota runs in waves, at the quota and not beyond it.
func TestWideStepsRunInWaves(t *testing.T) {
	sim, o := newTeamCell(t, 6, place.Resources{CPUMillis: 8000})
	sim.submitTasks(o, "wide", 20, 2000, 500*time.Millisecond, nil)
	most := int64(0)
	for range 100 {
		sim.advance(100 * time.Millisecond)
		most = max(most, sim.running("a").CPUMillis)
	}
	assert.Equal(t, most, int64(8000))
	assert.Equal(t, o.core.State("wide").State, flow.Completed)
}

// Guards against a task that never runs, since it is larger than the quota, and against others beside it.
func TestTaskLargerThanQuotaRunsAlone(t *testing.T) {
	sim, o := newTeamCell(t, 6, place.Resources{CPUMillis: 3000})
	for _, id := range []string{"first", "huge", "last"} {
		cpu := int64(1000)
		if id == "huge" {
			cpu = 6000
		}
		sim.submitTasks(o, id, 1, cpu, 2*time.Second, nil)
		sim.advance(200 * time.Millisecond)
	}
	for range 200 {
		sim.advance(50 * time.Millisecond)
		running := sim.running("a").CPUMillis
		assert.Assert(t, running <= 2000 || running == 6000, "%d", running)
	}
	for _, id := range []string{"first", "huge", "last"} {
		assert.Equal(t, o.core.State(id).State, flow.Completed, id)
	}
}

// Guards against a large task that never starts beside a stream of small ones of the same team.
func TestLargeTaskStartsBesideStreamOfSmallOnes(t *testing.T) {
	sim, o := newTeamCell(t, 6, place.Resources{CPUMillis: 4000})
	sim.submitLoad(o, workload{queue: slowQueue, rate: 8, steps: 1, count: 1, estimate: 600 * time.Millisecond, cpuMillis: 1000, team: "a"}, 40*time.Second)
	sim.advance(5 * time.Second)
	sim.submitTasks(o, "large", 1, 4000, time.Second, nil)
	sim.advance(30 * time.Second)
	assert.Equal(t, o.core.State("large").State, flow.Completed)
}

// Guards against best-effort and long-running tasks that escape the quota.
func TestAllKindsOfTasksCount(t *testing.T) {
	sim, o := newTeamCell(t, 6, place.Resources{CPUMillis: 4000})
	sim.submitTasks(o, "fill", 4, 1000, 20*time.Second, func(s *flow.StepSpec) { s.BestEffort = true })
	sim.advance(500 * time.Millisecond)
	sim.submitTasks(o, "lasts", 1, 1000, time.Second, func(s *flow.StepSpec) { s.LongRunning = true })
	sim.advance(500 * time.Millisecond)
	assert.Equal(t, sim.running("a").CPUMillis, int64(4000))
	o.core.Cancel(sim.now, "fill", func(cell.Reply) {})
	sim.advance(2 * time.Second)
	assert.Equal(t, sim.running("a").CPUMillis, int64(1000))
}

// Guards against a gang that waits for ever, since it needs more than the quota, and against one that is refused though
// it fits.
func TestGangAboveQuotaIsRejected(t *testing.T) {
	sim, o := newTeamCell(t, 6, place.Resources{CPUMillis: 4000})
	gang := func(s *flow.StepSpec) { s.Gang = true }
	above := sim.submitTasks(o, "above", 5, 1000, time.Second, gang)
	within := sim.submitTasks(o, "within", 4, 1000, time.Second, gang)
	one := sim.submitTasks(o, "one", 1, 6000, time.Second, gang)
	sim.advance(6 * time.Second)
	assert.Equal(t, above.Outcome, cell.TooMany)
	assert.Assert(t, above.RetryAfter >= time.Minute)
	assert.Equal(t, cell.ParseOutcome(above.Outcome.String()), cell.TooMany)
	assert.Equal(t, within.Outcome, cell.Accepted)
	assert.Equal(t, one.Outcome, cell.Accepted)
	for _, id := range []string{"within", "one"} {
		assert.Equal(t, o.core.State(id).State, flow.Completed, id)
	}
}

// A quota that is lowered stops nothing and lets nothing start until the use is below it; one that is raised, and a team
// that is no longer configured, let steps start that wait.
func TestChangedQuotas(t *testing.T) {
	sim, o := newTeamCell(t, 6, place.Resources{CPUMillis: 8000})
	sim.submitTasks(o, "lasting", 4, 2000, time.Second, func(s *flow.StepSpec) { s.LongRunning = true })
	sim.advance(500 * time.Millisecond)
	sim.setLimit("a", place.Resources{CPUMillis: 3000})
	sim.submitTasks(o, "waiting", 2, 1000, 500*time.Millisecond, nil)
	sim.advance(2 * time.Second)
	assert.Equal(t, sim.running("a").CPUMillis, int64(8000))
	assert.Equal(t, o.core.State("waiting").State, flow.Pending)
	sim.setLimit("a", place.Resources{CPUMillis: 9000})
	sim.advance(50 * time.Millisecond)
	assert.Equal(t, sim.running("a").CPUMillis, int64(9000))
	sim.advance(2 * time.Second)
	assert.Equal(t, o.core.State("waiting").State, flow.Completed)

	sim.setLimit("a", place.Resources{CPUMillis: 3000})
	sim.submitTasks(o, "orphan", 1, 1000, 500*time.Millisecond, nil)
	sim.advance(time.Second)
	cfg := *sim.config
	cfg.Teams = nil
	o.core.SetConfig(sim.now, &cfg)
	sim.advance(2 * time.Second)
	assert.Equal(t, o.core.State("orphan").State, flow.Completed)
}

// Guards against runs that nobody counts: the job of a team has ended, and neither the stops of its runs nor a new owner
// reach their executors.
func TestRunsOfEndedJobsCountForNextOwner(t *testing.T) {
	sim, o := newTeamCell(t, 4, place.Resources{CPUMillis: 8000})
	sim.submitTasks(o, "ended", 4, 2000, time.Second, func(s *flow.StepSpec) { s.LongRunning, s.MaxPerExecutor = true, 2 })
	sim.advance(500 * time.Millisecond)
	assert.Equal(t, sim.running("a").CPUMillis, int64(8000))
	free := ""
	for _, x := range sim.sortedExecutors() {
		if x.partitioned = len(x.runs) > 0; !x.partitioned {
			free = x.ID
		}
	}
	assert.Assert(t, free != "")
	o.core.Cancel(sim.now, "ended", func(cell.Reply) {})
	sim.advance(300 * time.Millisecond)
	o.dead = true
	o = sim.takeOver()
	sim.advance(200 * time.Millisecond)
	sim.submitTasks(o, "next", 4, 2000, 500*time.Millisecond, nil)
	sim.advance(3 * time.Second)
	assert.Equal(t, o.core.State("next").State, flow.Pending)
	assert.Equal(t, sim.running("a").CPUMillis, int64(8000))
	sim.advance(8 * time.Second)
	sim.expectNoViolations()
	assert.Equal(t, o.core.State("next").State, flow.Completed)
}

// Guards against runs of an ended job that a new owner finds, stops and does not count meanwhile.
func TestFoundRunsOfEndedJobsCount(t *testing.T) {
	sim, o := newTeamCell(t, 4, place.Resources{CPUMillis: 8000})
	sim.submitTasks(o, "ended", 4, 2000, time.Second, func(s *flow.StepSpec) { s.LongRunning = true })
	sim.advance(500 * time.Millisecond)
	for _, x := range sim.sortedExecutors() {
		o.unreachable[x.ID] = true
	}
	o.core.Cancel(sim.now, "ended", func(cell.Reply) {})
	sim.advance(300 * time.Millisecond)
	o.dead = true
	o = sim.takeOver()
	sim.submitTasks(o, "next", 8, 1000, 500*time.Millisecond, nil)
	for range 200 {
		sim.advance(5 * time.Millisecond)
		running := sim.running("a").CPUMillis
		assert.Assert(t, running <= 8000, "%d", running)
	}
	sim.advance(5 * time.Second)
	assert.Equal(t, o.core.State("next").State, flow.Completed)
}

// Guards against calls to the policy service for executors that the quota does not let a step use.
func TestQuotaLimitsAdvice(t *testing.T) {
	sim := newLargeFleet(t, 1, 40)
	sim.setLimit("a", place.Resources{CPUMillis: 4000})
	sim.nextTeam = func() string { return "a" }
	o := sim.takeOver()
	sim.advance(time.Second)
	sim.submitTasks(o, "first", 2, 2000, 10*time.Second, func(s *flow.StepSpec) { s.LongRunning = true })
	sim.advance(3 * time.Second)
	assert.Equal(t, sim.running("a").CPUMillis, int64(4000))
	asked := o.core.Stats.AdviceAsked
	sim.submitTasks(o, "second", 30, 1000, time.Second, nil)
	sim.advance(5 * time.Second)
	assert.Equal(t, o.core.Stats.AdviceAsked, asked)
	assert.Equal(t, o.core.Stats.StepsWaited, int64(0))
	sim.setLimit("a", place.Resources{CPUMillis: 6000})
	sim.advance(800 * time.Millisecond)
	assert.Assert(t, o.core.Stats.AdviceAsked-asked <= 10, "asked for %d executors for two tasks", o.core.Stats.AdviceAsked-asked)
}
