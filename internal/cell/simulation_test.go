package cell_test

import (
	"container/heap"
	"encoding/base64"
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
	"github.com/daisyrack/daisyrack/internal/relay"
	"github.com/daisyrack/daisyrack/pkg/place"
	"github.com/daisyrack/daisyrack/pkg/table"
)

// simulation simulates executors, the store and the policy service for owners, in virtual time.
type simulation struct {
	t    testing.TB
	seed uint64
	rng  *rand.Rand
	// arrivals determines when jobs are submitted, independently of how earlier ones are handled.
	arrivals *rand.Rand
	// network determines which connections calls use while an executor is not reached.
	network *rand.Rand
	// unbound makes the calls of owners reach whatever incarnation of an executor runs.
	unbound  bool
	now      time.Time
	events   eventQueue
	eventSeq int

	execs      map[string]*fakeExecutor
	specs      map[string]flow.Spec // by job
	rows       map[string][]byte
	storeEpoch int64 // epoch that is allowed to commit
	config     *fleet.Config
	owners     []*owner

	// remoteSlowdown is how many times as long tasks take away from their data, ownerSlowdown what the owners know of
	// it; 0 means as long as there. actualRatio holds, by image, the run time relative to the estimate.
	remoteSlowdown, ownerSlowdown float64
	// nearShare is the share of the steps of a near play that have data on some rack.
	nearShare   float64
	actualRatio map[string]float64

	// puts are all rows that were stored, if keepPuts is set.
	puts     []table.Put
	keepPuts bool

	// refusesRow makes the store refuse the content of commits with such a row; it may be nil. refusedRows counts
	// the commits refused for their content.
	refusesRow  func(put table.Put) bool
	refusedRows int

	// storeRefuses makes the store refuse all commits.
	storeRefuses bool
	// listStalled keeps the owners from reading the instance list.
	listStalled bool
	// storeDelay is how much longer commits take than usual.
	storeDelay time.Duration
	// storeDown keeps the store from responding to commits.
	storeDown bool
	// storeDisruptedAt is when the store last began or ceased to refuse commits or to be down.
	storeDisruptedAt time.Time
	// lateCommandShare is the share of commands that get no response and are executed up to 8 s
	// later.
	lateCommandShare float64

	// lateOutlivesProcess makes such commands reach the next incarnation of an executor that restarts meanwhile.
	lateOutlivesProcess bool

	// pollDelay is how long the responses to polls take longer than usual.
	pollDelay time.Duration

	// losses counts the responses to polls that got lost.
	losses relay.Losses

	// lostPollShare is the share of polls whose responses get lost.
	lostPollShare float64

	// lostCommandShare is the share of commands that are executed and whose responses get lost.
	lostCommandShare float64

	// costs are the processing times of the owners' work; nil means none.
	costs *costs

	// sharedProcessor makes calls, commits and polls of the owners use the same processor as their loop.
	sharedProcessor bool

	// storeRelayed makes commits go through another instance.
	storeRelayed bool

	// advice holds what the policy service does for queues that the configuration may lack.
	advice map[string]*fleet.Advice
	// advisers is the number of concurrent calls to the policy service.
	advisers int

	// adviceTimeouts is the number of responses that came after the owner had given up the call.
	adviceTimeouts int

	// allowedShare is the share of executors that the policy service allows; 0 means no policy
	// service.
	allowedShare float64
	// allowedShares holds the shares of queues for which it differs from allowedShare.
	allowedShares map[string]float64
	submitted     int
	// submitNext submits one more job to the owner, if the test lets faults do so.
	submitNext func(flow.Spec)
	// submittedTo holds the IDs of the submitted jobs, by queue.
	submittedTo map[string]map[string]bool
	// failureShare is the share of runs that fail on their own.
	failureShare float64
	// endedAt is when the final states of jobs were stored.
	endedAt map[string]time.Time

	// rejections is the number of further starts that are rejected with the status rejection, each by an
	// executor that crashes then.
	rejections int
	rejection  fleet.Status
	// misdirectedStarts counts, by executor, the starts that reached another one at its address.
	misdirectedStarts map[string]int

	// sentCommands are the commands of all owners.
	sentCommands []cell.Command

	// nextTeam returns the team of the next job; it may be nil. limits are the quotas that teams have had.
	nextTeam func() string
	limits   map[string][]room

	history    map[fleet.TaskID][]*span
	violations []string

	// deadly holds the tasks that crash their executor crashAfter after each start.
	deadly     map[fleet.TaskID]bool
	crashAfter time.Duration
	// keepsID makes crashed executors start again under their ID; otherwise they get a new one.
	keepsID bool
	// crashes holds when executors crashed while they ran each task.
	crashes map[fleet.TaskID][]time.Time
	// givenUp holds the tasks that owners gave up because they crash their executors.
	givenUp []fleet.TaskID

	// hopeless holds the tasks of which all runs fail.
	hopeless map[fleet.TaskID]bool
	// lastingFailureShare is the share of runs of long-running tasks that fail.
	lastingFailureShare float64
	// crashesBeforeResponse makes deadly tasks crash their executor before it has responded to the start.
	crashesBeforeResponse bool
	// crashesSilently keeps executors that deadly tasks crash from breaking their connections.
	crashesSilently bool
	// adviceFails makes calls to the policy service fail; adviceDelay is added to their duration.
	adviceFails bool
	adviceDelay time.Duration
	// unaskedTickets are returned with each response of the policy service.
	unaskedTickets []fleet.Ticket
}

