package trial

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	servers          = 17
	instances        = 2
	slotsPerInstance = 4 // slots of each server that each entry instance may use
	cores            = 4 // a server with more requests than cores slows down
	requests         = 20_000

	service        = 20 * time.Millisecond
	ratePerSecond  = 1700 // the servers can sustain about 3,200
	reportInterval = time.Second
)

// Result holds the latency quantiles of one policy, including waiting time.
type Result struct {
	Policy   string
	P50, P99 time.Duration
}

// Run simulates every policy with the same arrivals and service times. The first server is slower
// than the others by the factor slowdown.
func Run(seed uint64, slowdown float64) []Result {
	results := make([]Result, 0, len(policies))
	for _, p := range policies {
		h := newSimulation(p, seed, slowdown).run()
		results = append(results, Result{
			Policy: p.name,
			P50:    time.Duration(h.ValueAtQuantile(50)) * time.Microsecond,
			P99:    time.Duration(h.ValueAtQuantile(99)) * time.Microsecond,
		})
	}
	return results
}

// request is one simulated request.
type request struct {
	arrived time.Time
	work    float64 // seconds on an idle server
}

type event struct {
	at     time.Time
	action func()
}

// eventQueue is a heap of events ordered by time.
type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

type simulation struct {
	policy     policy
	slowdown   float64
	now        time.Time
	events     eventQueue
	busy       [servers]int
	views      []*instanceView
	random     *rand.Rand
	toArrive   int // requests still to arrive
	unanswered int // requests without a response
	hist       *hdrhistogram.Histogram
}

func newSimulation(p policy, seed uint64, slowdown float64) *simulation {
	s := &simulation{
		policy: p, slowdown: slowdown, now: time.Unix(1_000_000, 0), toArrive: requests, unanswered: requests,
		random: rand.New(rand.NewPCG(seed, 0)),
		hist:   hdrhistogram.New(1, time.Minute.Microseconds(), 3),
	}
	for i := range uint64(instances) {
		s.views = append(s.views, &instanceView{random: rand.New(rand.NewPCG(seed, i+1))})
	}
	return s
}

func (s *simulation) schedule(d time.Duration, action func()) {
	heap.Push(&s.events, event{at: s.now.Add(d), action: action})
}

func (s *simulation) run() *hdrhistogram.Histogram {
	s.schedule(0, s.arrive)
	s.schedule(reportInterval, s.reportLoad)
	for s.unanswered > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.action()
	}
	return s.hist
}

func (s *simulation) arrive() {
	s.toArrive--
	v := s.views[s.toArrive%instances]
	v.waiting = append(v.waiting, request{arrived: s.now, work: s.random.ExpFloat64() * service.Seconds()})
	s.assign(v)
	if s.toArrive > 0 {
		s.schedule(seconds(s.random.ExpFloat64()/ratePerSecond), s.arrive)
	}
}

// assign sends waiting requests while the instance has a free slot.
func (s *simulation) assign(v *instanceView) {
	v.now = s.now
	for len(v.waiting) > 0 {
		free := v.freeServers()
		if len(free) == 0 {
			return
		}
		server := s.policy.pick(v, free)[0]
		r := v.waiting[0]
		v.waiting = v.waiting[1:]
		s.start(v, server, r)
	}
}

func (s *simulation) start(v *instanceView, server int, r request) {
	v.outstanding[server]++
	v.assigned[server]++
	s.busy[server]++
	duration := r.work * max(1, float64(s.busy[server])/cores)
	if server == 0 {
		duration *= s.slowdown
	}
	sent := s.now
	s.schedule(seconds(duration), func() {
		s.busy[server]--
		v.outstanding[server]--
		s.unanswered--
		v.latency[server].Observe(s.now, s.now.Sub(sent))
		_ = s.hist.RecordValue(max(s.now.Sub(r.arrived).Microseconds(), 1))
		s.assign(v)
	})
}

// reportLoad gives every instance the current load of all servers.
func (s *simulation) reportLoad() {
	for _, v := range s.views {
		v.reportedBusy, v.assigned = s.busy, [servers]int{}
	}
	s.schedule(reportInterval, s.reportLoad)
}

func seconds(x float64) time.Duration {
	return time.Duration(x * float64(time.Second))
}
