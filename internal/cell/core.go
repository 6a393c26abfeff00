package cell

import (
	"time"

	"github.com/apex/log"

	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/flow"
	"github.com/daisyrack/daisyrack/internal/ledger"
	"github.com/daisyrack/daisyrack/internal/pace"
	"github.com/daisyrack/daisyrack/pkg/place"
)

const (
	// clockDrift is the largest fraction by which an executor's clock may run slow.
	clockDrift = 0.02

	// leaseExpiryMargin is added to the end of a lease before its tasks are started elsewhere.
	leaseExpiryMargin = 150 * time.Millisecond

	// storeUnavailableAfter is how long the store may fail to respond before new jobs are rejected.
	// A slow store still responds within this time.
	storeUnavailableAfter = 2 * time.Second

	// startWindow is how long after the last confirmation of ownership tasks may be started. It is
	// shorter than the lease, so that a started task has time to run until the store is available
	// again.
	startWindow = 4500 * time.Millisecond

	// rejectRetryAfter is the retry delay sent to clients while the store is unavailable. Outages
	// usually last seconds.
	rejectRetryAfter = 2 * time.Second
)

// Core holds the state of the cell. Set the exported fields before the first call.
type Core struct {
	// Epoch is the fencing token of this owner; executors reject commands with a lower one.
	Epoch int64

	// Lease is how long executors may keep running after the last commit that confirmed ownership.
	Lease time.Duration

	// EntryValidity is how long after an executor wrote its entry its capacity is relied on for starts: it
	// may have shrunk since. 0 means for ever.
	EntryValidity time.Duration

	// CutOff reports whether the owner seems to be cut off with its failure domain, and when callers should come back; it may
	// be nil. What cannot be stored is rejected at once then.
	CutOff func() (retryAfter time.Duration, cutOff bool)
	// RemoteSlowdown is how many times as long tasks take away from their data or from the rest of their step; steps
	// wait for near places if it is above 1.
	RemoteSlowdown float64

	// TakeoverAt is when this instance became the owner.
	TakeoverAt time.Time

	// PriorLeases is when the leases of earlier owners have expired, by executor, as far as the former owner has told.
	PriorLeases map[string]time.Time

	Log log.Interface

	// Pace measures how far the loop that calls the core is behind.
	Pace pace.Gauge

	// holdsBack is set while the owner is far behind, so that it starts only urgent and long-running tasks
	// and rejects new jobs of queues whose jobs start too late; heldBackSince is since when.
	holdsBack     bool
	heldBackSince time.Time

	// LostOwnership is set when an executor or the store has seen a higher epoch.
	LostOwnership bool

	config    *fleet.Config
	jobs      map[string]*job
	executors map[string]*executor
	// sortedExecutors holds the same executors sorted by ID, which makes decisions deterministic.
	sortedExecutors []*executor
	// newExecutors are the IDs of executors that were added and not yet taken by TakeNewExecutors.
	newExecutors []string
	// unacked holds the executors with ended runs that are applied and not acknowledged.
	unacked map[string]*executor
	// roomy holds the executors that had roomyFor millicores free at roomyAt.
	roomy     []roomyExecutor
	roomyAt   time.Time
	roomyFor  int64
	allocator place.Cell

	// runnable holds the steps with pending tasks, in scheduling order.
	runnable []*stepState
	// pools holds the CPU of each service; peaks in it are as of peaksUpdatedAt.
	pools          map[string]*pool
	peaksUpdatedAt time.Time
	// rearRoundAt is when the present round of the steps behind the front ones began.
	rearRoundAt time.Time
	// freed holds the executors that may have free capacity since the last scheduling pass.
	freed []*executor
	// held holds the executors on which room is held.
	held map[*executor]bool
	// waitUpdatedAt is when updateWaiting last went through the runnable steps.
	waitUpdatedAt time.Time
	// waitReportedAt is when steps that wait although there is room were last looked for.
	waitReportedAt time.Time
	// scheduled holds the jobs with occurrences that are not due yet.
	scheduled map[string]*job

	// notRestored holds the jobs in the store that could not be restored.
	notRestored map[string]bool

	// blocked holds, by executor, the steps whose tasks an earlier owner may have started there.
	// They wait until the executor is claimed.
	blocked map[string][]*stepState
	// priorLeaseEnded holds the executors on which all leases of earlier owners have expired, among those that steps
	// have waited for.
	priorLeaseEnded map[string]bool

	// confirmedAt is when the last successful commit or read that confirmed ownership was sent.
	confirmedAt time.Time
	// confirmedWall is the same in wall-clock time, which also advances while the machine is
	// suspended.
	confirmedWall time.Time

	// lastTick is when Tick last ran, lastLateTick when it last ran late.
	lastTick, lastLateTick time.Time

	// lateTrialAt is when the last trial began of a task that may crash its executors later than at the start.
	lateTrialAt time.Time
	// secondPolls are the IDs of executors that may need a second poll and were not yet taken by TakeSecondPolls.
	secondPolls []string
	// presumedOn holds, by executor, the runs for which its crash is recorded but not certain.
	presumedOn map[string][]flow.RunID
	// crashedAt holds, by address, when executors crashed within crashWindow.
	crashedAt map[string][]time.Time
	// spontaneousCrashAt is when an executor last crashed on which no run had just been started.
	spontaneousCrashAt time.Time

	// failureShare is a moving average of the share of runs that fail.
	failureShare float64

	// silences holds the executors that fell silent within crashWindow.
	silences []silence

	// formerFollowers is set while an instance of a former version may take over, which reads the executors of a
	// job from its progress.
	formerFollowers bool

	// storeRefuses is set while the store refuses commits.
	storeRefuses bool

	// teams holds the configured teams by name.
	teams map[string]*team
	// sharesUpdatedAt is when the order of teams was last updated.
	sharesUpdatedAt time.Time
	// anyYields is set while a step of a team beyond its share waits.
	anyYields bool
	// claims is what steps within the shares of their teams wait for.
	claims map[contest]*claim
	// assumedOn holds, by executor, the jobs of teams whose tasks earlier owners may have running there, until it is
	// claimed; staleAssumptions are the jobs for which that has changed.
	assumedOn        map[string][]*job
	staleAssumptions map[*job]bool
	// largest is the most that any executor has had of each resource.
	largest place.Resources

	commands []Command
	// heldStarts are starts that wait until ownership is confirmed again or the executor has renewed its
	// entry.
	heldStarts    []Command
	writes        pendingWrites
	pendingJobs   map[string]int64
	allowedShares map[string]*allowedShare
	near          nearPlacement
	Stats         Counters
}

