package queue_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/pkg/queue"
)

const floodSeed = 20_261_204

// stream is the work that one team sends in one class.
type stream struct {
	team     string
	class    queue.Class
	load     float64       // part of all slots that the stream would occupy
	run      time.Duration // mean of an exponential distribution
	deadline time.Duration
	from, to time.Duration // time in which the stream is active
}

// policy is a queue under test or a baseline.
type policy struct {
	push func(now time.Time, it queue.Item) bool
	next func(now time.Time) (queue.Item, bool)
	done func(it queue.Item)
}

// outcome holds what became of the items of one stream, counted while the flood lasts.
type outcome struct {
	waits  *hdrhistogram.Histogram // microseconds
	served time.Duration           // slot time
	sent   int
	missed int // refused, dropped or not started before the deadline
}

// p99 is in milliseconds, NaN when no item started.
func (o *outcome) p99() float64 {
	if o.waits.TotalCount() == 0 {
		return math.NaN()
	}
	return float64(o.waits.ValueAtQuantile(99)) / 1000
}

// occurrence is an arrival (of a stream) or the end of a run.
type occurrence struct {
	at     time.Duration
	stream int
	ends   bool
	item   queue.Item
}

type calendar []occurrence

func (c calendar) Len() int           { return len(c) }
func (c calendar) Less(i, j int) bool { return c[i].at < c[j].at }
func (c calendar) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *calendar) Push(x any)        { *c = append(*c, x.(occurrence)) }
func (c *calendar) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// simulate runs the streams against a policy in virtual time. Each stream has its
// own random numbers, so that it sends the same items with and without a flood.
func simulate(p policy, slots int, streams []stream, from, to time.Duration) []*outcome {
	outcomes := make([]*outcome, len(streams))
	arrivals := make([]*rand.Rand, len(streams))
	var events calendar
	gap := func(i int) time.Duration {
		s := streams[i]
		return time.Duration(arrivals[i].ExpFloat64() * s.run.Seconds() / (s.load * float64(slots)) * float64(time.Second))
	}
	for i, s := range streams {
		outcomes[i] = &outcome{waits: hdrhistogram.New(1, 3_600_000_000, 3)}
		arrivals[i] = rand.New(rand.NewPCG(floodSeed, uint64(i)))
		heap.Push(&events, occurrence{at: s.from + gap(i), stream: i})
	}
	free := slots
	// Items sent at the end get time to start.
	for events.Len() > 0 && events[0].at < to+to/8 {
		e := heap.Pop(&events).(occurrence)
		now := start.Add(e.at)
		counted := e.at >= from && e.at < to
		if e.ends {
			free++
			p.done(e.item)
		} else if e.at < streams[e.stream].to {
			s, o := streams[e.stream], outcomes[e.stream]
			it := queue.Item{ID: strconv.Itoa(e.stream) + "-" + strconv.FormatInt(int64(e.at), 10), Team: s.team, Class: s.class, Enqueued: now, Cost: 1}
			it.Deadline = now.Add(s.deadline)
			it.Value = job{e.stream, time.Duration(arrivals[e.stream].ExpFloat64() * float64(s.run)), counted}
			if counted {
				o.sent++
				o.missed++
			}
			p.push(now, it)
			heap.Push(&events, occurrence{at: e.at + gap(e.stream), stream: e.stream})
		}
		for free > 0 {
			it, ok := p.next(now)
			if !ok {
				break
			}
			free--
			j := it.Value.(job)
			o := outcomes[j.stream]
			if j.counted {
				_ = o.waits.RecordValue(now.Sub(it.Enqueued).Microseconds())
				o.missed--
			}
			o.served += max(min(e.at+j.run, to)-max(e.at, from), 0)
			heap.Push(&events, occurrence{at: e.at + j.run, ends: true, item: it})
		}
	}
	return outcomes
}

type job struct {
	stream  int
	run     time.Duration
	counted bool
}

func shares(limits queue.Limits, capacity int64) policy {
	q := &queue.Queue{Limits: limits, Capacity: capacity}
	return policy{
		push: func(now time.Time, it queue.Item) bool {
			q.Expire(now)
			return q.Push(now, it).Admitted()
		},
		next: q.Next,
		done: func(it queue.Item) { q.Done(it.Team, it.Class, it.Cost) },
	}
}

