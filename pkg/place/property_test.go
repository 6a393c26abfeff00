package place_test

import (
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/daisyrack/daisyrack/pkg/place"
)

// rapid prints the seed of a failing run; -rapid.seed reproduces it.

var (
	genNeed = rapid.Custom(func(t *rapid.T) place.Resources {
		return place.Resources{
			CPUMillis:    rapid.Int64Range(0, 5_000).Draw(t, "cpu"),
			MemoryMB:     rapid.Int64Range(0, 9_000).Draw(t, "mem"),
			Accelerators: rapid.SampledFrom([]int64{0, 0, 0, 1, 2, 3}).Draw(t, "acc"),
		}
	})
	genCapacity = rapid.Custom(func(t *rapid.T) place.Resources {
		return place.Resources{
			CPUMillis:    rapid.Int64Range(1_000, 8_000).Draw(t, "cpu"),
			MemoryMB:     rapid.Int64Range(1_000, 16_000).Draw(t, "mem"),
			Accelerators: rapid.SampledFrom([]int64{0, 0, 2}).Draw(t, "acc"),
		}
	})
)

// model is a simple reference model of a cell.
type model struct {
	cell     place.Cell
	workers  map[string]place.Resources
	cordoned map[string]bool
	needs    map[string]place.Resources
	workerOf map[string]string
	now      time.Time
	lastID   int
}

func newModel(t *rapid.T) *model {
	m := &model{
		workers: map[string]place.Resources{}, cordoned: map[string]bool{},
		needs: map[string]place.Resources{}, workerOf: map[string]string{}, now: testTime,
	}
	for range rapid.IntRange(1, 6).Draw(t, "workers") {
		m.setWorker(t)
	}
	return m
}

func (m *model) setWorker(t *rapid.T) {
	w := place.Worker{
		Name:     "w" + strconv.Itoa(rapid.IntRange(0, 7).Draw(t, "name")),
		Rack:     "r" + strconv.Itoa(rapid.IntRange(0, 2).Draw(t, "rack")),
		Capacity: genCapacity.Draw(t, "capacity"),
	}
	m.cell.SetWorker(w)
	m.workers[w.Name] = w.Capacity
}

func (m *model) task(t *rapid.T) place.Task {
	m.lastID++
	return place.Task{
		ID: "t" + strconv.Itoa(m.lastID), Job: "j" + strconv.Itoa(rapid.IntRange(0, 2).Draw(t, "job")),
		Class:   place.Class(rapid.IntRange(0, 2).Draw(t, "class")),
		Kind:    place.Kind(rapid.IntRange(0, 2).Draw(t, "kind")),
		Need:    genNeed.Draw(t, "need"),
		RunTime: time.Duration(rapid.IntRange(0, 60).Draw(t, "run")) * time.Second,
	}
}

func (m *model) free(worker string) place.Resources {
	free := m.workers[worker]
	for id, w := range m.workerOf {
		if w == worker {
			free = free.Sub(m.needs[id])
		}
	}
	return free
}

func (m *model) record(id, worker string, need place.Resources) {
	m.workerOf[id], m.needs[id] = worker, need
}

func (m *model) forget(id string) {
	delete(m.workerOf, id)
	delete(m.needs, id)
}

func (m *model) someID(t *rapid.T) string {
	return rapid.SampledFrom(append(slices.Sorted(maps.Keys(m.workerOf)), "none")).Draw(t, "id")
}

func (m *model) someWorker(t *rapid.T) string {
	return rapid.SampledFrom(append(slices.Sorted(maps.Keys(m.workers)), "none")).Draw(t, "worker")
}

// checkPlaced checks a successful placement against the model and records it.
func (m *model) checkPlaced(t *rapid.T, task place.Task, worker string) {
	if !task.Need.Fits(m.free(worker)) || m.cordoned[worker] {
		t.Fatalf("%s placed on %s: need %+v, free %+v, cordoned %v", task.ID, worker, task.Need, m.free(worker), m.cordoned[worker])
	}
	m.record(task.ID, worker, task.Need)
}

func (m *model) place(t *rapid.T) {
	task := m.task(t)
	d := m.cell.Place(m.now, task)
	if d.Worker != "" {
		m.checkPlaced(t, task, d.Worker)
		return
	}
	if _, _, reserved := m.cell.Reserved(); reserved {
		return
	}
	for w := range m.workers {
		if !m.cordoned[w] && task.Need.Fits(m.free(w)) {
			t.Fatalf("%s refused (%v) but fits on %s", task.ID, d.Reason, w)
		}
	}
}

func (m *model) placeAll(t *rapid.T) {
	ts := make([]place.Task, rapid.IntRange(1, 4).Draw(t, "tasks"))
	for i := range ts {
		ts[i] = m.task(t)
	}
	if rapid.IntRange(0, 9).Draw(t, "repeat") == 0 {
		ts[len(ts)-1].ID = ts[0].ID
	}
	for i, d := range m.cell.PlaceAll(m.now, ts) {
		if d.Worker != "" {
			m.checkPlaced(t, ts[i], d.Worker)
		}
	}
	held := 0
	for i := range ts {
		if _, ok := m.workerOf[ts[i].ID]; ok {
			held++
		}
	}
	if held != 0 && held != len(ts) {
		t.Fatalf("%d of %d tasks placed", held, len(ts))
	}
}

