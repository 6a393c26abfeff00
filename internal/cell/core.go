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
	leaseExpiryMargin = 150 * time.Millisecond

	// storeSilence is how long the store may be silent before new work is rejected; a slow
	// store answers within it.
	storeUnavailableAfter = 2 * time.Second

	// startLimit bounds the time after the last proof of ownership in which tasks are started. It is
	// below the lease, so that a task has time to run before the store is back.
	startWindow = 4500 * time.Millisecond

	// rejectPause is what callers are told to wait while the store can not be reached; outages
	// of seconds are the usual ones.
	rejectRetryAfter = 2 * time.Second
)

// Core holds the state of the cell. Set the exported fields before the first call.
type Core struct {
	// Epoch is the owner's number; executors reject lower ones.
	Epoch int64

	// Lease is how long executors run on after the last proven commit.
	Lease time.Duration

	// TakeoverAt is when this instance became the owner.
	TakeoverAt time.Time

	Log log.Interface

	// LostOwnership is set when an executor or the store knows a higher epoch.
	LostOwnership bool

	policy    *fleet.Policy
	jobs      map[string]*job
	executors map[string]*executor
	// ordered has the same executors by id, so that decisions can be repeated.
	sortedExecutors []*executor
	allocator       place.Cell

	// works are the steps with tasks to start, in the order in which they are served.
	runnable []*stepState
	// urgentPeak is the largest recent use by urgent work, in thousandths of a core, as of peakAt.
	urgentPeak    float64
	peakUpdatedAt time.Time
	// freed are the executors that may have room since the last decision.
	freed []*executor
	// timed are the jobs with occurrences that are not due yet.
	scheduled map[string]*job

	// locked has, by executor, the steps whose tasks an earlier owner may have started there; they
	// wait until the executor is claimed.
	blocked map[string][]*stepState

	// proven is the start of the last commit that took effect.
	confirmedAt time.Time
	// provenWall is the same by the time of day, which also counts while the machine is suspended.
	confirmedWall time.Time

	// lossy is set while executors that are alive leave calls without an answer.
	losingResponses bool
	// losses counts such calls, lossAt is when the last one was noted.
	lostResponses    int
	lastLostResponse time.Time
	// tickAt is when Tick ran last, lateAt when it last ran late.
	lastTick, lastLateTick time.Time

	// refuses is set while the store refuses commits.
	storeRefuses bool

	commands []Command
	// held are repeats of starts that wait for the next proof of ownership.
	heldStarts    []Command
	writes        pendingWrites
	pendingJobs   map[string]int64
	allowedShares map[string]*allowedShare
	grantedCPU    map[int]int64 // processor time granted by priority, in thousandths of a core
	Stats         Counters
}

// Counters count decisions since the start.
type Counters struct {
	Accepted, Rejected, Completed, Failed, Cancelled int64
	Starts, Stops, Ends, Lost, Adopted, Resent       int64
	AdviceAsked, AdviceAllowed                       int64
	Polls, MissedPolls                               int64
	Throttled, SpeculativeRuns, StalledRuns          int64
}

// Command is what the core wants an executor to be told.
type Command struct {
	Executor fleet.Executor
	Start    *fleet.Start
	Stop     *fleet.Stop
	Throttle *fleet.Pace
	// Attempt counts the copies of the order that got no answer.
	Attempt int

	run *run
}

// job is a job with what the owner knows of its runs.
type job struct {
	*flow.Job
	priority int
	// accepted is set once the acceptance is stored.
	accepted bool
	// shown is the final state that is stored, or Pending.
	storedState flow.State
	// restored is set for jobs that were accepted by an earlier owner.
	restored bool
	// stored are the executors that the store names for the job: only there its tasks are started,
	// so that a later owner knows where they can run.
	recordedOn map[string]bool
	// storing is set once the job is part of a commit.
	inCommit bool
	// specPage and progressPage are the rows of the store that hold it.
	specPage, progressPage *page
	// pages is the number of rows with an entry of the job, needed or not.
	pageCount int
	// objective is the time until which the job earns its full credit.
	sloDeadline time.Time
	// home is the failure domain where its tasks run if there is room: a cut between domains
	// then hurts fewer jobs.
	homeDomain string
	// started, failed and lost count its runs; lastStart is the time of the last start.
	startedRuns, failedRuns, lostRuns int
	lastStart                         time.Time
	steps                             map[fleet.Step]*stepState
	runs                              map[fleet.Task][]*run
	lastRunNumber                     map[fleet.Task]int64
	// submits and cancels wait for their commits.
	submitReplies []func(Reply)
	cancelReplies []func(Reply)
}

