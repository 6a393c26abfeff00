package place_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/pkg/place"
)

var (
	testTime     = time.Unix(1_700_000_000, 0)
	hostCapacity = place.Resources{CPUMillis: 16_000, MemoryMB: 65_536}
)

// cellOf returns a cell with n identical workers, 8 per rack.
func cellOf(n int, capacity place.Resources) *place.Cell {
	c := &place.Cell{}
	for i := range n {
		c.SetWorker(place.Worker{Name: "w" + digits(i), Rack: "r" + digits(i/8), Capacity: capacity})
	}
	return c
}

func digits(i int) string {
	return string([]byte{byte('0' + i/1000%10), byte('0' + i/100%10), byte('0' + i/10%10), byte('0' + i%10)})
}

func batch(id string, cores, gb int64) place.Task {
	return place.Task{
		ID: id, Job: "j-" + id, Kind: place.Batch, Class: place.Normal,
		Need: place.Resources{CPUMillis: cores * 1000, MemoryMB: gb * 1024},
	}
}

// Guards against placing a task on a worker without enough free capacity.
func TestPlaceRefusesTaskThatDoesNotFit(t *testing.T) {
	c := cellOf(1, hostCapacity)
	assert.Equal(t, c.Place(testTime, batch("a", 10, 10)).Worker, "w0000")
	assert.Equal(t, c.Place(testTime, batch("b", 10, 10)).Reason.Code, place.NoCapacity)
	assert.Equal(t, c.Place(testTime, batch("c", 17, 10)).Reason.String(), "needs 17000 cpu_millis; the largest worker has 16000")
	assert.Assert(t, c.Release("a"))
	assert.Equal(t, c.Place(testTime, batch("b", 10, 10)).Worker, "w0000")
	assert.NilError(t, c.Check())
}

// Guards against a gang of which only some tasks are placed.
func TestPlaceAllIsAllOrNothing(t *testing.T) {
	c := cellOf(2, hostCapacity)
	d := c.PlaceAll(testTime, []place.Task{batch("a", 10, 1), batch("b", 10, 1), batch("c", 10, 1)})
	assert.Assert(t, !d.Placed())
	assert.Equal(t, c.Capacity().Sum.Granted, place.Resources{})
	assert.Assert(t, c.PlaceAll(testTime, []place.Task{batch("a", 10, 1), batch("b", 10, 1)}).Placed())
}

// Guards against losing track of a running task during recovery because it does not fit.
func TestAdoptBeyondCapacity(t *testing.T) {
	c := cellOf(1, hostCapacity)
	assert.NilError(t, c.Adopt(batch("a", 10, 1), "w0000"))
	assert.ErrorIs(t, c.Adopt(batch("b", 10, 1), "w0000"), place.ErrOverCapacity)
	assert.ErrorIs(t, c.Check(), place.ErrOverCapacity)
	assert.Equal(t, c.Capacity().Sum.Granted.CPUMillis, int64(20_000))
	assert.Assert(t, c.Release("b"))
	assert.NilError(t, c.Check())
}

// Guards against backfilled tasks that delay the start of a reservation.
func TestReservationBackfillsOnlyTasksThatEndInTime(t *testing.T) {
	c := cellOf(2, hostCapacity)
	running := batch("a", 10, 1)
	running.RunTime = time.Minute
	assert.Equal(t, c.Place(testTime, running).Reason.Code, place.Placed)
	wide := []place.Task{batch("b", 16, 1), batch("c", 16, 1)}
	r := c.Reserve(testTime, "wide", wide)
	assert.Assert(t, r.Held && r.StartKnown)
	assert.Equal(t, r.Start, testTime.Add(time.Minute))
	long := batch("d", 2, 1)
	long.RunTime = time.Hour
	assert.Equal(t, c.Place(testTime, long).Reason.Code, place.Reserved)
	long.RunTime = time.Minute
	assert.Equal(t, c.Place(testTime, long).Reason.Code, place.Placed)
}

// Guards against a planned start in the past when a task exceeds its expected run time.
func TestReservationStartWithOverdueTask(t *testing.T) {
	c := cellOf(1, hostCapacity)
	late := batch("a", 10, 1)
	late.RunTime = time.Minute
	assert.Equal(t, c.Place(testTime, late).Reason.Code, place.Placed)
	now := testTime.Add(90 * time.Second)
	r := c.Reserve(now, "wide", []place.Task{batch("b", 16, 1)})
	assert.Assert(t, r.Held)
	assert.Equal(t, r.Start, now.Add(30*time.Second))
}