// Counters count decisions and events since the takeover.
type Counters struct {
	Accepted, Rejected, Completed, Failed, Cancelled int64
	Starts, Stops, Ends, Lost, Adopted, Resent       int64
	AdviceAsked, AdviceAllowed                       int64
	Polls, MissedPolls                               int64
	Crashes, RepeatedCrashes, Trials, GivenUp        int64
	Throttled, SpeculativeRuns, StalledRuns          int64
	StepsWaited                                      int64
	// NearWaits counts the waits for near places, NearGivenUp those that were given up. NearPlaces counts the tasks
	// that got a place by waiting, NearElsewhere those that started away from their rack.
	NearWaits, NearGivenUp, NearPlaces, NearElsewhere int64
	// Passes is the number of scheduling passes, StepsVisited that of the steps which they went through.
	Passes, StepsVisited int64
}

// Command is a call to an executor: exactly one of Start, Stop and Throttle is set.
type Command struct {
	Executor fleet.Executor
	Start    *fleet.Start
	Stop     *fleet.Stop
	Throttle *fleet.Throttle
	// Attempt counts the earlier attempts that got no response.
	Attempt int

	run *run
}

// job is a job together with the owner's record of its runs.
type job struct {
	*flow.Job
	priority int
	// team is the team that it belongs to; nil if it has none that is configured.
	team *team
	// assumption is what may run without the knowledge of this owner; nil if that is nothing.
	assumption *assumption
	// accepted is set once the job is stored.
	accepted bool
	// storedState is the final state once that is stored, Pending before.
	storedState flow.State
	// restored is set for jobs accepted by an earlier owner.
	restored bool
	// recordedOn holds the executors that the store names for the job. Tasks start only there, so
	// that a later owner knows where they may be running.
	recordedOn map[string]bool
	// inCommit is set once the job is part of a commit.
	inCommit bool
	// specPage and progressPages are the rows that hold its latest spec and progress entries, placesPages those
	// that hold its places.
	specPage                   *page
	progressPages, placesPages []*page
	// partPages are the rows of newer progress of which not all parts are stored, splitNumber is its number.
	partPages   []*page
	splitNumber int64
	// waitingParts is the number of parts of its progress that are in no commit yet.
	waitingParts int
	// placesWritten is the number of its executors that are stored or in a commit.
	placesWritten int
	// pageCount is the number of rows with an entry of the job, current or outdated.
	pageCount int
	// sloDeadline is the time by which the job has to end to meet its service-level objective.
	sloDeadline time.Time
	// homeDomain is the failure domain preferred for its tasks, so that a network partition between
	// domains affects fewer jobs.
	homeDomain string
	// startedRuns, failedRuns and lostRuns count its runs; lastStart is when the last one was
	// started.
	startedRuns, failedRuns, lostRuns int
	lastStart                         time.Time
	steps                             map[fleet.StepID]*stepState
	runs                              map[fleet.TaskID][]*run
	lastRunNumber                     map[fleet.TaskID]int64
	// overRate is set while the job yields to others, since its team had sent more jobs than it is entitled to.
	overRate bool
	// submitReplies and cancelReplies notify the callers that wait for the corresponding commit.
	submitReplies []func(Reply)
	cancelReplies []func(Reply)
}

