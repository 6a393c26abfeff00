package cell

import (
	"time"

	"github.com/apex/log"

	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/flow"
	"github.com/daisyrack/daisyrack/internal/ledger"
	"github.com/daisyrack/daisyrack/pkg/place"
)

const (
	// clockDrift is how much slower an executor's clock may run.
	clockDrift = 0.02

	// lapseMargin is added to the end of a lease before its tasks start elsewhere.
	lapseMargin = 150 * time.Millisecond

	// storeSilence is how long the store may be silent before new work is rejected; a slow
	// store answers within it.
	storeSilence = 2 * time.Second

	// startLimit bounds the time after the last proof of ownership in which tasks are started. It is
	// below the lease, so that a task has time to run before the store is back.
	startLimit = 4500 * time.Millisecond

	// rejectPause is what callers are told to wait while the store can not be reached; outages
	// of seconds are the usual ones.
	rejectPause = 2 * time.Second
)

// Core holds the state of the cell. Set the exported fields before the first call.
type Core struct {
	// Epoch is the owner's number; executors reject lower ones.
	Epoch int64

	// Lease is how long executors run on after the last proven commit.
	Lease time.Duration

	// Taken is when this instance became the owner.
	Taken time.Time

	Log log.Interface

	// Deposed is set when an executor or the store knows a higher epoch.
	Deposed bool

	policy *fleet.Config
	jobs   map[string]*job
	execs  map[string]*executor
	// ordered has the same executors by id, so that decisions can be repeated.
	ordered []*executor
	room    place.Cell

	// works are the steps with tasks to start, in the order in which they are served.
	works []*work
	// urgentPeak is the largest recent use by urgent work, in thousandths of a core, as of peakAt.
	urgentPeak float64
	peakAt     time.Time
	// freed are the executors that may have room since the last decision.
	freed []*executor
	// timed are the jobs with occurrences that are not due yet.
	timed map[string]*job

	// locked has, by executor, the steps whose tasks an earlier owner may have started there; they
	// wait until the executor is claimed.
	locked map[string][]*work

	// proven is the start of the last commit that took effect.
	proven time.Time
	// provenWall is the same by the time of day, which also counts while the machine is suspended.
	provenWall time.Time

	// lossy is set while executors that are alive leave calls without an answer.
	lossy bool
	// losses counts such calls, lossAt is when the last one was noted.
	losses int
	lossAt time.Time
	// tickAt is when Tick ran last, lateAt when it last ran late.
	tickAt, lateAt time.Time

	// refuses is set while the store refuses commits.
	refuses bool

	orders []Order
	// held are repeats of starts that wait for the next proof of ownership.
	held    []Order
	keep    keeping
	waiting map[string]int64
	shares  map[string]*goodShare
	busy    map[int]int64 // processor time granted by priority, in thousandths of a core
	Count   Counters
}

// Counters count decisions since the start.
type Counters struct {
	Accepted, Rejected, Completed, Failed, Cancelled int64
	Starts, Stops, Ends, Lost, Adopted, Resent       int64
	AdviceAsked, AdviceGood                          int64
	Looks, Silences                                  int64
	Paced, Copies, Stalls                            int64
}

// Order is what the core wants an executor to be told.
type Order struct {
	Executor fleet.Executor
	Start    *fleet.Start
	Stop     *fleet.Stop
	Pace     *fleet.Throttle
	// Try counts the copies of the order that got no answer.
	Try int

	run *run
}

// job is a job with what the owner knows of its runs.
type job struct {
	*flow.Job
	priority int
	// accepted is set once the acceptance is stored.
	accepted bool
	// shown is the final state that is stored, or Pending.
	shown flow.State
	// restored is set for jobs that were accepted by an earlier owner.
	restored bool
	// stored are the executors that the store names for the job: only there its tasks are started,
	// so that a later owner knows where they can run.
	stored map[string]bool
	// storing is set once the job is part of a commit.
	storing bool
	// specPage and progressPage are the rows of the store that hold it.
	specPage, progressPage *page
	// pages is the number of rows with an entry of the job, needed or not.
	pages int
	// objective is the time until which the job earns its full credit.
	objective time.Time
	// home is the failure domain where its tasks run if there is room: a cut between domains
	// then hurts fewer jobs.
	home string
	// started, failed and lost count its runs; lastStart is the time of the last start.
	started, failed, lost int
	lastStart             time.Time
	works                 map[fleet.StepID]*work
	runs                  map[fleet.TaskID][]*run
	nextRun               map[fleet.TaskID]int64
	// submits and cancels wait for their commits.
	submits []func(Reply)
	cancels []func(Reply)
}

