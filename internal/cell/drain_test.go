package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/flow"
)

// drainTime is how long after it has announced to drain an executor may get starts.
const drainTime = 2 * time.Second

// startsOn returns the number of starts that were sent to an executor.
func (sim *simulation) startsOn(x *fakeExecutor) int {
	n := 0
	for _, cmd := range sim.sentCommands {
		if cmd.Start != nil && cmd.Executor.ID == x.ID {
			n++
		}
	}
	return n
}

// Guards against starts on executors that leave: a start without a response was repeated, and a queued one was sent,
// however long the executor had been draining (review/more/drain).
func TestStartsAreNotRepeatedOnDrainingExecutors(t *testing.T) {
	sim, o := newIdleCell(t, 2)
	sim.lateCommandShare = 1
	sim.submit(o, "job", singleStep(testQueue, 1, time.Second))
	sim.advance(100 * time.Millisecond)
	assert.Assert(t, len(sim.sentCommands) > 0)
	x := sim.execs[sim.sentCommands[0].Executor.ID]
	x.Draining, x.MinRemaining = true, 20*time.Second
	o.addExecutor(x)
	sim.advance(drainTime)
	before := sim.startsOn(x)
	sim.lateCommandShare = 0
	sim.advance(20 * time.Second)
	assert.Equal(t, sim.startsOn(x), before)
	assert.Equal(t, o.core.State("job").State, flow.Completed)
	sim.expectNoViolations()
}
