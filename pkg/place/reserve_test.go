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

// shift runs tasks that end at or before their expected end.
type shift struct {
	cell place.Cell
	now  time.Time
	ends map[string]time.Time
	// tasks has every task that was placed.
	tasks map[string]place.Task
	m     model
}

func newShift(t *rapid.T) *shift {
	s := &shift{now: epoch, ends: map[string]time.Time{}, tasks: map[string]place.Task{}}
	for i := range rapid.IntRange(1, 4).Draw(t, "workers") {
		s.cell.SetWorker(place.Worker{Name: "w" + strconv.Itoa(i), Capacity: genCapacity.Draw(t, "capacity")})
	}
	return s
}

// start places a task and fixes its true end.
func (s *shift) start(t *rapid.T, task place.Task) bool {
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

func (s *shift) advance(to time.Time) {
	s.now = to
	for id, end := range s.ends {
		if !end.After(to) {
			s.cell.Release(id)
			delete(s.ends, id)
		}
	}
}

func gang(t *rapid.T, name string) []place.Task {
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

// Guards against backfill that delays an all-at-once job past its reserved start.
func TestReservedStartIsKeptUnderBackfill(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newShift(t)
		for range rapid.IntRange(0, 12).Draw(t, "running") {
			s.start(t, s.m.task(t))
		}
		wide := gang(t, "wide")
		if s.cell.PlaceAll(s.now, wide).Placed() {
			return
		}
		r := s.cell.Reserve(s.now, "wide", wide)
		if !r.Held || !r.StartKnown {
			return
		}
		bound := r.Start
		for range rapid.IntRange(0, 20).Draw(t, "backfill") {
			wait := time.Duration(rapid.IntRange(0, 10).Draw(t, "wait")) * time.Second
			if to := s.now.Add(wait); to.Before(bound) {
				s.advance(to)
			}
			s.start(t, s.m.task(t))
			s.cell.Resize("t"+strconv.Itoa(rapid.IntRange(1, 30).Draw(t, "id")), genNeed.Draw(t, "size"))
			if rapid.IntRange(0, 4).Draw(t, "again") == 0 {
				if next := s.cell.Reserve(s.now, "wide", wide).Start; next.Before(bound) {
					bound = next
				}
			}
		}
		s.advance(bound)
		r = s.cell.Reserve(s.now, "wide", wide)
		for _, id := range r.Victims {
			if task := s.tasks[id]; task.Class != place.Deferrable || task.Kind != place.Batch {
				t.Fatalf("%+v is not to be stopped", task)
			}
		}
		s.stop(r.Victims)
		if d := s.cell.PlaceAll(s.now, wide); !d.Placed() {
			t.Fatalf("not placed at the reserved start %v: %v; %+v", bound, d.Reason(), r)
		}
		if err := s.cell.Check(); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a plan that is lost because planning again takes other workers: the tightest
// fit for the largest task is then on the worker of the middle ones.
func TestReservationKeepsItsPlan(t *testing.T) {
	var c place.Cell
	run := func(id string, cores int64, d time.Duration) place.Task {
		task := batch(id, cores, 0)
		task.RunTime = d
		return task
	}
	c.SetWorker(place.Worker{Name: "a", Capacity: place.Resources{CPUMillis: 10_000}})
	c.SetWorker(place.Worker{Name: "b", Capacity: place.Resources{CPUMillis: 16_000}})
	assert.NilError(t, c.Adopt(place.Task{ID: "x", Kind: place.Batch, RunTime: time.Minute, Started: epoch, Need: place.Resources{CPUMillis: 10_000}}, "a"))
	assert.Equal(t, c.Place(epoch, run("y", 8, time.Minute)).Worker, "b")
	wide := []place.Task{run("7", 7, 0), run("4", 4, 0), run("4b", 4, 0), run("3", 3, 0)}
	r := c.Reserve(epoch, "wide", wide)
	assert.DeepEqual(t, r.Workers, []string{"a", "b", "b", "a"})
	assert.Equal(t, c.Place(epoch, run("long", 8, time.Hour)).Worker, "b")
	c.Release("x")
	c.Release("y")
	r = c.Reserve(r.Start, "wide", wide)
	assert.Assert(t, r.Held && r.Start.Equal(epoch.Add(time.Minute)), "%+v", r)
	for i := range wide {
		wide[i].Job = "wide"
	}
	assert.Assert(t, c.PlaceAll(r.Start, wide).Placed())
}

// Guards against two all-at-once jobs that each wait for what the other one holds.
func TestTwoAllAtOnceJobsNeverBlockEachOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newShift(t)
		waiting := [][]place.Task{gang(t, "a"), gang(t, "b")}
		for _, ts := range waiting {
			if !s.cell.PlaceAll(s.now, ts).Placed() {
				return // not possible even alone
			}
			for _, task := range ts {
				s.cell.Release(task.ID)
			}
		}
		for range rapid.IntRange(0, 12).Draw(t, "running") {
			task := s.m.task(t)
			task.Kind, task.RunTime = place.Batch, max(task.RunTime, time.Second)
			s.start(t, task)
		}
		for limit := s.now.Add(5 * time.Minute); len(waiting) > 0; s.advance(s.now.Add(time.Second)) {
			if s.now.After(limit) {
				t.Fatalf("%d jobs still wait", len(waiting))
			}
			waiting = slices.DeleteFunc(waiting, func(ts []place.Task) bool { return s.try(ts) })
		}
	})
}

func (s *shift) stop(ids []string) {
	for _, id := range ids {
		s.cell.Release(id)
		delete(s.ends, id)
	}
}

// try starts the job, or reserves for it as an owner would.
func (s *shift) try(ts []place.Task) bool {
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