// span is one run of a task as its executor saw it.
type span struct {
	number     int64
	executor   string
	begin, end time.Time
	kind       fleet.EndKind
	open       bool
	// inTouch is set when the owner that started the run was in touch.
	inTouch bool
}

type fakeExecutor struct {
	// Executor is the entry in the instance list, entryVersion the number of times it was written.
	fleet.Executor
	entryVersion int64
	// writtenAt is when the entry was last written.
	writtenAt time.Time
	// unlisted is set while the entry is removed.
	unlisted bool
	// rooms holds the capacities that the executor has had, the last one being in force.
	rooms        []room
	startTime    time.Time
	clockStart   time.Duration
	incarnation  int64
	maxEpoch     int64
	leaseUntil   time.Duration
	runs         map[string]*fakeRun
	ends         []fleet.End
	lastSequence int64
	// lastEndedRun holds, for each task, the highest number of a run that was stopped or ended here.
	lastEndedRun map[fleet.TaskID]int64
	partitioned  bool
	down         bool
	// storeUnreachable keeps the executor from writing its entry.
	storeUnreachable bool
	// refuses makes a down executor refuse connections at once.
	refuses bool
	// rejectsRetries makes the executor lose the responses to starts and reject their retries.
	rejectsRetries bool
	// replaced is set when another executor has taken the address.
	replaced bool
	// disturbedUntil is when the last restart with a partition soon after is over, or the last drain.
	disturbedUntil time.Time
	clockRate      float64
	failAll        bool
	// slowdown is how many times as long runs take; 0 means as long as on others.
	slowdown float64
	// hangs keeps all new runs from making progress.
	hangs bool
	// heldPolls are polls whose response is held until a run ends.
	heldPolls []func()
}

// room is the capacity of an executor from some time on.
type room struct {
	since    time.Time
	capacity place.Resources
}

type fakeRun struct {
	fleet.Run
	span      *span
	startedAt time.Time
	duration  time.Duration
	fails     bool
	need      place.Resources
	lasting   bool
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, k int) bool {
	return q[i].at.Before(q[k].at) || q[i].at.Equal(q[k].at) && q[i].seq < q[k].seq
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
	testQueue    = "urgent"
	slowQueue    = "slow"
	testService  = "pool"
	messageDelay = time.Millisecond
	lease        = 6500 * time.Millisecond
	maxStopTime  = 500 * time.Millisecond
	// maxLease is the longest lease that an executor grants.
	maxLease = 10 * time.Second
)

func newSimulation(t testing.TB, seed uint64, count int) *simulation {
	t.Helper()
	sim := &simulation{
		t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), arrivals: rand.New(rand.NewPCG(seed, 2)),
		network: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1_700_000_000, 0),
		execs: make(map[string]*fakeExecutor), specs: make(map[string]flow.Spec), rows: make(map[string][]byte),
		failureShare: 0.02, advisers: numAdvisers,
		history: make(map[fleet.TaskID][]*span), endedAt: make(map[string]time.Time),
		misdirectedStarts: make(map[string]int), actualRatio: make(map[string]float64),
		submittedTo: make(map[string]map[string]bool), hopeless: make(map[fleet.TaskID]bool),
		deadly: make(map[fleet.TaskID]bool), crashes: make(map[fleet.TaskID][]time.Time), crashAfter: usualCrashAfter,
		config: &fleet.Config{Version: 1, Queues: []fleet.Queue{
			{Name: testQueue, Service: testService, Priority: 0, MaxAttempts: 2, Stretch: 1.5, Slack: 250 * time.Millisecond},
			{Name: slowQueue, Service: testService, Priority: 2, MaxAttempts: 3, Stretch: 2, Slack: time.Second},
		}},
	}
	for i := range count {
		sim.addExecutor(fmt.Sprintf("x%d", i))
	}
	return sim
}

func (sim *simulation) addExecutor(id string) *fakeExecutor {
	x := &fakeExecutor{
		Executor: fleet.Executor{
			ID: id, Address: machineOf(id), Service: testService, Domain: domainOf(id), Rack: "r" + id[len(id)-1:],
			Capacity: place.Resources{CPUMillis: 8000, MemoryMB: 16000},
		},
		clockRate: 1 - 0.02*sim.rng.Float64(),
	}
	sim.execs[id] = x
	x.restart(sim)
	sim.schedule(time.Duration(sim.arrivals.Int64N(int64(beatInterval))), func() { x.beat(sim) })
	return x
}