// run is one start of a task.
type run struct {
	job    *job
	work   *work
	task   fleet.TaskID
	number int64
	ex     *executor
	key    string
	start  *fleet.Start
	// known is when the executor's own word on the run arrived; zero while an order is open.
	known time.Time
	// begun is when the start was ordered.
	begun time.Time
	// doubtful is set while it is not known whether the run began.
	doubtful bool
	// stray is set when a copy of its start got no answer and may still be carried out.
	stray    bool
	stopping bool
	// copied is set when a second run of the task was asked for.
	copied  bool
	ordered bool // a start or stop is on its way
	percent float64
	gauge   float64
	pace    int
	// pacedAt is when the pace was last changed.
	pacedAt time.Time
	// moved is when percent last grew.
	moved time.Time
}

// Reply is the answer to a caller's request.
type Reply struct {
	Outcome    Outcome
	State      flow.State
	Reason     string
	RetryAfter time.Duration
}

// Outcome says what became of a request.
type Outcome uint8

// Outcomes of callers' requests.
const (
	// Accepted means that the job or the cancellation is stored.
	Accepted Outcome = iota
	// Rejected means that the job was not accepted and never runs.
	Rejected
	// Unknown means that the outcome can not be told.
	Unknown
	// Found comes with the state of the job.
	Found
	// Absent means that there is no such job.
	Absent
	// NotOwner means that another instance owns the cell.
	NotOwner
)

var outcomeNames = [...]string{"accepted", "rejected", "unknown", "found", "absent", "not_owner"}

// String returns the name used between instances and in logs.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return "invalid"
	}
	return outcomeNames[o]
}

// ParseOutcome is the inverse of String; other names are Unknown.
func ParseOutcome(name string) Outcome {
	for i, n := range outcomeNames {
		if n == name {
			return Outcome(i)
		}
	}
	return Unknown
}

// Begin prepares the core after the cell was taken over.
func (c *Core) Begin(policy *fleet.Config, proven time.Time) {
	c.policy = policy
	c.proven = proven
	c.provenWall = proven.Round(0)
	c.jobs = make(map[string]*job)
	c.execs = make(map[string]*executor)
	c.timed = make(map[string]*job)
	c.locked = make(map[string][]*work)
	c.waiting = make(map[string]int64)
	c.shares = make(map[string]*goodShare)
	c.busy = make(map[int]int64)
	c.keep.prepare()
}

// SetPolicy puts a newer configuration in force.
func (c *Core) SetPolicy(p *fleet.Config) {
	c.policy = p
	for _, j := range c.jobs {
		if q := p.Queue(j.Spec.Queue); q != nil && !j.State.Final() {
			j.MaxAttempts = q.MaxAttempts
		}
	}
	for _, w := range c.works {
		w.setQueue(p.Queue(w.job.Spec.Queue))
	}
	for _, ex := range c.ordered {
		c.cordon(ex)
	}
}

// Orders returns and forgets the orders that were decided since the last call.
func (c *Core) Orders() []Order {
	out := c.orders
	c.orders = nil
	return out
}

// Proven notes a commit or read that proved the ownership when it was sent.
func (c *Core) Proven(sent time.Time) {
	if !sent.After(c.proven) {
		return
	}
	if sent.Sub(c.proven) > ledger.StaleAfter {
		for _, w := range c.works {
			w.untried = true
		}
	}
	c.proven = sent
	c.provenWall = sent.Round(0)
	c.orders = append(c.orders, c.held...)
	c.held = nil
}

// mayStart reports whether the ownership was proven lately enough for new starts, by both clocks
// of the instance. A successor is not known while the store is away, but it raises the epoch at
// the executors it reaches, and waits for the leases at the others.
func (c *Core) mayStart(now time.Time) bool {
	return now.Sub(c.proven) < startLimit && now.Round(0).Sub(c.provenWall) < startLimit
}

// trusted reports whether an executor can not have forgotten the epoch of a successor: this owner
// is confirmed, or the executor's present life has answered before the last proof and ever since.
// One that starts again knows no epoch.
func (c *Core) trusted(now time.Time, ex *executor) bool {
	return c.Confirmed(now) || ex.misses == 0 && ex.lifeAt.Before(c.proven)
}

// Confirmed reports whether no other instance can own the cell: the last proof is younger than
// the age at which others take over, by both clocks of the instance.
func (c *Core) Confirmed(now time.Time) bool {
	return now.Sub(c.proven) < ledger.StaleAfter && now.Round(0).Sub(c.provenWall) < ledger.StaleAfter
}

// StoreAway reports whether the store refuses commits, or has been silent for so long that work
// is rejected.
func (c *Core) StoreAway(now time.Time) bool {
	return c.refuses || now.Sub(c.proven) > storeSilence
}

// Tick does what is due by time and decides on starts.
func (c *Core) Tick(now time.Time) {
	c.notePeak(now)
	c.fadeLosses(now)
	for id, j := range c.timed {
		if due, ok := j.NextDue(); !ok {
			delete(c.timed, id)
		} else if !due.After(now) {
			c.addSteps(now, j, j.OpenDue(now))
		}
	}
	for _, ex := range c.ordered {
		c.checkLease(now, ex)
	}
	c.unlockInTime(now)
	if c.StoreAway(now) {
		c.rejectFresh(now)
	}
	c.keep.expire(c, now)
}
