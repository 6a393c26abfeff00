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

// Guards against refusals with a wrong reason and against refused items that stay in the queue.
func TestRefusalReasons(t *testing.T) {
	late := item("late", "a", queue.Normal)
	late.Deadline = start
	big := item("big", "quota", queue.Normal)
	big.Cost = 5
	cases := []struct {
		item queue.Item
		want queue.Reason
	}{
		{item("", "a", queue.Normal), queue.Invalid},
		{item("x", "a", queue.NumClasses), queue.Invalid},
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
			Class:    [queue.NumClasses]queue.ClassLimits{{}, {}, {MaxItems: 1}},
			Team:     map[string]queue.TeamLimits{"quota": {Quota: 4}, "bound": {MaxItems: 1}},
		}}
		q.Push(start, item("first", "a", queue.Deferrable))
		q.Push(start, item("second", "bound", queue.Urgent))
		q.Push(start, item("third", "c", queue.Urgent))
		v := q.Push(start, c.item)
		assert.Equal(t, v.Reason, c.want)
		waiting := q.Stats().Class
		assert.Equal(t, waiting[0].Waiting+waiting[1].Waiting+waiting[2].Waiting, int64(3))
	}
}

// Guards against a full queue that refuses items of a class or team below its share.
func TestFullQueueDropsForThoseBelowTheirShare(t *testing.T) {
	q := &queue.Queue{Limits: queue.Limits{MaxTotal: 10}}
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

// Guards against a team that exceeds its quota, also with items restored at a takeover.
func TestQuotaLimitsRunningCost(t *testing.T) {
	q := &queue.Queue{Limits: queue.Limits{DefaultTeam: queue.TeamLimits{Quota: 2}}}
	q.RestoreRunning(item("running", "a", queue.Normal))
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

// Guards against an expired item that exceeds the quota of its team and blocks the next one.
func TestExpiredItemAboveQuotaDoesNotBlock(t *testing.T) {
	now := time.Unix(1_000, 0)
	q := &queue.Queue{Limits: queue.Limits{Team: map[string]queue.TeamLimits{"a": {Quota: 4}}}}
	items := []queue.Item{
		{ID: "running", Team: "a", Cost: 3},
		{ID: "large", Team: "a", Cost: 3, Deadline: now.Add(100 * time.Microsecond)},
		{ID: "small", Team: "a", Cost: 1},
	}
	for _, it := range items {
		assert.Assert(t, q.Push(now, it).Admitted())
	}
	first, ok := q.Next(now)
	assert.Assert(t, ok && first.ID == "running")
	second, ok := q.Next(now.Add(200 * time.Microsecond))
	assert.Assert(t, ok && second.ID == "small", "got %q", second.ID)
}