// baseline is first in first out over one list, or strict priority over one list for each class.
func baseline(bound int, strict bool) policy {
	var lists [queue.Classes][]queue.Item
	waiting := 0
	return policy{
		push: func(now time.Time, it queue.Item) bool {
			if waiting == bound {
				return false
			}
			waiting++
			at := 0
			if strict {
				at = int(it.Class)
			}
			lists[at] = append(lists[at], it)
			return true
		},
		next: func(now time.Time) (queue.Item, bool) {
			for i := range lists {
				for len(lists[i]) > 0 {
					it := lists[i][0]
					lists[i] = lists[i][1:]
					waiting--
					if now.Before(it.Deadline) {
						return it, true
					}
				}
			}
			return queue.Item{}, false
		},
		done: func(queue.Item) {},
	}
}

var policies = []struct {
	name string
	make func(slots int) policy
}{
	{"shares", func(int) policy { return shares(queue.Limits{Sum: 10_000}, 0) }},
	{"headroom", func(slots int) policy {
		limits := queue.Limits{Sum: 10_000}
		limits.Class[queue.Urgent].Headroom = int64(slots+14) / 15
		return shares(limits, int64(slots))
	}},
	{"fifo", func(int) policy { return baseline(10_000, false) }},
	{"strict", func(int) policy { return baseline(10_000, true) }},
}

// regular returns the work of 48 teams without a flood, with the given load of each class.
func regular(loads [queue.Classes]float64, run time.Duration) []stream {
	deadlines := [queue.Classes]time.Duration{20 * run, 100 * run, 600 * run}
	var all []stream
	for team := range 48 {
		class := queue.Class(team % queue.Classes)
		all = append(all, stream{
			team:     fmt.Sprint("team", team),
			class:    class,
			load:     loads[class] / 16,
			run:      run,
			deadline: deadlines[class],
			to:       time.Hour,
		})
	}
	return all
}

// merged adds up the outcomes of the streams of one class.
func merged(streams []stream, outcomes []*outcome, class queue.Class) *outcome {
	sum := &outcome{waits: hdrhistogram.New(1, 3_600_000_000, 3)}
	for i, o := range outcomes {
		if streams[i].class == class {
			sum.waits.Merge(o.waits)
			sum.served += o.served
			sum.sent += o.sent
			sum.missed += o.missed
		}
	}
	return sum
}

// Guards against a flood of the least urgent work holding up urgent work: section 14, at most twice its p99 waiting time.
func TestUrgentWorkUnderFloodOfDeferrable(t *testing.T) {
	cases := []struct {
		name  string
		slots int
		run   time.Duration
		loads [queue.Classes]float64
		held  string // the policy that must keep the target
	}{
		{"requests, 45 slots, load 0.95", 45, 100 * time.Millisecond, [queue.Classes]float64{0.25, 0.45, 0.25}, "shares"},
		{"tasks, 100 slots, load 0.98", 100, 10 * time.Second, [queue.Classes]float64{0.3, 0.4, 0.28}, "shares"},
		// Without the flood a slot is nearly always free, which only headroom can keep up.
		{"requests, 45 slots, load 0.70", 45, 100 * time.Millisecond, [queue.Classes]float64{0.2, 0.3, 0.2}, "headroom"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Logf("seed %d", floodSeed)
			calm := regular(c.loads, c.run)
			load := 10 * c.loads[queue.Deferrable]
			flood := append(regular(c.loads, c.run), stream{"flood", queue.Deferrable, load, c.run, 600 * c.run, 0, time.Hour})
			from, to := 20*c.run, 220*c.run
			for _, p := range policies {
				calmly := simulate(p.make(c.slots), c.slots, calm, from, to)
				flooded := simulate(p.make(c.slots), c.slots, flood, from, to)
				before := merged(calm, calmly, queue.Urgent)
				during := merged(flood, flooded, queue.Urgent)
				t.Logf("%-8s urgent p99 waiting %7.2f ms calm, %8.2f ms flood, ratio %5.2f; missed %d and %d of %d; slots used %.3f in the flood",
					p.name, before.p99(), during.p99(), during.p99()/before.p99(), before.missed, during.missed, during.sent, used(flooded, c.slots, to-from))
				if p.name == c.held {
					assert.Equal(t, during.missed, before.missed)
					assert.Assert(t, during.p99() <= 2*before.p99())
				}
			}
		})
	}
}

