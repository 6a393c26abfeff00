package cell_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/cell"
	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/flow"
)

// A repeated start that is no longer wanted is not sent, but the run that its first copy began
// is counted until it is stopped.
func TestWithdrawnRepeatOfAStartStopsTheRun(t *testing.T) {
	w := newWorld(t, 1, 1)
	o := w.takeOver()
	w.run(time.Second)
	w.submit(o, "a", oneStep(testQueue, 1, time.Second))
	task := fleet.TaskID{Job: "a"}
	for range 100 {
		if len(w.history[task]) > 0 {
			break
		}
		w.run(time.Millisecond)
	}
	o.dead = true // from here on the test answers in place of the world
	c := o.core
	c.Orders()
	number := w.history[task][0].number
	start := cell.Order{}
	for _, sent := range w.sent {
		if sent.Start != nil && sent.Start.Task == task {
			start = sent
		}
	}
	c.Ordered(w.now, start, fleet.Response{Status: fleet.NoResponse})
	repeats := c.Orders()
	assert.Equal(t, len(repeats), 1)
	c.Looked(w.now, w.now, "x0", fleet.Response{
		Status: fleet.Executed, Runs: []fleet.Run{{Task: task, Number: number, Percent: 10}},
	})
	c.Cancel(w.now, "a", func(cell.Reply) {})
	assert.Assert(t, c.Withdrawn(w.now, repeats[0]))
	stops := c.Orders()
	assert.Equal(t, len(stops), 1)
	assert.Assert(t, stops[0].Stop != nil && stops[0].Stop.Number == number)
}

// An executor that was silent may have started again under its id: the count of ends of the former
// life must not acknowledge those of the new one.
func TestSilentExecutorIsToldNoCountOfEnds(t *testing.T) {
	w, o := calmCell(t, 1)
	w.submit(o, "done", oneStep(testQueue, 3, 200*time.Millisecond))
	w.run(2 * time.Second)
	_, look, _ := o.core.NextLook("x0")
	assert.Equal(t, look.AckedSequence, int64(3))
	w.execs["x0"].down = true
	w.run(2 * time.Second)
	_, look, _ = o.core.NextLook("x0")
	assert.Equal(t, look.AckedSequence, int64(0))
}

// Tasks that stand still on an executor that answers are started on another one.
func TestTasksThatStandStillStartElsewhere(t *testing.T) {
	w, o := calmCell(t, 2)
	w.execs["x0"].hangs = true
	w.submit(o, "job", oneStep(testQueue, 6, 500*time.Millisecond))
	w.run(8 * time.Second)
	w.expectClean()
	assert.Equal(t, o.core.State("job").State, flow.Completed)
	assert.Assert(t, o.core.Count.Stalls > 0)
}

// A job that ends while the store is away is not called completed: the executor can lose the ends
// before a later owner reads them, and the tasks would run again after the answer.
func TestCompletedJobIsNotToldUnstored(t *testing.T) {
	w, o := calmCell(t, 2)
	w.submit(o, "job", oneStep(testQueue, 4, 500*time.Millisecond))
	w.run(200 * time.Millisecond)
	w.storeDown = true
	w.run(2 * time.Second)
	assert.Equal(t, o.core.State("job").State, flow.Running)
	w.storeDown = false
	next := w.takeOver()
	w.run(time.Second)
	assert.Equal(t, next.core.State("job").State, flow.Completed)
	for task, spans := range w.history {
		assert.Equal(t, len(spans), 1, "%v", task)
	}
}

// An executor that has started again may have less room than its former entry says: it gets no
// tasks before its new entry is there.
func TestNewLifeIsNotUsedBeforeItsEntry(t *testing.T) {
	w, o := calmCell(t, 1)
	x := w.execs["x0"]
	x.restart(w)
	x.Capacity.CPUMillis = 2000
	w.run(time.Second)
	w.submit(o, "job", oneStep(testQueue, 4, 500*time.Millisecond))
	w.run(time.Second)
	assert.Equal(t, o.core.Count.Starts, int64(0))
	o.found(x)
	w.run(5 * time.Second)
	w.expectClean()
	assert.Equal(t, o.core.State("job").State, flow.Completed)
}

// calmCell is a cell whose owner has claimed all executors and in which no run fails.
func calmCell(t *testing.T, executors int) (*world, *owner) {
	t.Helper()
	w := newWorld(t, 1, executors)
	w.failShare = 0
	o := w.takeOver()
	w.run(time.Second)
	return w, o
}

// The tasks of a step that are slower on several racks start on the rack with the most room.
func TestTasksOfOneRackStayTogether(t *testing.T) {
	w := newWorld(t, 1, 0)
	w.failShare = 0
	for i, rack := range []string{"r1", "r2", "r1", "r2", "r2"} {
		x := w.addExecutor(fmt.Sprintf("x%d", i))
		x.Rack, x.Domain = rack, "a"
	}
	o := w.takeOver()
	w.run(time.Second)
	spec := oneStep(testQueue, 9, time.Second)
	spec.Steps[0].Gang, spec.Steps[0].SameRack, spec.Steps[0].MaxPerExecutor = true, true, 3
	w.submit(o, "job", spec)
	w.run(300 * time.Millisecond)
	racks := make(map[string]int)
	for _, spans := range w.history {
		racks[w.execs[spans[0].executor].Rack]++
	}
	assert.DeepEqual(t, racks, map[string]int{"r2": 9})
}

// An executor whose time of day was set back gives its new life an earlier start; it is a new life
// all the same.
func TestNewLifeWithAnEarlierStartIsNoticed(t *testing.T) {
	w, o := calmCell(t, 2)
	w.submit(o, "job", oneStep(testQueue, 8, 2*time.Second))
	w.run(500 * time.Millisecond)
	x := w.execs["x0"]
	x.restart(w)
	x.life -= time.Hour.Milliseconds()
	w.run(100 * time.Millisecond)
	o.found(x)
	w.run(10 * time.Second)
	w.expectClean()
	assert.Equal(t, o.core.State("job").State, flow.Completed)
}