// run is one attempt to run a task on an executor.
type run struct {
	job    *job
	step   *stepState
	task   fleet.TaskID
	number int64
	ex     *executor
	key    string
	start  *fleet.Start
	// incarnation is the only incarnation of the executor that can execute the run; 0 if it is unknown.
	incarnation int64
	// confirmedAt is when the executor first confirmed the run; zero while the outcome of the start
	// is not known.
	confirmedAt time.Time
	// confirmedClock is the reading of the executor's clock in that response.
	confirmedClock time.Duration
	// startedAt is when the start was decided.
	startedAt time.Time
	// unconfirmed is set while it is not known whether the run was started.
	unconfirmed bool
	// mayStartLate is set when a start timed out and may still be executed.
	mayStartLate bool
	stopping     bool
	// stoppedAt is when the executor confirmed a stop of the run, which can no longer be started then.
	stoppedAt time.Time
	// blameDeferred is set when the executor fell silent or crashed while the response was due that tells
	// whether the run was started.
	blameDeferred bool
	// outlivedStart is set once the executor has listed the run of a suspicious job so long after its start
	// that it is not the cause of a crash right after it.
	outlivedStart bool
	// speculated is set when a second run of the task was requested.
	speculated bool
	// account is the one in which the run counts for the share of its team; it may be nil.
	account        *account
	commandPending bool // a command for this run is queued or in flight
	// percent and metric are the values last listed by the executor, as in fleet.Run.
	percent    float64
	metric     float64
	cpuPercent int
	// throttledAt is when cpuPercent last changed.
	throttledAt time.Time
	// progressClock is the reading of the executor's clock when percent last increased, if progressKnown is set.
	progressClock time.Duration
	progressKnown bool
}

// Init prepares the core after a takeover; confirmed is when ownership was last confirmed.
func (c *Core) Init(config *fleet.Config, confirmed time.Time) {
	c.config = config
	c.confirmedAt = confirmed
	c.confirmedWall = confirmed.Round(0)
	c.jobs = make(map[string]*job)
	c.executors = make(map[string]*executor)
	c.pools = make(map[string]*pool)
	c.scheduled = make(map[string]*job)
	c.blocked = make(map[string][]*stepState)
	c.priorLeaseEnded = make(map[string]bool)
	c.notRestored = make(map[string]bool)
	c.pendingJobs = make(map[string]int64)
	c.allowedShares = make(map[string]*allowedShare)
	c.unacked = make(map[string]*executor)
	c.presumedOn = make(map[string][]flow.RunID)
	c.crashedAt = make(map[string][]time.Time)
	c.held = make(map[*executor]bool)
	c.assumedOn = make(map[string][]*job)
	c.staleAssumptions = make(map[*job]bool)
	c.claims = make(map[contest]*claim)
	c.setTeams(confirmed)
	c.writes.prepare()
}