// run is one start of a task.
type run struct {
	job    *job
	step   *stepState
	task   fleet.Task
	number int64
	ex     *executor
	key    string
	start  *fleet.Start
	// known is when the executor's own word on the run arrived; zero while an order is open.
	confirmedAt time.Time
	// begun is when the start was ordered.
	startedAt time.Time
	// doubtful is set while it is not known whether the run began.
	unconfirmed bool
	// stray is set when a copy of its start got no answer and may still be carried out.
	mayStartLate bool
	stopping     bool
	// copied is set when a second run of the task was asked for.
	speculated     bool
	commandPending bool // a start or stop is on its way
	percent        float64
	gauge          float64
	cpuPercent     int
	// pacedAt is when the pace was last changed.
	throttledAt time.Time
	// moved is when percent last grew.
	progressAt time.Time
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

// Init prepares the core after the cell was taken over.
func (c *Core) Init(policy *fleet.Policy, confirmed time.Time) {
	c.policy = policy
	c.confirmedAt = confirmed
	c.confirmedWall = confirmed.Round(0)
	c.jobs = make(map[string]*job)
	c.executors = make(map[string]*executor)
	c.scheduled = make(map[string]*job)
	c.blocked = make(map[string][]*stepState)
	c.pendingJobs = make(map[string]int64)
	c.allowedShares = make(map[string]*allowedShare)
	c.grantedCPU = make(map[int]int64)
	c.writes.prepare()
}

// SetPolicy puts a newer configuration in force.
func (c *Core) SetPolicy(p *fleet.Policy) {
	c.policy = p
	for _, j := range c.jobs {
		if q := p.Queue(j.Spec.Queue); q != nil && !j.State.Final() {
			j.MaxAttempts = q.MaxAttempts
		}
	}
	for _, st := range c.runnable {
		st.setQueue(p.Queue(st.job.Spec.Queue))
	}
	for _, ex := range c.sortedExecutors {
		c.updateCordon(ex)
	}
}

// TakeCommands returns and forgets the orders that were decided since the last call.
func (c *Core) TakeCommands() []Command {
	out := c.commands
	c.commands = nil
	return out
}

// ConfirmOwnership notes a commit or read that proved the ownership when it was sent.
func (c *Core) ConfirmOwnership(sent time.Time) {
	if !sent.After(c.confirmedAt) {
		return
	}
	if sent.Sub(c.confirmedAt) > ledger.StaleAfter {
		for _, st := range c.runnable {
			st.fullScan = true
		}
	}
	c.confirmedAt = sent
	c.confirmedWall = sent.Round(0)
	c.commands = append(c.commands, c.heldStarts...)
	c.heldStarts = nil
}

// mayStart reports whether the ownership was proven lately enough for new starts, by both clocks
// of the instance. A successor is not known while the store is away, but it raises the epoch at
// the executors it reaches, and waits for the leases at the others.
func (c *Core) mayStart(now time.Time) bool {
	return now.Sub(c.confirmedAt) < startWindow && now.Round(0).Sub(c.confirmedWall) < startWindow
}

// trusted reports whether an executor can not have forgotten the epoch of a successor: this owner
// is confirmed, or the executor's present life has answered before the last proof and ever since.
// One that starts again knows no epoch.
func (c *Core) trusted(now time.Time, ex *executor) bool {
	return c.OwnershipConfirmed(now) || ex.missedPolls == 0 && ex.incarnationSince.Before(c.confirmedAt)
}

// OwnershipConfirmed reports whether no other instance can own the cell: the last proof is younger than
// the age at which others take over, by both clocks of the instance.
func (c *Core) OwnershipConfirmed(now time.Time) bool {
	return now.Sub(c.confirmedAt) < ledger.StaleAfter && now.Round(0).Sub(c.confirmedWall) < ledger.StaleAfter
}

// StoreUnavailable reports whether the store refuses commits, or has been silent for so long that work
// is rejected.
func (c *Core) StoreUnavailable(now time.Time) bool {
	return c.storeRefuses || now.Sub(c.confirmedAt) > storeUnavailableAfter
}

// Tick does what is due by time and decides on starts.
func (c *Core) Tick(now time.Time) {
	c.updateUrgentPeak(now)
	c.updateResponseLoss(now)
	for id, j := range c.scheduled {
		if due, ok := j.NextDue(); !ok {
			delete(c.scheduled, id)
		} else if !due.After(now) {
			c.addSteps(now, j, j.Open(now))
		}
	}
	for _, ex := range c.sortedExecutors {
		c.checkLease(now, ex)
	}
	c.unblockOverdue(now)
	if c.StoreUnavailable(now) {
		c.rejectUnstored(now)
	}
	c.writes.expire(c, now)
}
