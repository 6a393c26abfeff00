package sched

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/daisyrack/daisyrack/pkg/config"
	"github.com/daisyrack/daisyrack/pkg/event"
	"github.com/daisyrack/daisyrack/pkg/lease"
	"github.com/daisyrack/daisyrack/pkg/place"
	"github.com/daisyrack/daisyrack/pkg/queue"
)

type taskState uint8

const (
	// taskUncertain may run on a worker that has not been claimed yet.
	taskUncertain taskState = iota
	// taskPending is not in the queue yet.
	taskPending
	taskWaiting
	taskStarting
	taskRunning
	taskStopping
	taskDone
)

var taskStateNames = [...]string{"uncertain", "pending", "waiting", "starting", "running", "stopping", "done"}

// String returns the state's name.
func (s taskState) String() string {
	return taskStateNames[s]
}

// job is a job of the present term with its tasks in this failure domain.
type job struct {
	record *JobRecord
	tasks  map[int]*task

	// saved is set once the record is known to be in the table; maybeSaved
	// once a save of unknown outcome was tried.
	saved      bool
	maybeSaved bool

	// wanted is the state that the next save writes; it takes effect after.
	wanted string
	reason string

	answers []chan Reply
	ends    []ended

	// pending are the tasks that are not in the queue yet, queued counts the others.
	pending []*task
	queued  int

	// gangQueued is set while the item of an all-at-once job is in the queue.
	gangQueued bool
	retryAt    time.Time
}

// ended is a finished task that its worker keeps until the record is saved.
type ended struct {
	worker *worker
	id     string
}

// task is one task of a job in this failure domain.
type task struct {
	id      string
	job     *job
	index   int
	state   taskState
	attempt int64
	worker  *worker
	item    queue.Item
	need    place.Resources
	reason  string
	retryAt time.Time
	started time.Time

	// used is the newest usage report, checkpointMS the worker's time of the
	// newest checkpoint.
	used         place.Resources
	checkpointMS int64
	throttled    int64

	// failures counts the failed attempts seen by this term, failedOn by worker.
	failures int
	failedOn map[string]int

	// dropped is set when the task must not run again after it has stopped.
	dropped bool

	// maybeSent is set when a start may have reached the worker without an answer.
	maybeSent bool

	// outdated is set when the task runs with an older version of its job.
	outdated bool

	// preemptAfter is the time before which no further work is stopped for it.
	preemptAfter time.Time
}

func sameJob(a, b config.Job) bool {
	x, errX := json.Marshal(a)
	y, errY := json.Marshal(b)
	return errX == nil && errY == nil && bytes.Equal(x, y)
}

// newJob adds a job whose record has not been saved yet.
func (t *term) newJob(r *JobRecord) *job {
	jb := &job{record: r, tasks: make(map[int]*task)}
	t.jobs[r.Job.Name] = jb
	return jb
}

// activate creates the tasks of a saved job; uncertain says whether an earlier
// owner may have started them.
func (t *term) activate(jb *job, uncertain bool) {
	jb.saved = true
	if jb.record.Ended() {
		return
	}
	for _, i := range indexesIn(jb.record.Job, t.owner.FailureDomains, t.owner.FailureDomain) {
		if !jb.record.IsDone(i) {
			t.newTask(jb, i, uncertain)
		}
	}
	t.admitPending(jb)
}

func (t *term) newTask(jb *job, index int, uncertain bool) *task {
	tk := &task{id: taskID(jb.record, index), job: jb, index: index, state: taskPending}
	if uncertain {
		tk.state = taskUncertain
		tk.reason = "may still run on a worker that has not been claimed"
		t.uncertain[tk] = struct{}{}
	} else {
		jb.pending = append(jb.pending, tk)
	}
	jb.tasks[index] = tk
	t.tasks[tk.id] = tk
	return tk
}

func (jb *job) kind() place.Kind {
	switch jb.record.Job.Kind {
	case config.KindService:
		return place.Service
	case config.KindAllAtOnce:
		return place.Gang
	default:
		return place.Batch
	}
}

func (jb *job) cutOff() lease.CutOffPolicy {
	return lease.CutOffPolicy(jb.record.Job.OnCutOff)
}

func (jb *job) placeClass() place.Class {
	c, err := place.ParseClass(jb.record.Job.Class)
	if err != nil {
		return place.Normal
	}
	return c
}

func (jb *job) queueClass() queue.Class {
	c, err := queue.ParseClass(jb.record.Job.Class)
	if err != nil {
		return queue.Normal
	}
	return c
}

func declared(j config.Job) place.Resources {
	return place.Resources{
		CPUMillis:    j.Resources.CPUMillis,
		MemoryMB:     j.Resources.MemoryMB,
		Accelerators: j.Resources.Accelerators,
	}
}

// finishIfDone ends a batch or all-at-once job whose tasks have all succeeded.
func (t *term) finishIfDone(jb *job) {
	r := jb.record
	if r.Job.Kind == config.KindService || r.DoneCount() < r.Job.Tasks || jb.wanted != "" {
		return
	}
	jb.wanted = JobFinished
	t.markDirty(jb)
}

// fail ends a job after too many failures; its other tasks are stopped.
func (t *term) fail(jb *job, reason string) {
	if jb.wanted != "" {
		return
	}
	jb.wanted = JobFailed
	jb.reason = reason
	t.markDirty(jb)
}

// settle makes a state that has just been saved take effect.
func (t *term) settle(jb *job, state string) {
	if state == "" || jb.record.State == state {
		return
	}
	jb.record.State = state
	jb.record.Reason = jb.reason
	jb.wanted = ""
	if !jb.record.Ended() {
		return
	}
	jb.record.EndedMS = t.nowMS()
	t.owner.stats.JobsEnded.Add(1)
	t.emit(event.Event{Kind: endKind(state), Job: jb.record.Job.Name, Detail: state + " " + jb.reason})
	t.dropTasks(jb)
}

func endKind(state string) string {
	if state == JobCancelled {
		return event.JobCancelled
	}
	return event.JobFinished
}

// dropTasks removes the tasks of an ended job; running ones are stopped first.
func (t *term) dropTasks(jb *job) {
	t.dropGangItem(jb)
	jb.pending = nil
	for _, tk := range jb.tasks {
		t.dropTask(tk)
	}
}

func (t *term) dropTask(tk *task) {
	switch tk.state {
	case taskStarting, taskRunning, taskStopping, taskUncertain:
		tk.dropped = true
		t.stop(tk, tk.job.reason)
	case taskWaiting:
		t.unqueue(tk)
		t.forgetTask(tk)
	case taskPending, taskDone:
		t.forgetTask(tk)
	}
}

func (t *term) forgetTask(tk *task) {
	delete(t.uncertain, tk)
	delete(t.tasks, tk.id)
	delete(tk.job.tasks, tk.index)
}
