package place_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/daisyrack/daisyrack/pkg/place"
)

// simulation runs tasks that end no later than expected.
type simulation struct {
	cell place.Cell
	now  time.Time
	ends map[string]time.Time
	// tasks has all tasks that were placed.
	tasks     map[string]place.Task
	generator model
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{now: testTime, ends: map[string]time.Time{}, tasks: map[string]place.Task{}}
	for i := range rapid.IntRange(1, 4).Draw(t, "workers") {
		s.cell.SetWorker(place.Worker{Name: "w" + strconv.Itoa(i), Capacity: genCapacity.Draw(t, "capacity")})
	}
	return s
}

// start places a task and draws its actual end.
func (s *simulation) start(t *rapid.T, task place.Task) bool {
	if s.cell.Place(s.now, task).Worker == "" {
		return false
	}
	s.tasks[task.ID] = task
	if task.Kind != place.Service && task.RunTime > 0 {
		share := rapid.SampledFrom([]int{50, 100, 100}).Draw(t, "percent")
		s.ends[task.ID] = s.now.Add(task.RunTime * time.Duration(share) / 100)
	}
	return true
}

func (s *simulation) advance(to time.Time) {
	s.now = to
	for id, end := range s.ends {
		if !end.After(to) {
			s.cell.Release(id)
			delete(s.ends, id)
		}
	}
}

func gangTasks(t *rapid.T, name string) []place.Task {
	ts := make([]place.Task, rapid.IntRange(1, 6).Draw(t, "gang"))
	equal := rapid.Bool().Draw(t, "equal")
	for i := range ts {
		ts[i] = place.Task{
			ID: name + strconv.Itoa(i), Job: name, Kind: place.Gang, Class: place.Normal,
			Need: genNeed.Draw(t, "need"), RunTime: 20 * time.Second,
		}
		if equal {
			ts[i].Need = ts[0].Need
		}
	}
	return ts
}

// Guards against backfilled tasks that delay a gang past the start of its reservation.
func TestBackfillDoesNotDelayReservedStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for range rapid.IntRange(0, 12).Draw(t, "running") {
			s.start(t, s.generator.task(t))
		}
		wide := gangTasks(t, "wide")
		if s.cell.PlaceAll(s.now, wide).Placed() {
			return
		}
		r := s.cell.Reserve(s.now, "wide", wide)
		if !r.Held || !r.StartKnown {
			return
		}
		plannedStart := r.Start
		for range rapid.IntRange(0, 20).Draw(t, "backfill") {
			wait := time.Duration(rapid.IntRange(0, 10).Draw(t, "wait")) * time.Second
			if to := s.now.Add(wait); to.Before(plannedStart) {
				s.advance(to)
			}
			s.start(t, s.generator.task(t))
			s.cell.Resize("t"+strconv.Itoa(rapid.IntRange(1, 30).Draw(t, "id")), genNeed.Draw(t, "size"))
			if rapid.IntRange(0, 4).Draw(t, "again") == 0 {
				if next := s.cell.Reserve(s.now, "wide", wide).Start; next.Before(plannedStart) {
					plannedStart = next
				}
			}
		}
		s.advance(plannedStart)
		r = s.cell.Reserve(s.now, "wide", wide)
		for _, id := range r.Victims {
			if task := s.tasks[id]; task.Class != place.Deferrable || task.Kind != place.Batch {
				t.Fatalf("%+v must not be stopped", task)
			}
		}
		s.stop(r.Victims)
		if d := s.cell.PlaceAll(s.now, wide); !d.Placed() {
			t.Fatalf("not placed at the reserved start %v: %v; %+v", plannedStart, d.Reason(), r)
		}
		if err := s.cell.Check(); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against dropping a feasible plan because a new plan assigns the tasks differently:
// once both running tasks have ended, the tightest fit for the largest task is on the worker
// that was planned for the medium-sized ones.
func TestReservationKeepsFeasiblePlan(t *testing.T) {
	var c place.Cell
	run := func(id string, cores int64, d time.Duration) place.Task {
		task := batch(id, cores, 0)
		task.RunTime = d
		return task
	}
	c.SetWorker(place.Worker{Name: "a", Capacity: place.Resources{CPUMillis: 10_000}})
	c.SetWorker(place.Worker{Name: "b", Capacity: place.Resources{CPUMillis: 16_000}})
	assert.NilError(t, c.Adopt(place.Task{ID: "x", Kind: place.Batch, RunTime: time.Minute, Started: testTime, Need: place.Resources{CPUMillis: 10_000}}, "a"))
	assert.Equal(t, c.Place(testTime, run("y", 8, time.Minute)).Worker, "b")
	wide := []place.Task{run("7", 7, 0), run("4", 4, 0), run("4b", 4, 0), run("3", 3, 0)}
	r := c.Reserve(testTime, "wide", wide)
	assert.DeepEqual(t, r.Workers, []string{"a", "b", "b", "a"})
	assert.Equal(t, c.Place(testTime, run("long", 8, time.Hour)).Worker, "b")
	c.Release("x")
	c.Release("y")
	r = c.Reserve(r.Start, "wide", wide)
	assert.Assert(t, r.Held && r.Start.Equal(testTime.Add(time.Minute)), "%+v", r)
	for i := range wide {
		wide[i].Job = "wide"
	}
	assert.Assert(t, c.PlaceAll(r.Start, wide).Placed())
}

// Guards against two gangs that each wait for capacity held by the other.
func TestTwoGangsNeverDeadlock(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		waiting := [][]place.Task{gangTasks(t, "a"), gangTasks(t, "b")}
		for _, ts := range waiting {
			if !s.cell.PlaceAll(s.now, ts).Placed() {
				return // does not fit into the empty cell
			}
			for _, task := range ts {
				s.cell.Release(task.ID)
			}
		}
		for range rapid.IntRange(0, 12).Draw(t, "running") {
			task := s.generator.task(t)
			task.Kind, task.RunTime = place.Batch, max(task.RunTime, time.Second)
			s.start(t, task)
		}
		for limit := s.now.Add(5 * time.Minute); len(waiting) > 0; s.advance(s.now.Add(time.Second)) {
			if s.now.After(limit) {
				t.Fatalf("%d jobs still wait", len(waiting))
			}
			waiting = slices.DeleteFunc(waiting, func(ts []place.Task) bool { return s.tryStart(ts) })
		}
	})
}

func (s *simulation) stop(ids []string) {
	for _, id := range ids {
		s.cell.Release(id)
		delete(s.ends, id)
	}
}

// tryStart places the gang, or else reserves capacity and stops the victims at the planned
// start. It reports whether the gang was placed.
func (s *simulation) tryStart(ts []place.Task) bool {
	if !s.cell.PlaceAll(s.now, ts).Placed() {
		r := s.cell.Reserve(s.now, ts[0].Job, ts)
		if r.Held && !r.Start.After(s.now) {
			s.stop(r.Victims)
		}
		return false
	}
	for _, task := range ts {
		s.ends[task.ID] = s.now.Add(task.RunTime)
	}
	return true
}