// SetConfig applies a newer configuration.
func (c *Core) SetConfig(now time.Time, cfg *fleet.Config) {
	c.config = cfg
	c.setTeams(now)
	for service, p := range c.pools {
		p.servesUrgent = cfg.ServesUrgent(service)
	}
	for _, j := range c.jobs {
		q := cfg.Queue(j.Spec.Queue)
		if q == nil && j.sloDeadline.IsZero() {
			q = c.queueOf(j.Spec.Queue, j.Spec.AcceptedBy)
		}
		if q != nil && !j.State.Final() {
			c.updateQueue(now, j, q)
		}
	}
	c.sortRunnable()
	for _, ex := range c.sortedExecutors {
		c.updateCordon(ex)
	}
}

// updateQueue applies the settings of a job's queue. The configuration of a new owner can be older than
// the job, so that it learns these settings only now.
func (c *Core) updateQueue(now time.Time, j *job, q *fleet.Queue) {
	for _, st := range j.steps {
		if st.queue.Service != q.Service {
			st.fullScan = true
		}
		st.queue = q
		c.joinContest(st)
	}
	if j.sloDeadline.IsZero() {
		for _, r := range j.allRuns() {
			c.countRun(r, -1)
		}
		j.setQueue(q)
		for _, r := range j.allRuns() {
			c.countRun(r, 1)
		}
	}
	if j.SetMaxAttempts(now, q.MaxAttempts) {
		c.Stats.Failed++
		c.Log.WithField("job", j.ID).WithField("attempts", j.MaxAttempts).Info("job failed: task has failed too often")
		c.finishJob(now, j)
	}
}

// TakeCommands returns the commands decided since the last call and clears them.
func (c *Core) TakeCommands() []Command {
	out := c.commands
	c.commands = nil
	return out
}

// ConfirmOwnership records that a commit or read sent at the given time confirmed the ownership.
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

// mayStart reports whether ownership was confirmed recently enough to start tasks, by both the
// monotonic and the wall clock. While the store is unavailable this owner cannot learn of a
// successor, but a successor raises the epoch at the executors it reaches and waits for the leases
// of the others to expire.
func (c *Core) mayStart(now time.Time) bool {
	return now.Sub(c.confirmedAt) < startWindow && now.Round(0).Sub(c.confirmedWall) < startWindow
}

// trusted reports whether the executor would reject commands of this owner if there were a successor.
// An executor forgets the highest epoch when it restarts, so after a restart it could accept commands
// of a former owner. That is ruled out if ownership is confirmed, or if the current incarnation
// responded before the last confirmation and has not missed a poll since.
func (c *Core) trusted(now time.Time, ex *executor) bool {
	return c.OwnershipConfirmed(now) || ex.missedPolls == 0 && ex.incarnationSince.Before(c.confirmedAt)
}

// OwnershipConfirmed reports whether no other instance can own the cell: the last confirmation is
// more recent than the age after which other instances take over, by both the monotonic and the
// wall clock.
func (c *Core) OwnershipConfirmed(now time.Time) bool {
	return now.Sub(c.confirmedAt) < ledger.StaleAfter && now.Round(0).Sub(c.confirmedWall) < ledger.StaleAfter
}

// StoreUnavailable reports whether the store refuses commits or has not responded for so long that
// new jobs are rejected.
func (c *Core) StoreUnavailable(now time.Time) bool {
	return c.storeRefuses || now.Sub(c.confirmedAt) > storeUnavailableAfter
}

// Tick opens due occurrences, checks leases and timeouts, and drops expired jobs.
func (c *Core) Tick(now time.Time) {
	c.updateUrgentPeaks(now)
	c.recordTick(now)
	c.updateHoldBack(now)
	for id, j := range c.scheduled {
		if due, ok := j.NextDue(); !ok {
			delete(c.scheduled, id)
		} else if !due.After(now) {
			c.addSteps(now, j, j.OpenDue(now))
		}
	}
	for _, ex := range c.sortedExecutors {
		c.checkLease(now, ex)
	}
	c.unblockOverdue(now)
	c.endOverdueAssumptions(now)
	c.checkQuotas(now)
	c.updateShares(now)
	c.expireCrashes(now)
	c.updateWaiting(now)
	c.updateNearWaits(now)
	c.expireHolds(now)
	c.reportWaiting(now)
	if c.StoreUnavailable(now) {
		c.rejectUnstored(now)
	}
	c.writes.isolation.retry(now)
	c.writes.expire(c, now)
}
