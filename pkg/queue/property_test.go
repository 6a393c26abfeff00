package queue_test

import (
	"cmp"
	"flag"
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/daisyrack/daisyrack/pkg/queue"
)

// TestMain sets a fixed default seed for the property tests so that their result is
// reproducible; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.steps", "150")
	_ = flag.Set("rapid.seed", "1")
	flag.Parse()
	fmt.Println("rapid.seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

var modelLimits = queue.Limits{
	MaxTotal:    14,
	MaxTeams:    3,
	Class:       [queue.NumClasses]queue.ClassLimits{{MaxItems: 6, Share: 0.5}, {Share: 0.3}, {MaxItems: 6, Share: 0.2}},
	DefaultTeam: queue.TeamLimits{MaxItems: 7},
	Team:        map[string]queue.TeamLimits{"a": {Quota: 4, Weight: 2, MaxItems: 5}},
}

// model is a simple reference model of the queue.
type model struct {
	q         *queue.Queue
	now       time.Time
	waiting   []queue.Item // in order of arrival
	suspended map[string]bool
	running   []queue.Item
	leftBy    map[string]string // how each item left the queue
	lastID    int
}

func (m *model) find(id string) int {
	return slices.IndexFunc(m.waiting, func(it queue.Item) bool { return it.ID == id })
}

// remove removes a waiting item. If it is not waiting, the queue returned it twice or out of
// nowhere, and the test fails.
func (m *model) remove(t *rapid.T, id, how string) queue.Item {
	i := m.find(id)
	if i < 0 {
		t.Fatalf("%s: item %s does not wait, it left by %q", how, id, m.leftBy[id])
	}
	it := m.waiting[i]
	m.waiting = slices.Delete(m.waiting, i, i+1)
	m.leftBy[id] = how
	delete(m.suspended, id)
	return it
}

func (m *model) runningCost(team string) int64 {
	cost := int64(0)
	for _, it := range m.running {
		if it.Team == team {
			cost += it.Cost
		}
	}
	return cost
}

// eligible returns the first item of each team and class if it may run.
func (m *model) eligible() []string {
	seen := map[string]bool{}
	var ids []string
	for _, it := range m.waiting {
		key := it.Team + it.Class.String()
		if seen[key] || m.suspended[it.ID] || !it.Deadline.IsZero() && !m.now.Before(it.Deadline) {
			continue
		}
		seen[key] = true
		quota := modelLimits.Team[it.Team].Quota
		if quota == 0 || m.runningCost(it.Team)+it.Cost <= quota {
			ids = append(ids, it.ID)
		}
	}
	return ids
}

// count returns the numbers of all waiting items, of those of the same class as it and of
// those of the same team.
func (m *model) count(it queue.Item) (sum, class, team int) {
	for _, w := range m.waiting {
		sum++
		if w.Class == it.Class {
			class++
		}
		if w.Team == it.Team {
			team++
		}
	}
	return sum, class, team
}

func (m *model) push(t *rapid.T) {
	m.lastID++
	it := queue.Item{
		ID:    fmt.Sprint(m.lastID),
		Team:  rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "team"),
		Class: queue.Class(rapid.IntRange(0, 2).Draw(t, "class")),
		Cost:  rapid.Int64Range(1, 3).Draw(t, "cost"),
	}
	if rapid.Bool().Draw(t, "has deadline") {
		it.Deadline = m.now.Add(time.Duration(rapid.IntRange(1, 100_000).Draw(t, "deadline")) * 100 * time.Microsecond)
	}
	sum, class, team := m.count(it)
	v := m.q.Push(m.now, it)
	if v.HasDropped {
		m.remove(t, v.Dropped.ID, "dropped")
	}
	if v.Admitted() {
		m.waiting = append(m.waiting, it)
	}
	// Requeued items may exceed a limit, but pushed ones may not.
	sumAfter, classAfter, teamAfter := m.count(it)
	assert.Assert(t, sumAfter <= max(sum, modelLimits.MaxTotal))
	assert.Assert(t, classAfter <= max(class, cmp.Or(modelLimits.Class[it.Class].MaxItems, modelLimits.MaxTotal)))
	assert.Assert(t, teamAfter <= max(team, cmp.Or(modelLimits.Team[it.Team].MaxItems, modelLimits.DefaultTeam.MaxItems)))
	if len(m.waiting) > 0 {
		again := m.waiting[0]
		assert.Equal(t, m.q.Push(m.now, again).Reason, queue.Duplicate)
	}
}

