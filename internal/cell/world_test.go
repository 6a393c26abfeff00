package cell_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"github.com/apex/log"

	"github.com/daisyrack/daisyrack/internal/cell"
	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/flow"
	"github.com/daisyrack/daisyrack/pkg/place"
	"github.com/daisyrack/daisyrack/pkg/table"
)

// world plays executors, store and policy service for owners, in virtual time.
type world struct {
	t    testing.TB
	seed uint64
	rng  *rand.Rand
	// arrivals draws when jobs are handed in, whatever became of those before.
	arrivals *rand.Rand
	now      time.Time
	events   eventQueue
	serial   int

	execs  map[string]*fakeExecutor
	rows   map[string][]byte
	fence  int64 // epoch that may commit
	policy *fleet.Config
	owners []*owner

	// storeRefuses answers all commits with a refusal.
	storeRefuses bool
	// storeDown keeps all commits without an answer.
	storeDown bool
	// lateShare of the orders get no answer and are carried out up to 8 s later.
	lateShare float64

	// lostLooks is the share of looks whose answers get lost.
	lostLooks float64

	// goodShare is the share of executors that the policy service allows; 0 means no service.
	goodShare float64
	submitted int
	// failShare is the share of runs that fail by their own fault.
	failShare float64
	// ended is when jobs were shown in a final state.
	ended map[string]time.Time

	// sent are the orders of all owners.
	sent []cell.Command

	history map[fleet.TaskID][]*span
	broken  []string
}

// span is one run of a task as an executor saw it.
type span struct {
	number     int64
	executor   string
	begin, end time.Time
	kind       fleet.EndKind
	open       bool
}

type fakeExecutor struct {
	fleet.Executor
	born    time.Time
	life    int64
	fence   int64
	until   time.Duration
	runs    map[string]*fakeRun
	ends    []fleet.End
	serial  int64
	closed  map[fleet.TaskID]int64
	cut     bool
	down    bool
	drift   float64
	failAll bool
	// hangs keeps all that is started from making progress.
	hangs bool
	// waiting are the looks that are held until an end.
	waiting []func()
}

type fakeRun struct {
	fleet.Run
	span    *span
	begun   time.Time
	work    time.Duration
	fails   bool
	need    place.Resources
	lasting bool
}

type event struct {
	at     time.Time
	serial int
	do     func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, k int) bool {
	return q[i].at.Before(q[k].at) || q[i].at.Equal(q[k].at) && q[i].serial < q[k].serial
}
func (q eventQueue) Swap(i, k int) { q[i], q[k] = q[k], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

const (
	testQueue  = "urgent"
	slowQueue  = "slow"
	testPool   = "pool"
	messageLag = time.Millisecond
	lease      = 6500 * time.Millisecond
	stopTime   = 500 * time.Millisecond
)

func newWorld(t testing.TB, seed uint64, executors int) *world {
	t.Helper()
	w := &world{
		t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), arrivals: rand.New(rand.NewPCG(seed, 2)), now: time.Unix(1_700_000_000, 0),
		execs: make(map[string]*fakeExecutor), rows: make(map[string][]byte),
		failShare: 0.02,
		history:   make(map[fleet.TaskID][]*span), ended: make(map[string]time.Time),
		policy: &fleet.Config{Version: 1, Queues: []fleet.Queue{
			{Name: testQueue, Service: testPool, Priority: 0, MaxAttempts: 2, Stretch: 1.5, Slack: 250 * time.Millisecond},
			{Name: slowQueue, Service: testPool, Priority: 2, MaxAttempts: 3, Stretch: 2, Slack: time.Second},
		}},
	}
	for i := range executors {
		w.addExecutor(fmt.Sprintf("x%d", i))
	}
	return w
}

func (w *world) addExecutor(id string) *fakeExecutor {
	x := &fakeExecutor{
		Executor: fleet.Executor{
			ID: id, Service: testPool, Domain: domainOf(id), Rack: "r" + id[len(id)-1:],
			Capacity: place.Resources{CPUMillis: 8000, MemoryMB: 16000},
		},
		drift: 1 - 0.02*w.rng.Float64(),
	}
	w.execs[id] = x
	x.restart(w)
	return x
}

func (x *fakeExecutor) restart(w *world) {
	for _, r := range x.runs {
		r.span.end, r.span.open, r.span.kind = w.now, false, fleet.Lost
	}
	x.born, x.life = w.now, w.now.UnixMilli()
	x.fence, x.until, x.serial = 0, 0, 0
	x.runs, x.ends = make(map[string]*fakeRun), nil
	x.closed = make(map[fleet.TaskID]int64)
	x.down = false
	// The connections of looks in progress break.
	for _, answer := range x.waiting {
		w.after(0, answer)
	}
	x.waiting = nil
}

// print writes a log line of an owner with the virtual time.
func (w *world) print(e *log.Entry) error {
	w.t.Logf("%8s %s %v", w.now.Sub(time.Unix(1_700_000_000, 0)), e.Message, e.Fields)
	return nil
}

func (w *world) after(d time.Duration, do func()) {
	w.serial++
	heap.Push(&w.events, event{w.now.Add(d), w.serial, do})
}

// run plays events for a while.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

func (w *world) breach(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf("%s: ", w.now.Sub(time.Unix(1_700_000_000, 0)))+fmt.Sprintf(format, args...))
}

func (w *world) sorted() []*fakeExecutor {
	ids := make([]string, 0, len(w.execs))
	for id := range w.execs {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	out := make([]*fakeExecutor, 0, len(ids))
	for _, id := range ids {
		out = append(out, w.execs[id])
	}
	return out
}

func (w *world) scan(prefix string) []table.Row {
	var out []table.Row
	for key, value := range w.rows {
		if len(key) >= len(prefix) && key[:len(prefix)] == prefix {
			out = append(out, table.Row{Key: key, Value: value})
		}
	}
	slices.SortFunc(out, func(a, b table.Row) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	return out
}

func runKey(t fleet.TaskID, n int64) string {
	return fmt.Sprintf("%s.%d.%d.%d#%d", t.Job, t.Occurrence, t.Step, t.Index, n)
}

var specs = make(map[string]flow.Spec)

func (w *world) specOf(t fleet.TaskID) *flow.StepSpec {
	spec := specs[w.t.Name()+t.Job]
	return &spec.Steps[t.Step]
}

// submit hands a job to an owner; the result is set when the answer comes.
func (w *world) submit(o *owner, id string, spec flow.Spec) *cell.Reply {
	spec.Accepted = w.now
	specs[w.t.Name()+id] = spec
	out := &cell.Reply{Outcome: cell.Unknown}
	o.core.Submit(w.now, id, spec, func(r cell.Reply) { *out = r })
	o.act()
	return out
}

func oneStep(queue string, count int, estimate time.Duration) flow.Spec {
	return flow.Spec{Queue: queue, Text: "text", Steps: []flow.StepSpec{{
		Count: count, Need: place.Resources{CPUMillis: 2000, MemoryMB: 1000}, Estimate: estimate,
	}}}
}

func (w *world) expectClean() {
	w.t.Helper()
	for _, b := range w.broken {
		w.t.Error(b)
	}
}
