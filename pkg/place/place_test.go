package place_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/pkg/place"
)

var (
	epoch = time.Unix(1_700_000_000, 0)
	host  = place.Resources{CPUMillis: 16_000, MemoryMB: 65_536}
)

// cellOf returns a cell with n equal workers, 8 per rack.
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

// Guards against a task that is placed on a worker without room for it.
func TestPlaceRefusesWhatDoesNotFit(t *testing.T) {
	c := cellOf(1, host)
	assert.Equal(t, c.Place(epoch, batch("a", 10, 10)).Worker, "w0000")
	assert.Equal(t, c.Place(epoch, batch("b", 10, 10)).Reason.Code, place.NoRoom)
	assert.Equal(t, c.Place(epoch, batch("c", 17, 10)).Reason.String(), "needs 17000 cpu_millis; the largest worker has 16000")
	assert.Assert(t, c.Release("a"))
	assert.Equal(t, c.Place(epoch, batch("b", 10, 10)).Worker, "w0000")
	assert.NilError(t, c.Check())
}

// Guards against an all-at-once job that keeps a part of its tasks.
func TestPlaceAllKeepsNothingWhenOneTaskDoesNotFit(t *testing.T) {
	c := cellOf(2, host)
	d := c.PlaceAll(epoch, []place.Task{batch("a", 10, 1), batch("b", 10, 1), batch("c", 10, 1)})
	assert.Assert(t, !d.Placed())
	assert.Equal(t, c.Capacity().Sum.Granted, place.Resources{})
	assert.Assert(t, c.PlaceAll(epoch, []place.Task{batch("a", 10, 1), batch("b", 10, 1)}).Placed())
}

// Guards against a recovered task that is forgotten because it does not fit.
func TestAdoptCountsTasksAboveTheCapacity(t *testing.T) {
	c := cellOf(1, host)
	assert.NilError(t, c.Adopt(batch("a", 10, 1), "w0000"))
	assert.ErrorIs(t, c.Adopt(batch("b", 10, 1), "w0000"), place.ErrOverCapacity)
	assert.ErrorIs(t, c.Check(), place.ErrOverCapacity)
	assert.Equal(t, c.Capacity().Sum.Granted.CPUMillis, int64(20_000))
	assert.Assert(t, c.Release("b"))
	assert.NilError(t, c.Check())
}

// Guards against backfill that delays the reserved start.
func TestReservationAdmitsOnlyTasksThatEndInTime(t *testing.T) {
	c := cellOf(2, host)
	running := batch("a", 10, 1)
	running.RunTime = time.Minute
	assert.Equal(t, c.Place(epoch, running).Reason.Code, place.Placed)
	wide := []place.Task{batch("b", 16, 1), batch("c", 16, 1)}
	r := c.Reserve(epoch, "wide", wide)
	assert.Assert(t, r.Held && r.Known)
	assert.Equal(t, r.Start, epoch.Add(time.Minute))
	long := batch("d", 2, 1)
	long.RunTime = time.Hour
	assert.Equal(t, c.Place(epoch, long).Reason.Code, place.Reserved)
	long.RunTime = time.Minute
	assert.Equal(t, c.Place(epoch, long).Reason.Code, place.Placed)
}

// Guards against preemption of the wrong class and of tasks that lose more work.
func TestPreemptStopsTheDeferrableTaskThatLosesLeast(t *testing.T) {
	c := cellOf(2, host)
	for i, class := range []place.Class{place.Normal, place.Deferrable, place.Deferrable, place.Normal} {
		task := batch(digits(i), 8, 1)
		task.Class = class
		assert.Equal(t, c.Place(epoch.Add(time.Duration(i)*time.Second), task).Reason.Code, place.Placed)
	}
	urgent := batch("u", 8, 1)
	urgent.Class = place.Urgent
	_, victims, ok := c.Preempt(epoch.Add(time.Minute), urgent)
	assert.Assert(t, ok)
	assert.DeepEqual(t, victims, []string{"0002"})
}