func (m *model) next(t *rapid.T) {
	want := m.eligible()
	it, ok := m.q.Next(m.now)
	assert.Equal(t, ok, len(want) > 0, "eligible: %v", want)
	if !ok {
		return
	}
	assert.Assert(t, slices.Contains(want, it.ID), "%s is not among %v", it.ID, want)
	m.remove(t, it.ID, "taken")
	m.running = append(m.running, it)
}

// takeRunning removes a random running item from the model.
func (m *model) takeRunning(t *rapid.T) (queue.Item, bool) {
	if len(m.running) == 0 {
		return queue.Item{}, false
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(t, "running")
	it := m.running[i]
	m.running = slices.Delete(m.running, i, i+1)
	return it, true
}

func (m *model) requeue(t *rapid.T) {
	it, ok := m.takeRunning(t)
	if !ok {
		return
	}
	assert.Assert(t, m.q.Requeue(it))
	number := func(it queue.Item) int { n, _ := strconv.Atoi(it.ID); return n }
	i, _ := slices.BinarySearchFunc(m.waiting, it, func(a, b queue.Item) int { return number(a) - number(b) })
	m.waiting = slices.Insert(m.waiting, i, it)
	if rapid.Bool().Draw(t, "defer") {
		m.suspended[it.ID] = m.q.Suspend(it.ID)
	}
}

func (m *model) expire(t *rapid.T) {
	// Expire rounds deadlines up to whole milliseconds, so items that expired within the current
	// millisecond may remain.
	for _, it := range m.q.Expire(m.now) {
		assert.Assert(t, !m.now.Before(it.Deadline), "expired early")
		m.remove(t, it.ID, "expired")
	}
	for _, it := range m.waiting {
		assert.Assert(t, it.Deadline.IsZero() || m.now.Before(it.Deadline.Add(time.Millisecond)), "%s should have expired", it.ID)
	}
}

func (m *model) check(t *rapid.T) {
	s := m.q.Stats()
	waiting := [queue.NumClasses]int64{}
	for _, it := range m.waiting {
		waiting[it.Class]++
	}
	for c := range s.Class {
		assert.Equal(t, s.Class[c].Waiting, waiting[c])
	}
	assert.Assert(t, len(s.Team) <= modelLimits.MaxTeams)
	assert.Assert(t, m.runningCost("a") <= modelLimits.Team["a"].Quota)
}

// Guards against items that are lost or that are returned twice, out of order, after their
// deadline or beyond a quota; against a queue that holds back eligible items; and against
// exceeding the limits on items, classes and teams.
func TestEveryItemLeavesOnceAndInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{q: &queue.Queue{Limits: modelLimits}, now: start, suspended: map[string]bool{}, leftBy: map[string]string{}}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				for range rapid.IntRange(1, 6).Draw(t, "burst") {
					m.push(t)
				}
			},
			"next": m.next,
			"done": func(t *rapid.T) {
				if it, ok := m.takeRunning(t); ok {
					m.q.Done(it.Team, it.Class, it.Cost)
				}
			},
			"return": m.requeue,
			"wake": func(*rapid.T) {
				m.q.ResumeAll()
				clear(m.suspended)
			},
			"cancel": func(t *rapid.T) {
				id := fmt.Sprint(rapid.IntRange(1, m.lastID+1).Draw(t, "id"))
				waits := m.find(id) >= 0
				assert.Equal(t, m.q.Cancel(id), waits)
				if waits {
					m.remove(t, id, "cancelled")
				}
			},
			"expire":      m.expire,
			"reconfigure": func(*rapid.T) { m.q.Reconfigure(modelLimits) },
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 50_000).Draw(t, "step")) * 100 * time.Microsecond)
			},
			"": m.check,
		})
	})
}

