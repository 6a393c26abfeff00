package trial

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	servers   = 17
	instances = 2
	share     = 4 // slots of each server that each entry instance holds
	cores     = 4 // a server with more requests than cores slows down
	requests  = 20_000

	service        = 20 * time.Millisecond
	ratePerSecond  = 1700 // the servers sustain about 3,200
	reportInterval = time.Second
	slowFactor     = 5 // of the first server
)

// Result is the latency of one policy, waiting time included.
type Result struct {
	Policy   string
	P50, P99 time.Duration
}

// Run simulates every policy with the same arrivals and service times.
func Run(seed uint64) []Result {
	results := make([]Result, 0, len(policies))
	for _, p := range policies {
		h := newSimulation(p, seed).run()
		results = append(results, Result{
			Policy: p.name,
			P50:    time.Duration(h.ValueAtQuantile(50)) * time.Microsecond,
			P99:    time.Duration(h.ValueAtQuantile(99)) * time.Microsecond,
		})
	}
	return results
}

// job is one request.
type job struct {
	arrived time.Time
	work    float64 // seconds on an idle server
}

type event struct {
	at time.Time
	do func()
}

// agenda is a heap of events by time.
type agenda []event

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(event)) }

func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

type simulation struct {
	policy policy
	now    time.Time
	agenda agenda
	busy   [servers]int
	views  []*view
	random *rand.Rand
	left   int // requests still to arrive
	open   int // requests not answered yet
	hist   *hdrhistogram.Histogram
}

func newSimulation(p policy, seed uint64) *simulation {
	s := &simulation{
		policy: p, now: time.Unix(1_000_000, 0), left: requests, open: requests,
		random: rand.New(rand.NewPCG(seed, 0)),
		hist:   hdrhistogram.New(1, time.Minute.Microseconds(), 3),
	}
	for i := range uint64(instances) {
		s.views = append(s.views, &view{random: rand.New(rand.NewPCG(seed, i+1))})
	}
	return s
}

func (s *simulation) after(d time.Duration, do func()) {
	heap.Push(&s.agenda, event{at: s.now.Add(d), do: do})
}

func (s *simulation) run() *hdrhistogram.Histogram {
	s.after(0, s.arrive)
	s.after(reportInterval, s.report)
	for s.open > 0 {
		e := heap.Pop(&s.agenda).(event)
		s.now = e.at
		e.do()
	}
	return s.hist
}

func (s *simulation) arrive() {
	s.left--
	v := s.views[s.left%instances]
	v.waiting = append(v.waiting, job{arrived: s.now, work: s.random.ExpFloat64() * service.Seconds()})
	s.assign(v)
	if s.left > 0 {
		s.after(seconds(s.random.ExpFloat64()/ratePerSecond), s.arrive)
	}
}

// assign sends waiting requests while the instance has a free share.
func (s *simulation) assign(v *view) {
	v.now = s.now
	for len(v.waiting) > 0 {
		free := v.free()
		if len(free) == 0 {
			return
		}
		to := s.policy.pick(v, free)[0]
		j := v.waiting[0]
		v.waiting = v.waiting[1:]
		s.start(v, to, j)
	}
}

func (s *simulation) start(v *view, to int, j job) {
	v.own[to]++
	v.since[to]++
	s.busy[to]++
	d := j.work * max(1, float64(s.busy[to])/cores)
	if to == 0 {
		d *= slowFactor
	}
	sent := s.now
	s.after(seconds(d), func() {
		s.busy[to]--
		v.own[to]--
		s.open--
		v.latency[to].Observe(s.now, s.now.Sub(sent))
		_ = s.hist.RecordValue(max(s.now.Sub(j.arrived).Microseconds(), 1))
		s.assign(v)
	})
}

// report tells every instance the load of all servers at this moment.
func (s *simulation) report() {
	for _, v := range s.views {
		v.reported, v.since = s.busy, [servers]int{}
	}
	s.after(reportInterval, s.report)
}

func seconds(x float64) time.Duration {
	return time.Duration(x * float64(time.Second))
}
