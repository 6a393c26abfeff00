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
	// taskUncertain is a task of an earlier term that may still run on a worker that this term has
	// not claimed yet.
	taskUncertain taskState = iota
	// taskPending is a task that is not in the queue yet.
	taskPending
	taskWaiting
	taskStarting
	taskRunning
	taskStopping
	taskDone
)

var taskStateNames = [...]string{"uncertain", "pending", "waiting", "starting", "running", "stopping", "done"}

// String returns the name of the state as shown on status pages.
func (s taskState) String() string {
	return taskStateNames[s]
}

// job is the state of a job and its tasks in this failure domain during the term.
type job struct {
	record *JobRecord
	tasks  map[int]*task

	// saved is set once the record is known to be in the table, maybeSaved once a save of the
	// record has ended with an unknown outcome.
	saved      bool
	maybeSaved bool

	// nextState is the state that the next save writes. It takes effect once it has been committed.
	nextState string
	reason    string

	waiters     []chan Reply
	unackedEnds []endedTask

	// pending holds the tasks that are waiting to enter the queue; queued is the number of tasks in
	// it.
	pending []*task
	queued  int

	// gangQueued is set while the single item of an all-at-once job is in the queue.
	gangQueued bool
	retryAt    time.Time
}

// endedTask is a task whose success has not been saved yet. Its worker keeps the report until it is
// acknowledged.
type endedTask struct {
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

	// used is the latest reported usage, checkpointMS the time of the latest checkpoint on the
	// worker's clock.
	used               place.Resources
	checkpointMS       int64
	throttledCPUMillis int64

	// failures is the number of failed attempts during this term, failedOn the same number by
	// worker.
	failures int
	failedOn map[string]int

	// dropped is set when the task must not be started again.
	dropped bool

	// maybeSent is set when a start whose reply is missing may have reached the worker.
	maybeSent bool

	// outdated is set when the task is running an older version of its job.
	outdated bool

	// preemptAfter is the earliest time for another preemption in favor of this task.
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

// activate creates the tasks of a saved job. They are uncertain if an earlier owner may have
// started them.
func (t *term) activate(jb *job, uncertain bool) {
	jb.saved = true
	if jb.record.Ended() {
		return
	}
	for _, i := range taskIndexes(jb.record.Job, t.owner.FailureDomains, t.owner.FailureDomain) {
		if !jb.record.IsDone(i) {
			t.newTask(jb, i, uncertain)
		}
	}
	t.enqueuePending(jb)
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

func (jb *job) placementKind() place.Kind {
	switch jb.record.Job.Kind {
	case config.KindService:
		return place.Service
	case config.KindGang:
		return place.Gang
	default:
		return place.Batch
	}
}

func (jb *job) cutOffPolicy() lease.CutOffPolicy {
	return lease.CutOffPolicy(jb.record.Job.OnCutOff)
}

func (jb *job) placementClass() place.Class {
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

func declaredResources(j config.Job) place.Resources {
	return place.Resources{
		CPUMillis:    j.Resources.CPUMillis,
		MemoryMB:     j.Resources.MemoryMB,
		Accelerators: j.Resources.Accelerators,
	}
}

// finishIfDone marks a batch or all-at-once job as finished when all of its tasks have succeeded.
func (t *term) finishIfDone(jb *job) {
	r := jb.record
	if r.Job.Kind == config.KindService || r.DoneCount() < r.Job.Tasks || jb.nextState != "" {
		return
	}
	jb.nextState = JobFinished
	t.markDirty(jb)
}

// failJob marks a job as failed. Its remaining tasks are stopped once the state has been saved.
func (t *term) failJob(jb *job, reason string) {
	if jb.nextState != "" {
		return
	}
	jb.nextState = JobFailed
	jb.reason = reason
	t.markDirty(jb)
}

// applyState puts a job state into effect after it has been saved.
func (t *term) applyState(jb *job, state string) {
	if state == "" || jb.record.State == state {
		return
	}
	jb.record.State = state
	jb.record.Reason = jb.reason
	jb.nextState = ""
	if !jb.record.Ended() {
		return
	}
	jb.record.EndedMS = t.nowMS()
	t.owner.counters.JobsEnded.Add(1)
	t.emit(event.Event{Kind: endEventKind(state), Job: jb.record.Job.Name, Detail: state + " " + jb.reason})
	t.dropTasks(jb)
}

func endEventKind(state string) string {
	if state == JobCancelled {
		return event.JobCancelled
	}
	return event.JobFinished
}

// dropTasks removes the tasks of an ended job after stopping the ones that are running.
func (t *term) dropTasks(jb *job) {
	t.dequeueGang(jb)
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
		t.dequeue(tk)
		t.deleteTask(tk)
	case taskPending, taskDone:
		t.deleteTask(tk)
	}
}

func (t *term) deleteTask(tk *task) {
	delete(t.uncertain, tk)
	delete(t.tasks, tk.id)
	delete(tk.job.tasks, tk.index)
}
