package cell_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/flow"
	"github.com/daisyrack/daisyrack/pkg/place"
)

// submitStream submits small jobs of the team for 30 s, twice as many as its quota of 6.5 cores lets run.
func (sim *simulation) submitStream(o *owner) {
	for i := range 300 {
		sim.schedule(time.Duration(i)*100*time.Millisecond, func() {
			sim.submitTasks(o, fmt.Sprintf("small%d", i), 1, 1000, time.Duration(700+i%7*50)*time.Millisecond, nil)
		})
	}
}

// Guards against a step that waits for as long as its team has smaller tasks of later jobs, which take the room under the
// quota as soon as it becomes free.
func TestSmallTasksDoNotKeepLargerOnesFromTheQuota(t *testing.T) {
	for name, c := range map[string]struct {
		count     int
		cpuMillis int64
		gang      bool
	}{
		"most of the quota": {1, 6000, false}, "more than the quota": {1, 7000, false}, "a gang": {6, 1000, true},
	} {
		t.Run(name, func(t *testing.T) {
			sim, o := newTeamCell(t, 6, place.Resources{CPUMillis: 6500})
			sim.submitStream(o)
			sim.advance(2 * time.Second)
			sim.submitTasks(o, "large", c.count, c.cpuMillis, time.Second, func(s *flow.StepSpec) { s.Gang = c.gang })
			sim.advance(6 * time.Second)
			assert.Equal(t, o.core.State("large").State, flow.Completed)
			sim.expectNoViolations()
		})
	}
}

// Guards against a step that stops the others of its team for good although it cannot start itself: no executor suits it.
func TestQuotaIsKeptInVainForABoundedTime(t *testing.T) {
	sim, o := newTeamCell(t, 6, place.Resources{CPUMillis: 6500})
	sim.submitStream(o)
	sim.advance(2 * time.Second)
	sim.submitTasks(o, "large", 1, 6000, time.Second, func(s *flow.StepSpec) { s.RequiredLabel = "nowhere" })
	starts := o.core.Stats.Starts
	sim.advance(120 * time.Second)
	assert.Equal(t, o.core.State("large").State, flow.Pending)
	assert.Assert(t, o.core.Stats.Starts-starts >= 270, "%d tasks started", o.core.Stats.Starts-starts)
	sim.expectNoViolations()
}