// Guards against a flood that takes the guaranteed places of other classes and teams in the
// queue.
func TestFullQueueKeepsGuaranteedPlaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const sum, teams = 300, 5
		q := &queue.Queue{Limits: queue.Limits{MaxTotal: sum}}
		flooder := rapid.IntRange(0, teams-1).Draw(t, "flooder")
		class := queue.Class(rapid.IntRange(0, 2).Draw(t, "class"))
		ids := 0
		push := func(team int, class queue.Class) {
			ids++
			q.Push(start, item(fmt.Sprint(ids), fmt.Sprint(team), class))
		}
		for range 2 * sum {
			push(flooder, class)
		}
		for range sum {
			push(flooder, class)
			for team := range teams {
				push(team, queue.Class(rapid.IntRange(0, 2).Draw(t, "other class")))
			}
		}
		s := q.Stats()
		for c, share := range []float64{0.5, 0.3, 0.2} {
			assert.Assert(t, float64(s.Class[c].Waiting) >= share*sum-1, "class %d: %d", c, s.Class[c].Waiting)
			for team := range teams {
				places := s.Team[fmt.Sprint(team)][c].Waiting
				assert.Assert(t, float64(places) >= share*sum/teams-2, "class %d team %d: %d", c, team, places)
			}
		}
	})
}

// fill returns a queue with n waiting items of 48 teams and 3 classes. All have deadlines.
func fill(n int) *queue.Queue {
	q := &queue.Queue{Limits: queue.Limits{MaxTotal: n + 1000}}
	for i := range n {
		it := item(strconv.Itoa(i), fmt.Sprint("team", i%48), queue.Class(i/48%queue.NumClasses))
		it.Deadline = start.Add(time.Hour + time.Duration(i)*time.Millisecond)
		q.Push(start, it)
	}
	return q
}

// Guards against operations whose cost grows with the length of the queue, in particular
// bursts of cancellations. The cost is counted in steps, because times depend on the machine.
func TestStepsDoNotGrowWithTheQueue(t *testing.T) {
	for _, n := range []int{1_000, 10_000, 100_000} {
		q := fill(n)
		steps := func(times int, operation func(i int)) float64 {
			before := q.Stats().Steps
			for i := range times {
				operation(i)
			}
			return float64(q.Stats().Steps-before) / float64(times)
		}
		cancel := steps(300, func(i int) { q.Cancel(strconv.Itoa(n/2 + i)) })
		next := steps(300, func(int) {
			it, _ := q.Next(start)
			q.Done(it.Team, it.Class, it.Cost)
		})
		push := steps(300, func(i int) { q.Push(start, item(fmt.Sprint("new", i), "team1", queue.Normal)) })
		t.Logf("%6d waiting: steps for each Cancel %.1f, Next and Done %.1f, Push %.1f", n, cancel, next, push)
		assert.Assert(t, cancel < 40)
		assert.Assert(t, next < 120)
		assert.Assert(t, push < 40)
	}
}

// Guards against starvation of less urgent items, and against aged items that overtake urgent
// ones.
func TestWaitingItemsAge(t *testing.T) {
	cases := []struct {
		age   time.Duration
		class queue.Class
		want  string
	}{
		{9 * time.Minute, queue.Normal, "new"},
		{11 * time.Minute, queue.Normal, "old"},
		{11 * time.Minute, queue.Urgent, "new"},
		{time.Hour, queue.Urgent, "new"},
	}
	for _, c := range cases {
		q := &queue.Queue{}
		old := item("old", "a", queue.Deferrable)
		old.Enqueued = start.Add(-c.age)
		q.Push(start, item("new", "b", c.class))
		q.Push(start, old)
		it, _ := q.Next(start)
		assert.Equal(t, it.ID, c.want, "%v old against %s", c.age, c.class)
	}
}
