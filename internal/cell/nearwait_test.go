package cell_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/flow"
	"github.com/daisyrack/daisyrack/pkg/place"
)

// Guards against a wait in vain: all tasks of the step would have to run on a rack that is too small for them.
func TestGroupLargerThanItsRackDoesNotWait(t *testing.T) {
	sim, o := newTwoRacks(t, false)
	for i := range 4 {
		x := sim.addExecutor(fmt.Sprintf("x%d", 4+i))
		x.Rack, x.Domain, x.Labels = "far", "a", []string{"far"}
		o.addExecutor(x)
	}
	sim.occupy(o)
	spec := nearStep(slowQueue, 12, 2000, 4*time.Second)
	spec.Steps[0].Gang = true
	accepted := sim.now
	sim.submit(o, "gang", spec)
	sim.advance(20 * time.Second)
	spans := sim.history[fleet.TaskID{Job: "gang"}]
	assert.Assert(t, len(spans) > 0)
	waited := spans[0].begin.Sub(accepted)
	assert.Assert(t, waited < 500*time.Millisecond, "%s", waited)
	assert.Equal(t, o.core.Stats.NearWaits, int64(0))
}

// Guards against tasks that start away from their data for want of near places that the quota would not let them use: of
// a step wider than the quota, as many tasks are decided about as may start.
func TestWideStepWaitsWithinQuota(t *testing.T) {
	sim, o := newTwoRacks(t, false)
	sim.setLimit("a", place.Resources{CPUMillis: 4000})
	sim.occupy(o)
	spec := nearStep(slowQueue, 24, 2000, 4*time.Second)
	spec.Team = "a"
	sim.submit(o, "wide", spec)
	sim.advance(150 * time.Second)
	t.Log(sim.racksOf("wide"), o.core.Stats.NearWaits, o.core.Stats.NearGivenUp, o.core.Stats.NearPlaces)
	assert.Equal(t, o.core.State("wide").State, flow.Completed)
	assert.DeepEqual(t, sim.racksOf("wide"), map[string]int{"near": 24})
	sim.expectNoViolations()
}

// Guards against an owner that has no time for anything but decisions about waits: 400 small tasks that wait for one rack
// took 14 s of processor time a second with 1,000 teams, and 0.5 s without any.
func TestManyWaitsAreCheap(t *testing.T) {
	sim, o := newTwoRacks(t, false)
	for i := range 1000 {
		sim.config.Teams = append(sim.config.Teams, fleet.Team{Name: fmt.Sprintf("team%04d", i), Weight: 1})
	}
	o.core.SetConfig(sim.now, sim.config)
	sim.occupy(o)
	for i := range 400 {
		spec := nearStep(slowQueue, 1, 50, 6*time.Second)
		spec.Team = fmt.Sprintf("team%04d", 980+i%20)
		sim.submit(o, fmt.Sprintf("job%d", i), spec)
	}
	began := time.Now()
	sim.advance(time.Second)
	took := time.Since(began)
	assert.Equal(t, o.core.Stats.NearWaits, int64(400))
	assert.Assert(t, took < 3*time.Second, "%s for one second", took)
}