// used returns the part of the slots that was in use.
func used(outcomes []*outcome, slots int, d time.Duration) float64 {
	sum := time.Duration(0)
	for _, o := range outcomes {
		sum += o.served
	}
	return float64(sum) / float64(slots) / float64(d)
}

// Guards against a flood of the most urgent work by one team taking the share of
// another class or team, or making work miss its deadline.
func TestOthersUnderFloodOfUrgent(t *testing.T) {
	t.Logf("seed %d", floodSeed)
	run := 100 * time.Millisecond
	loads := [queue.Classes]float64{0.25, 0.28, 0.18}
	calm := regular(loads, run)
	from, to := 40*run, 240*run
	for _, floodRun := range []time.Duration{run / 10, run, 20 * run} {
		load := 10 * loads[queue.Urgent]
		flood := append(regular(loads, run), stream{"flood", queue.Urgent, load, floodRun, 20 * run, 0, time.Hour})
		for _, p := range policies {
			before := simulate(p.make(45), 45, calm, from, to)
			during := simulate(p.make(45), 45, flood, from, to)
			least, missedBefore, missedDuring := 1.0, 0, 0
			for i := range calm {
				least = min(least, float64(during[i].served)/float64(before[i].served))
				missedBefore += before[i].missed
				missedDuring += during[i].missed
			}
			t.Logf("%-8s flood of %v runs: the worst team keeps %.3f of its service; missed %d calm, %d flood; p99 waiting urgent %.1f normal %.1f deferrable %.1f ms",
				p.name, floodRun, least, missedBefore, missedDuring,
				merged(calm, during[:len(calm)], queue.Urgent).p99(), merged(calm, during[:len(calm)], queue.Normal).p99(), merged(calm, during[:len(calm)], queue.Deferrable).p99())
			switch p.name {
			case "shares":
				assert.Assert(t, least > 0.97)
				assert.Equal(t, missedDuring, missedBefore)
			case "headroom":
				assert.Assert(t, least > 0.9)
			}
		}
	}
}

// Guards against a class or team falling below its guaranteed share when all send more than fits, with runs of any length.
func TestSharesWhenEverybodyFloods(t *testing.T) {
	t.Logf("seed %d", floodSeed)
	ms := time.Millisecond
	guaranteed := [queue.Classes]float64{0.5, 0.3, 0.2}
	for _, slots := range []int{1, 45, 100} {
		for _, run := range [][queue.Classes]time.Duration{{100 * ms, 100 * ms, 100 * ms}, {800 * ms, 100 * ms, 40 * ms}, {40 * ms, 100 * ms, 800 * ms}} {
			var streams []stream
			for team := range 48 {
				class := queue.Class(team % queue.Classes)
				load := 0.1
				if team < queue.Classes {
					load = 1
				}
				streams = append(streams, stream{fmt.Sprint("team", team), class, load, run[class], time.Hour, 0, time.Hour})
			}
			from, to := 10*time.Second, 10*time.Second+max(2_000/time.Duration(slots), 12)*time.Second
			outcomes := simulate(shares(queue.Limits{Sum: 10_000}, 0), slots, streams, from, to)
			all := time.Duration(slots) * (to - from)
			leastTeam, leastClass := 10.0, 10.0
			for class := range queue.Class(queue.Classes) {
				leastClass = min(leastClass, float64(merged(streams, outcomes, class).served)/float64(all)/guaranteed[class])
			}
			for i, o := range outcomes {
				leastTeam = min(leastTeam, float64(o.served)/float64(all)/guaranteed[streams[i].class]*16)
			}
			t.Logf("%3d slots, runs %v: the worst class has %.3f of its share, the worst team %.3f", slots, run, leastClass, leastTeam)
			assert.Assert(t, leastClass > 0.95)
			// With one slot a team runs some ten items of random length, which no order can even out.
			assert.Assert(t, slots == 1 || leastTeam > 0.85)
		}
	}
}