// Guards against preempting urgent tasks, and against preempting normal tasks, services or
// tasks that lose more work where cheaper victims suffice.
func TestPreemptSelectsLeastCostlyVictims(t *testing.T) {
	type running struct {
		class place.Class
		kind  place.Kind
		saved time.Duration
		cores int64
	}
	const b, svc, gang = place.Batch, place.Service, place.Gang
	for name, test := range map[string]struct {
		running []running
		victims []string
	}{
		"deferrable before normal":      {[]running{{place.Normal, b, 50, 10}, {place.Deferrable, b, 0, 10}}, []string{"0001"}},
		"deferrable on the same worker": {[]running{{place.Normal, b, 50, 8}, {place.Deferrable, b, 0, 8}}, []string{"0001"}},
		"least lost work":               {[]running{{place.Deferrable, b, 10, 10}, {place.Deferrable, b, 50, 10}}, []string{"0001"}},
		"no unneeded victim":            {[]running{{place.Deferrable, b, 50, 2}, {place.Deferrable, b, 0, 14}}, []string{"0001"}},
		"services last":                 {[]running{{place.Deferrable, svc, 50, 10}, {place.Normal, b, 0, 10}}, []string{"0001"}},
		"whole gang":                    {[]running{{place.Deferrable, gang, 50, 10}, {place.Deferrable, gang, 50, 10}}, []string{"0000", "0001"}},
		"gang counts once": {[]running{
			{place.Deferrable, gang, 50, 4},
			{place.Deferrable, gang, 50, 4},
			{place.Deferrable, gang, 50, 4},
			{place.Deferrable, gang, 50, 4},
			{place.Deferrable, gang, 45, 16},
		}, []string{"0000", "0001", "0002", "0003"}},
		"never urgent": {[]running{{place.Urgent, b, 0, 10}, {place.Urgent, svc, 0, 10}}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			c := cellOf(1, hostCapacity)
			n, used := 0, int64(0)
			for i, r := range test.running {
				if used += r.cores; used > 16 {
					n, used = n+1, r.cores
					c.SetWorker(place.Worker{Name: "w" + digits(n), Capacity: hostCapacity})
				}
				task := batch(digits(i), r.cores, 1)
				task.Job, task.Class, task.Kind, task.Started = "j"+digits(int(r.cores)), r.class, r.kind, testTime
				assert.NilError(t, c.Adopt(task, "w"+digits(n)))
				assert.Assert(t, c.RecordCheckpoint(task.ID, testTime.Add(r.saved*time.Second)))
			}
			urgent := batch("u", 8, 1)
			urgent.Class = place.Urgent
			_, victims, ok := c.Preempt(testTime.Add(time.Minute), urgent)
			assert.Equal(t, ok, test.victims != nil)
			assert.DeepEqual(t, victims, test.victims)
			urgent.Class = place.Normal
			_, _, ok = c.Preempt(testTime.Add(time.Minute), urgent)
			assert.Assert(t, !ok, "a normal task preempts")
		})
	}
}

// Guards against refusing a task when all but one of the many workers in a bucket are too small.
func TestPlaceFindsOnlyFittingWorkerInCrowdedBucket(t *testing.T) {
	c := cellOf(300, place.Resources{CPUMillis: 1_000, MemoryMB: 1_000})
	c.SetWorker(place.Worker{Name: "large", Capacity: place.Resources{CPUMillis: 64_000, MemoryMB: 64_000}})
	c.SetWorker(place.Worker{Name: "fits", Capacity: place.Resources{CPUMillis: 1_001, MemoryMB: 1_001}})
	task := batch("a", 0, 0)
	task.Need = place.Resources{CPUMillis: 1_001, MemoryMB: 1_001}
	assert.Equal(t, c.Place(testTime, task).Worker, "fits")
	c.Cordon("large", true)
	c.Release("a")
	for i := 300; i > 0; i-- {
		c.SetWorker(place.Worker{Name: "v" + digits(i), Capacity: place.Resources{CPUMillis: 1_000, MemoryMB: 1_000}})
	}
	assert.Equal(t, c.Place(testTime, task).Worker, "fits")
}

// Guards against placing replicas of a service on the same rack while another rack has fewer.
func TestServicesSpreadOverRacks(t *testing.T) {
	c := cellOf(32, hostCapacity)
	perRack := map[string]int{}
	for i := range 10 {
		task := batch(digits(i), 1, 1)
		task.Kind, task.Job = place.Service, "s"
		d := c.Place(testTime, task)
		n := 0
		_, _ = fmt.Sscanf(d.Worker, "w%d", &n)
		perRack["r"+digits(n/8)]++
	}
	assert.DeepEqual(t, perRack, map[string]int{"r0000": 3, "r0001": 3, "r0002": 2, "r0003": 2})
}

// Guards against tasks without accelerators occupying workers with accelerators while other
// workers have room.
func TestAcceleratorsStayFree(t *testing.T) {
	c := cellOf(2, hostCapacity)
	c.SetWorker(place.Worker{Name: "acc", Rack: "r", Capacity: place.Resources{CPUMillis: 16_000, MemoryMB: 65_536, Accelerators: 4}})
	for i := range 8 {
		assert.Assert(t, c.Place(testTime, batch(digits(i), 4, 16)).Worker != "acc")
	}
	assert.Equal(t, c.Place(testTime, batch("more", 4, 16)).Worker, "acc")
}