func (m *model) preempt(t *rapid.T) {
	task := m.task(t)
	task.Class = place.Urgent
	worker, victims, ok := m.cell.Preempt(m.now, task)
	if !ok {
		return
	}
	for _, id := range victims {
		if !m.cell.Release(id) {
			t.Fatalf("victim %s is not running", id)
		}
		m.forget(id)
	}
	d := m.cell.Place(m.now, task)
	if d.Worker == "" {
		t.Fatalf("%s does not fit after preemption on %s: %v", task.ID, worker, d.Reason)
	}
	m.checkPlaced(t, task, d.Worker)
}

func (m *model) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"place":    m.place,
		"placeAll": m.placeAll,
		"preempt":  m.preempt,
		"release": func(t *rapid.T) {
			id := m.someID(t)
			_, known := m.workerOf[id]
			assert.Equal(t, m.cell.Release(id), known)
			m.forget(id)
		},
		"resize": func(t *rapid.T) {
			id, need := m.someID(t), genNeed.Draw(t, "need")
			if m.cell.Resize(id, need) {
				m.needs[id] = need
			}
		},
		"adopt": func(t *rapid.T) {
			task, worker := m.task(t), m.someWorker(t)
			if err := m.cell.Adopt(task, worker); err == nil || errors.Is(err, place.ErrOverCapacity) {
				m.record(task.ID, worker, task.Need)
			}
		},
		"cordon": func(t *rapid.T) {
			worker, on := m.someWorker(t), rapid.Bool().Draw(t, "on")
			m.cell.Cordon(worker, on)
			m.cordoned[worker] = on
		},
		"setWorker": func(t *rapid.T) { m.setWorker(t) },
		"removeWorker": func(t *rapid.T) {
			worker := m.someWorker(t)
			for _, id := range m.cell.RemoveWorker(worker) {
				assert.Equal(t, m.workerOf[id], worker)
				m.forget(id)
			}
			delete(m.workers, worker)
			delete(m.cordoned, worker)
		},
		"reserve": func(t *rapid.T) {
			ts := []place.Task{m.task(t), m.task(t)}
			m.cell.Reserve(m.now, ts[0].Job, ts)
		},
		"unreserve": func(t *rapid.T) {
			job, _, ok := m.cell.Reserved()
			assert.Equal(t, m.cell.Unreserve(job), ok)
		},
		"wait": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "s")) * time.Second)
		},
		"": m.check,
	}
}

// check compares the totals with the model. Workers may exceed their capacity only after Adopt
// or a smaller SetWorker.
func (m *model) check(t *rapid.T) {
	over := false
	var granted place.Resources
	for w := range m.workers {
		free := m.free(w)
		over = over || !(place.Resources{}).Fits(free)
		granted = granted.Add(m.workers[w].Sub(free))
	}
	err := m.cell.Check()
	if over != errors.Is(err, place.ErrOverCapacity) || err != nil && !over {
		t.Fatalf("check: %v, above the capacity: %v", err, over)
	}
	assert.Equal(t, m.cell.Capacity().Sum.Granted, granted)
	tasks, workers := m.cell.Len()
	assert.Equal(t, tasks, len(m.workerOf))
	assert.Equal(t, workers, len(m.workers))
}

// Guards against grants beyond the capacity, partially placed gangs, refusals of tasks that
// fit, and wrong totals, under any sequence of calls.
func TestCellMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(newModel(t).actions())
	})
}

// Guards against a new owner that decides differently from its predecessor after recovery.
func TestAdoptRestoresSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var before, after place.Cell
		capacity, equal := genCapacity.Draw(t, "capacity"), rapid.Bool().Draw(t, "equal")
		for i := range rapid.IntRange(1, 8).Draw(t, "workers") {
			if !equal {
				capacity = genCapacity.Draw(t, "capacity")
			}
			w := place.Worker{Name: "w" + strconv.Itoa(i), Rack: "r" + strconv.Itoa(i/3), Capacity: capacity}
			before.SetWorker(w)
			after.SetWorker(w)
		}
		m := &model{now: testTime}
		var running []place.Task
		for range rapid.IntRange(0, 30).Draw(t, "tasks") {
			task := m.task(t)
			if before.Place(testTime, task).Worker != "" {
				running = append(running, task)
			}
			if len(running) > 0 && rapid.IntRange(0, 3).Draw(t, "end") == 0 {
				before.Release(running[0].ID)
				running = running[1:]
			}
		}
		for _, task := range rapid.Permutation(running).Draw(t, "order") {
			worker, _ := before.WorkerOf(task.ID)
			task.Started = testTime
			assert.NilError(t, after.Adopt(task, worker))
		}
		assert.NilError(t, after.Check())
		assert.DeepEqual(t, after.Capacity(), before.Capacity())
		for range 10 {
			task := m.task(t)
			assert.Equal(t, after.Place(testTime, task), before.Place(testTime, task))
		}
	})
}
