package cell_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/flow"
	"github.com/daisyrack/daisyrack/pkg/place"
)

// floodTeams are the teams of a load, the first of which may send a multiple of its usual rate.
var floodTeams = []string{"a", "b", "c", "d"}

// nearlyFull is the factor by which the ordinary load is raised to take more than nine tenths of a fleet.
const nearlyFull = 1.1

// submitTeamLoad submits the ordinary load of a fleet, a quarter for each team, and factor times as much of the first
// team's load of some queues in the time from 4 s to 12 s.
func (sim *simulation) submitTeamLoad(o *owner, executors int, factor float64, queues ...string) {
	for i, team := range floodTeams {
		for _, load := range ordinaryLoad(executors) {
			load.rate *= nearlyFull / float64(len(floodTeams))
			load.team, load.even = team, true // a team with bursts of its own may wait for its own sake
			sim.submitLoad(o, load, 20*time.Second)
			if i == 0 && factor > 1 && slices.Contains(queues, load.queue) {
				load.rate *= factor - 1
				sim.schedule(4*time.Second, func() { sim.submitLoad(o, load, 8*time.Second) })
			}
		}
	}
}

// inTime returns the share of the jobs of a queue and of all teams but the first one that met their objective.
func (sim *simulation) inTime(o *owner, queue string) float64 {
	good, all := 0, 0
	for id, spec := range sim.specs {
		if spec.Queue != queue || spec.Team == floodTeams[0] {
			continue
		}
		all++
		q := sim.config.Queue(queue)
		at, ended := sim.endedAt[id]
		if ended && o.core.State(id).State == flow.Completed &&
			at.Sub(spec.Accepted) <= time.Duration(q.Stretch*float64(spec.CriticalPath()))+q.Slack {
			good++
		}
	}
	return float64(good) / float64(all)
}

// usualUse is the CPU in millicores that a team of the ordinary load of a fleet uses.
func usualUse(executors int) int64 {
	sum := 0.0
	for _, l := range ordinaryLoad(executors) {
		sum += l.rate * float64(l.steps*l.count) * l.estimate.Seconds() * float64(l.cpuMillis)
	}
	return int64(nearlyFull * sum / float64(len(floodTeams)))
}

// usualHeadroom is the rate that teams are entitled to, as a multiple of their usual rate, as on the users' platform.
const usualHeadroom = 1.9

// usualRate is the number of jobs a second that a team of the ordinary load of a fleet sends.
func usualRate(executors int) float64 {
	sum := 0.0
	for _, l := range ordinaryLoad(executors) {
		sum += nearlyFull * l.rate / float64(len(floodTeams))
	}
	return sum
}

// playFlood plays a load in which one team sends a multiple of its rate, and returns the shares of the others' jobs that
// met their objective. quota is that of each team, as a multiple of its usual use; 0 means none.
func playFlood(t *testing.T, seed uint64, factor, quota float64, queues ...string) (urgent, slow float64) {
	const executors = 100
	sim := newLargeFleet(t, seed, executors)
	for _, team := range floodTeams {
		sim.setLimit(team, place.Resources{CPUMillis: int64(quota * float64(usualUse(executors)))})
	}
	cfg := *sim.config
	cfg.Teams = slices.Clone(cfg.Teams)
	for i := range cfg.Teams {
		cfg.Teams[i].Weight = usualHeadroom * usualRate(executors)
	}
	sim.config = &cfg
	o := sim.takeOver()
	sim.advance(time.Second)
	sim.submitTeamLoad(o, executors, factor, queues...)
	sim.advance(100 * time.Second)
	sim.expectNoViolations()
	return sim.inTime(o, testQueue), sim.inTime(o, slowQueue)
}

// Guards against a team that takes the capacity of the others: it sends seven times its usual load for 8 s. Urgent jobs
// come before slow ones, so that without quotas a flood of them costs slow jobs.
func TestFloodOfOneTeamCostsTheOthersNothing(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		quota  float64
		queues []string
		slow   bool
	}{
		{"of urgent jobs, without quotas", 0, []string{testQueue}, false},
		{"of slow jobs, without quotas", 0, []string{slowQueue}, true},
		{"of all jobs, with quotas", 1.9, []string{testQueue, slowQueue}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			const seeds = 4
			var calm, flood [2]float64
			for seed := range uint64(seeds) {
				u, s := playFlood(t, seed, 1, c.quota)
				fu, fs := playFlood(t, seed, 7, c.quota, c.queues...)
				t.Logf("seed %d: in time %.3f of the urgent and %.3f of the slow jobs of the others, in the flood %.3f and %.3f", seed, u, s, fu, fs)
				calm[0], calm[1] = calm[0]+u/seeds, calm[1]+s/seeds
				flood[0], flood[1] = flood[0]+fu/seeds, flood[1]+fs/seeds
			}
			assert.Assert(t, flood[0] >= calm[0]-0.02, "urgent jobs: %v, in the flood %v", calm, flood)
			assert.Assert(t, !c.slow || flood[1] >= calm[1]-0.02, "slow jobs: %v, in the flood %v", calm, flood)
		})
	}
}

