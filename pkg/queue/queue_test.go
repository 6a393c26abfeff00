package queue_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/pkg/queue"
)

var start = time.Unix(1_000_000, 0)

func item(id, team string, class queue.Class) queue.Item {
	return queue.Item{ID: id, Team: team, Class: class, Cost: 1}
}

// drain takes all items and returns their ids in order.
func drain(q *queue.Queue, now time.Time) []string {
	ids := []string{}
	for {
		it, ok := q.Next(now)
		if !ok {
			return ids
		}
		ids = append(ids, it.ID)
		q.Done(it.Team, it.Class, it.Cost)
	}
}

// Guards against items of one team and class overtaking each other.
func TestItemsOfOneTeamLeaveInOrderOfArrival(t *testing.T) {
	q := &queue.Queue{}
	want := []string{}
	for i := range 100 {
		id := fmt.Sprint(i)
		want = append(want, id)
		assert.Assert(t, q.Push(start, item(id, "a", queue.Normal)).Admitted())
	}
	assert.DeepEqual(t, drain(q, start), want)
}

// Guards against a deferred or returned item losing its place.
func TestDeferredAndReturnedItemsKeepTheirPlace(t *testing.T) {
	q := &queue.Queue{}
	for _, id := range []string{"1", "2", "3"} {
		q.Push(start, item(id, "a", queue.Normal))
	}
	first, _ := q.Next(start)
	assert.Assert(t, q.Return(first))
	assert.Assert(t, q.Defer("1"))
	second, _ := q.Next(start)
	assert.Equal(t, second.ID, "2")
	q.Wake()
	assert.Assert(t, q.Return(second))
	assert.DeepEqual(t, drain(q, start), []string{"1", "2", "3"})
}

// Guards against a refusal that names the wrong reason or lets the item run later.
func TestRefusalsNameTheirReason(t *testing.T) {
	late := item("late", "a", queue.Normal)
	late.Deadline = start
	big := item("big", "quota", queue.Normal)
	big.Cost = 5
	cases := []struct {
		item queue.Item
		want queue.Reason
	}{
		{item("", "a", queue.Normal), queue.Invalid},
		{item("x", "a", queue.Classes), queue.Invalid},
		{item("first", "b", queue.Urgent), queue.Duplicate},
		{late, queue.DeadlinePassed},
		{big, queue.AboveQuota},
		{item("bound", "bound", queue.Urgent), queue.TeamFull},
		{item("class", "a", queue.Deferrable), queue.ClassFull},
		{item("many", "new", queue.Normal), queue.TooManyTeams},
	}
	for _, c := range cases {
		q := &queue.Queue{Limits: queue.Limits{
			MaxTeams: 3,
			Class:    [queue.Classes]queue.ClassLimits{{}, {}, {Bound: 1}},
			Team:     map[string]queue.TeamLimits{"quota": {Quota: 4}, "bound": {Bound: 1}},
		}}
		q.Push(start, item("first", "a", queue.Deferrable))
		q.Push(start, item("second", "bound", queue.Urgent))
		q.Push(start, item("third", "c", queue.Urgent))
		v := q.Push(start, c.item)
		assert.Equal(t, v.Reason, c.want)
		assert.Equal(t, len(drain(q, start)), 3)
	}
}

// Guards against expired work taking a slot and against it vanishing unanswered.
func TestExpiredItemsComeOnlyOutOfExpire(t *testing.T) {
	q := &queue.Queue{}
	for i := range 50 {
		it := item(fmt.Sprint(i), "a", queue.Normal)
		it.Deadline = start.Add(time.Duration(i+1) * 37 * time.Millisecond)
		q.Push(start, it)
	}
	now := start.Add(20 * 37 * time.Millisecond)
	next, ok := q.Next(now)
	assert.Assert(t, ok)
	assert.Equal(t, next.ID, "20")
	assert.Equal(t, len(q.Expire(now)), 20)
	assert.Equal(t, len(q.Expire(start.Add(time.Hour))), 29)
	assert.Equal(t, q.Stats().Class[queue.Normal].Waiting, int64(0))
}

// Guards against a full queue that shuts out a class or team below its share.
func TestFullQueueDropsForThoseBelowTheirShare(t *testing.T) {
	q := &queue.Queue{Limits: queue.Limits{Sum: 10}}
	for i := range 10 {
		q.Push(start, item(fmt.Sprint("f", i), "flood", queue.Deferrable))
	}
	v := q.Push(start, item("u", "b", queue.Urgent))
	assert.Assert(t, v.Admitted())
	assert.Equal(t, v.Dropped.ID, "f9")
	v = q.Push(start, item("d", "b", queue.Deferrable))
	assert.Assert(t, v.Admitted())
	assert.Equal(t, v.Dropped.ID, "f8")
	v = q.Push(start, item("f10", "flood", queue.Deferrable))
	assert.Equal(t, v.Reason, queue.QueueFull)
	assert.Assert(t, v.RetryAfter > 0)
}

// Guards against a team running more than its quota, also with work found at takeover.
func TestQuotaBoundsTheRunningCost(t *testing.T) {
	q := &queue.Queue{Limits: queue.Limits{DefaultTeam: queue.TeamLimits{Quota: 2}}}
	q.Restore(item("running", "a", queue.Normal))
	q.Push(start, item("1", "a", queue.Normal))
	q.Push(start, item("2", "a", queue.Urgent))
	it, ok := q.Next(start)
	assert.Assert(t, ok)
	_, ok = q.Next(start)
	assert.Assert(t, !ok)
	q.Done(it.Team, it.Class, it.Cost)
	_, ok = q.Next(start)
	assert.Assert(t, ok)
}
