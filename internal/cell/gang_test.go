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

// maxGangWait is how long a gang that comes first in scheduling order may wait on a busy fleet. The tasks of
// the backlog take 2.4 to 7.2 s, so that the fleet has been emptied once over by then.
const maxGangWait = 10 * time.Second

// backlogRate multiplies the rate of the long jobs of the largest fleet, so that a backlog remains while they
// are submitted.
const backlogRate = 1.3

// backlogLength is how long the jobs of the backlog are submitted.
const backlogLength = 40 * time.Second

// Guards against a gang that starts only when the backlog behind it is gone: its tasks need tickets and room
// at the same time, and later steps, which start one task at a time, take the room meanwhile.
func TestGangStartsBeforeBacklogBehindIt(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newLargestFleet(t, seed, overloadFleetSize)
			sim.allowedShares = map[string]float64{testQueue: 0.7, slowQueue: 0.35}
			sim.advisers = 26
			o := sim.takeOver()
			sim.advance(time.Second)
			sim.submitLoad(o, heavyLoad(overloadFleetSize)[0], backlogLength)
			sim.submitBacklog(heavyLoad(overloadFleetSize)[1].rate * backlogRate)
			sim.advance(10 * time.Second)
			accepted := sim.now
			sim.submit(o, "gang", flow.Spec{Queue: slowQueue, Text: "text", Steps: []flow.StepSpec{{
				Count: 45, Need: place.Resources{CPUMillis: 5000, MemoryMB: 9300}, Estimate: 2 * time.Second, Gang: true,
			}}})
			sim.advance(backlogLength)
			began := sim.history[fleet.TaskID{Job: "gang"}]
			assert.Assert(t, len(began) > 0, "the gang has not started after %s", sim.now.Sub(accepted))
			waited := began[0].begin.Sub(accepted)
			overtook := sim.startedMeanwhile(accepted, began[0].begin)
			assert.Assert(t, waited <= maxGangWait, "the gang waited for %s, while %d tasks of jobs accepted after it started", waited, overtook)
			sim.expectNoViolations()
		})
	}
}

// submitBacklog submits long jobs with steps of unlike widths at a rate, for backlogLength.
func (sim *simulation) submitBacklog(rate float64) {
	end, o := sim.now.Add(backlogLength), sim.owners[0]
	var next func()
	next = func() {
		if sim.now.After(end) {
			return
		}
		spec := flow.Spec{Queue: slowQueue, Text: "text"}
		for i := range 2 {
			s := flow.StepSpec{
				Count: 4 + sim.arrivals.IntN(50), Estimate: 4800 * time.Millisecond,
				Need: place.Resources{CPUMillis: 3000 + sim.arrivals.Int64N(3000), MemoryMB: 9300},
			}
			if i > 0 {
				s.DependsOn = []int{i - 1}
			}
			spec.Steps = append(spec.Steps, s)
		}
		sim.submitted++
		sim.submit(o, fmt.Sprintf("b%05d", sim.submitted), spec)
		sim.schedule(time.Duration(sim.arrivals.ExpFloat64()/rate*float64(time.Second)), next)
	}
	sim.schedule(0, next)
}

// startedMeanwhile returns the number of tasks started between two times whose jobs were submitted after the
// first one.
func (sim *simulation) startedMeanwhile(from, to time.Time) int {
	n := 0
	for task, spans := range sim.history {
		spec := sim.specs[task.Job]
		if len(spans) > 0 && spec.Accepted.After(from) && spans[0].begin.Before(to) {
			n++
		}
	}
	return n
}