// The load of the largest fleet, of 20 teams with quotas: what quotas and shares cost the owner besides.
func BenchmarkOwnerOfTheLargestFleetWithTeams(b *testing.B) {
	for range b.N {
		sim := newLargestFleet(b, 1, largestFleetSize)
		for i := range 20 {
			sim.setLimit(fmt.Sprintf("t%02d", i), place.Resources{CPUMillis: 1_800_000})
		}
		sim.limits = nil // the check of each start would take most of the time
		next := 0
		sim.nextTeam = func() string { next++; return fmt.Sprintf("t%02d", next%20) }
		start := time.Now()
		starts := sim.playHeavyLoad()
		b.ReportMetric(time.Since(start).Seconds()/heavyLength.Seconds(), "cores")
		b.ReportMetric(float64(starts)/heavyLength.Seconds(), "starts/s")
	}
}

// newSharedCell returns a full fleet of executors for teams with weights, and its owner.
func newSharedCell(t *testing.T, weights map[string]float64) (*simulation, *owner) {
	sim := newLargeFleet(t, 1, 40)
	cfg := *sim.config
	for _, team := range slices.Sorted(maps.Keys(weights)) {
		cfg.Teams = append(cfg.Teams, fleet.Team{Name: team, Weight: weights[team]})
	}
	sim.config = &cfg
	o := sim.takeOver()
	sim.advance(time.Second)
	return sim, o
}

// submitTeamBacklog submits jobs of a team, for d, that would take more than the whole fleet.
func (sim *simulation) submitTeamBacklog(o *owner, team string, d time.Duration) {
	sim.submitLoad(o, workload{
		queue: slowQueue, rate: 8, steps: 1, count: 20, estimate: 2 * time.Second, cpuMillis: 3000, team: team, even: true,
	}, d)
}

// meanUse returns the mean CPU in cores that teams use in the next d.
func (sim *simulation) meanUse(d time.Duration) map[string]float64 {
	const steps = 50
	use := make(map[string]float64)
	for range steps {
		sim.advance(d / steps)
		for _, team := range sim.config.Teams {
			use[team.Name] += float64(sim.running(team.Name).CPUMillis) / 1000 / steps
		}
	}
	return use
}

// Guards against teams that are served by the number of their jobs, or with equal shares. A team without a weight has the
// smallest one.
func TestBackloggedTeamsAreServedByWeight(t *testing.T) {
	t.Parallel()
	sim, o := newSharedCell(t, map[string]float64{"a": 3, "b": 1, "c": 0})
	for _, team := range []string{"a", "b", "c"} {
		sim.submitTeamBacklog(o, team, 20*time.Second)
	}
	sim.advance(8 * time.Second)
	use := sim.meanUse(12 * time.Second)
	t.Log(use)
	total := use["a"] + use["b"] + use["c"]
	assert.Assert(t, total > 450, "%v of 640 cores in use", use)
	assert.Assert(t, use["a"] > 0.5*total && use["a"] < 0.7*total, "%v", use)
	assert.Assert(t, use["b"] > 0.15*total && use["c"] > 0.15*total, "%v", use)
}

// Guards against capacity that lies idle for teams that do not use it, against borrowers that keep it, and against an
// idle team that takes all once it returns, for what it has not used before.
func TestUnusedShareIsLentAndReturned(t *testing.T) {
	t.Parallel()
	sim, o := newSharedCell(t, map[string]float64{"a": 1, "b": 1})
	sim.submitTeamBacklog(o, "a", 40*time.Second)
	sim.advance(10 * time.Second)
	alone := sim.meanUse(5 * time.Second)
	sim.submitTeamBacklog(o, "b", 20*time.Second)
	sim.advance(3 * time.Second)
	soon, later := sim.meanUse(2*time.Second), sim.meanUse(10*time.Second)
	t.Log(alone, soon, later)
	assert.Assert(t, alone["a"] > 450, "%v of 640 cores", alone)
	assert.Assert(t, soon["b"] > 0.4*(soon["a"]+soon["b"]), "%v", soon)
	for _, team := range []string{"a", "b"} {
		assert.Assert(t, later[team] > 0.38*(later["a"]+later["b"]), "%v", later)
	}
}