// Guards against an infeasible job that waits forever, and against a wrong reason.
func TestFeasibleReportsReason(t *testing.T) {
	c := cellOf(3, hostCapacity)
	for want, test := range map[string]struct {
		cores, gb, acc int64
		count          int
	}{
		"placed": {8, 32, 0, 6},
		"needs 7 tasks at the same time; the workers hold at most 6 of this size": {8, 32, 0, 7},
		"needs 66560 memory_mb; the largest worker has 65536":                     {1, 65, 0, 1},
		"needs 1 accelerators; the largest worker has 0":                          {1, 1, 1, 1},
	} {
		need := place.Resources{CPUMillis: test.cores * 1000, MemoryMB: test.gb * 1024, Accelerators: test.acc}
		ok, reason := c.Feasible(need, test.count)
		assert.Equal(t, reason.String(), want)
		assert.Equal(t, ok, want == "placed")
	}
}

// Guards against idle capacity that is reported without a cause or with a wrong one.
func TestCapacityReportsIdleCauses(t *testing.T) {
	c := cellOf(3, hostCapacity)
	assert.NilError(t, c.Adopt(batch("a", 16, 16), "w0000"))
	assert.NilError(t, c.Adopt(batch("b", 4, 16), "w0001"))
	c.Cordon("w0002", true)
	rep := c.Capacity()
	var idle place.Resources
	for _, r := range rep.Sum.IdleCauses {
		idle = idle.Add(r.Amount)
	}
	assert.Equal(t, idle, rep.Sum.Idle)
	assert.Equal(t, rep.Sum.Idle, rep.Sum.Total.Sub(rep.Sum.Granted))
	assert.Equal(t, rep.Sum.IdleCauses[place.Cordoned].Amount, hostCapacity)
	assert.Equal(t, rep.Sum.IdleCauses[place.CPUExhausted].Amount.MemoryMB, int64(48*1024+48*1024-19_660))
	assert.Equal(t, rep.Racks[0].Stranded, rep.Sum.Stranded)
	out, err := json.Marshal(rep.Sum.IdleCauses[place.MemoryExhausted])
	assert.NilError(t, err)
	assert.Equal(t, string(out), `{"cause":"stranded: memory of the worker is used up","amount":{"cpu_millis":0,"memory_mb":0,"accelerators":0}}`)
	w, _ := c.WorkerState("w0001")
	assert.DeepEqual(t, w.Tasks, []string{"b"})
	b, worker, _ := c.Task("b")
	assert.Assert(t, b.Need == w.Granted && worker == w.Name)
}

// Guards against actions in the wrong order and against stopping more tasks than necessary.
func TestOverloadActionsOrder(t *testing.T) {
	cell := func() *place.Cell {
		c := cellOf(1, hostCapacity)
		for id, k := range map[string]struct {
			class place.Class
			kind  place.Kind
		}{
			"d": {place.Deferrable, place.Batch}, "n": {place.Normal, place.Batch},
			"s": {place.Normal, place.Service}, "u": {place.Urgent, place.Batch},
		} {
			task := batch(id, 4, 8)
			task.Class, task.Kind = k.class, k.kind
			assert.NilError(t, c.Adopt(task, "w0000"))
		}
		return c
	}
	use := func(id string, cpu, mem int64) place.Usage {
		return place.Usage{Task: id, Used: place.Resources{CPUMillis: cpu, MemoryMB: mem}}
	}
	stop := func(id string) []place.Action {
		return []place.Action{{Kind: place.Checkpoint, Task: id}, {Kind: place.Stop, Task: id}}
	}
	throttle := func(id string, cpu int64) []place.Action {
		return []place.Action{{Kind: place.Throttle, Task: id, CPUMillis: cpu}}
	}
	for name, test := range map[string]struct {
		usage []place.Usage
		want  [][]place.Action
	}{
		"none": {[]place.Usage{use("d", 5_000, 9_000), use("n", 3_000, 7_000)}, nil},
		"cpu":  {[]place.Usage{use("u", 5_000, 8_192)}, [][]place.Action{throttle("d", 3_000)}},
		"cpu of several tasks": {
			[]place.Usage{use("u", 12_000, 8_192)},
			[][]place.Action{throttle("d", 400), stop("d"), throttle("n", 400), stop("n")},
		},
		"memory":                  {[]place.Usage{use("u", 4_000, 9_000)}, [][]place.Action{stop("d")}},
		"memory of several tasks": {[]place.Usage{use("u", 4_000, 20_000)}, [][]place.Action{stop("d"), stop("n")}},
		"urgent last": {
			[]place.Usage{use("u", 4_000, 50_000)},
			[][]place.Action{stop("d"), stop("n"), stop("s"), stop("u")},
		},
	} {
		t.Run(name, func(t *testing.T) {
			assert.DeepEqual(t, cell().OverloadActions(testTime, "w0000", test.usage), slices.Concat(test.want...))
		})
	}
}