// loseRuns ends all runs of a crashed executor.
func (x *fakeExecutor) loseRuns(sim *simulation) {
	for _, key := range x.keys() {
		r := x.runs[key]
		r.span.end, r.span.open, r.span.kind = sim.now, false, fleet.Lost
		sim.crashes[r.Task] = append(sim.crashes[r.Task], sim.now)
	}
	x.runs = make(map[string]*fakeRun)
}

func (x *fakeExecutor) restart(sim *simulation) {
	x.loseRuns(sim)
	x.startTime, x.incarnation, x.writtenAt = sim.now, sim.now.UnixMilli(), sim.now
	x.clockStart = x.randomClock(sim)
	x.maxEpoch, x.leaseUntil, x.lastSequence = 0, x.clockStart, 0
	x.ends = nil
	x.lastEndedRun = make(map[fleet.TaskID]int64)
	x.down, x.refuses = false, false
	// The connections of polls in flight break.
	for _, respond := range x.heldPolls {
		sim.schedule(0, respond)
	}
	x.heldPolls = nil
}

// logEntry records the tasks that are given up, and logs an entry of an owner with the virtual time.
func (sim *simulation) logEntry(e *log.Entry) error {
	if e.Message == "job failed: task crashes its executors" {
		sim.givenUp = append(sim.givenUp, fleet.TaskID{
			Job: e.Fields.Get("job").(string), Step: e.Fields.Get("step").(int), Index: e.Fields.Get("index").(int),
		})
	}
	if !tracing() {
		return nil
	}
	sim.t.Logf("%8s %s %v", sim.now.Sub(time.Unix(1_700_000_000, 0)), e.Message, e.Fields)
	return nil
}

func (sim *simulation) schedule(d time.Duration, do func()) {
	sim.eventSeq++
	heap.Push(&sim.events, event{sim.now.Add(d), sim.eventSeq, do})
}

// advance processes the events of the next d of virtual time.
func (sim *simulation) advance(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.events) > 0 && !sim.events[0].at.After(end) {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.do()
	}
	sim.now = end
}

func (sim *simulation) addViolation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%s: ", sim.now.Sub(time.Unix(1_700_000_000, 0)))+fmt.Sprintf(format, args...))
}

func (sim *simulation) sortedExecutors() []*fakeExecutor {
	ids := make([]string, 0, len(sim.execs))
	for id := range sim.execs {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	out := make([]*fakeExecutor, 0, len(ids))
	for _, id := range ids {
		out = append(out, sim.execs[id])
	}
	return out
}

func (sim *simulation) scan(prefix string) []table.Row {
	var out []table.Row
	for key, value := range sim.rows {
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

func (sim *simulation) specOf(t fleet.TaskID) *flow.StepSpec {
	spec := sim.specs[t.Job]
	return &spec.Steps[t.Step]
}

// submit submits a job to an owner. The returned reply is set once the owner replies.
func (sim *simulation) submit(o *owner, id string, spec flow.Spec) *cell.Reply {
	spec.Accepted = sim.now
	if sim.nextTeam != nil && spec.Team == "" {
		spec.Team = sim.nextTeam()
	}
	sim.specs[id] = spec
	if sim.submittedTo[spec.Queue] == nil {
		sim.submittedTo[spec.Queue] = make(map[string]bool)
	}
	sim.submittedTo[spec.Queue][id] = true
	out := &cell.Reply{Outcome: cell.Unknown}
	o.handle(submitWork, func() {
		o.core.Submit(sim.now, id, spec, func(r cell.Reply) { *out = r })
		o.decide()
	})
	return out
}

func singleStep(queue string, count int, estimate time.Duration) flow.Spec {
	return flow.Spec{Queue: queue, Text: "text", Steps: []flow.StepSpec{{
		Count: count, Need: place.Resources{CPUMillis: 2000, MemoryMB: 1000}, Estimate: estimate,
	}}}
}

func (sim *simulation) expectNoViolations() {
	sim.t.Helper()
	for _, v := range sim.violations {
		sim.t.Error(v)
	}
}

const (
	// Limits of the platform's store on the size of a row and on a transaction, whose values are in base64.
	maxRowBytes           = 65536
	maxTransactionBytes   = 1_000_000
	maxTransactionEntries = 100
)

// refusesContent reports whether the store refuses a commit for its content. Only what refusesRow names may be refused.
func (sim *simulation) refusesContent(b *cell.Batch) bool {
	// The owner's row is written under a condition besides.
	size, entries := 0, 2+len(b.Puts)+len(b.Deletes)
	for _, put := range b.Puts {
		size += base64.StdEncoding.EncodedLen(len(put.Value))
		if sim.refusesRow != nil && sim.refusesRow(put) {
			sim.refusedRows++
			return true
		}
		if len(put.Value) > maxRowBytes {
			sim.addViolation("row %s has %d bytes", put.Key, len(put.Value))
			return true
		}
	}
	if size > maxTransactionBytes || entries > maxTransactionEntries {
		sim.addViolation("a commit has %d bytes and %d entries", size, entries)
		return true
	}
	return false
}
