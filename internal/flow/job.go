package flow

import (
	"maps"
	"slices"
	"time"

	"github.com/daisyrack/daisyrack/internal/fleet"
)

// State is the state of a job as reported to clients.
type State uint8

// States of a job. Completed, Failed and Cancelled are final.
const (
	Pending State = iota
	Running
	Completed
	Failed
	Cancelled
)

var stateNames = [...]string{"pending", "running", "completed", "failed", "cancelled"}

// String returns the name used in records, responses and logs.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[s]
}

// Final reports whether the state can no longer change.
func (s State) Final() bool {
	return s >= Completed
}

// ParseState is the inverse of String. It returns Pending and false for an unknown name.
func ParseState(name string) (State, bool) {
	for i, n := range stateNames {
		if n == name {
			return State(i), true
		}
	}
	return Pending, false
}

// Job is a job with the progress of its open occurrences, which have started and not ended.
type Job struct {
	ID    string
	Spec  Spec
	State State
	// MaxAttempts is the number of failed runs of one task that fails the job; 0 counts as 1, and
	// UnknownAttempts keeps the job from failing.
	MaxAttempts int
	// Started is set when an executor has confirmed that a task has started.
	Started bool
	// CrashesExecutors is set when the job failed because one of its tasks crashes its executors.
	CrashesExecutors bool
	// Ended is when the job reached a final state.
	Ended time.Time

	openOccurrences map[int]*occurrence
	// nextOccurrence is the first occurrence that has not been opened.
	nextOccurrence int
	// executors are the IDs of the executors on which tasks may have been started.
	executors []string
	// endedOccurrences counts the occurrences that have ended, in any order.
	endedOccurrences int
	// suspicious is set once a crash of an executor was recorded for one of the tasks.
	suspicious bool
}

type occurrence struct {
	steps          []stepProgress
	remainingSteps int
}

// stepProgress is the state of one step of an occurrence.
type stepProgress struct {
	tasks     []TaskProgress
	remaining int
}

// TaskProgress is the state of one task.
type TaskProgress struct {
	Done bool
	// FailedRuns are the numbers of the last failed runs, in ascending order. They are kept to count each run
	// once, since an executor can list an end more than once. EarlierFailedRuns is the number of those before.
	FailedRuns        []int64
	EarlierFailedRuns int64
	Checkpoint        string
	// Crashes are the crashes of executors that ran the task, in the order of the runs.
	Crashes []Crash
}

// UnknownAttempts is the value of MaxAttempts while the queue of the job is not configured.
const UnknownAttempts = -1

// NewJob returns a pending job without open occurrences.
func NewJob(id string, spec Spec, maxAttempts int) *Job {
	return &Job{ID: id, Spec: spec, MaxAttempts: maxAttempts, openOccurrences: make(map[int]*occurrence)}
}

// occurrenceCount returns the number of times that the steps run.
func (j *Job) occurrenceCount() int {
	return max(j.Spec.Occurrences, 1)
}

// Due returns when an occurrence may start.
func (j *Job) Due(occ int) time.Time {
	if j.Spec.Occurrences == 0 {
		return j.Spec.Accepted
	}
	return j.Spec.FirstDue.Add(fleet.Times(float64(occ), j.Spec.Period))
}

// NextDue returns when the next occurrence is due, and false if there is none.
func (j *Job) NextDue() (time.Time, bool) {
	if j.State.Final() || j.nextOccurrence >= j.occurrenceCount() {
		return time.Time{}, false
	}
	return j.Due(j.nextOccurrence), true
}

// OpenDue opens the occurrences that are due and returns their steps that may start.
func (j *Job) OpenDue(now time.Time) []fleet.StepID {
	var ready []fleet.StepID
	for {
		due, ok := j.NextDue()
		if !ok || j.Spec.Occurrences > 0 && due.After(now) || j.openIsFull() {
			return ready
		}
		ready = append(ready, j.openNext()...)
	}
}

// OpenStarted opens the occurrences up to that of a task which an earlier owner has started without having stored that
// it had opened them, and returns the steps that may start. opened is false if there is nothing to open, or if no owner
// can have started the task.
func (j *Job) OpenStarted(t fleet.TaskID) (ready []fleet.StepID, opened bool) {
	if j.State.Final() || t.Occurrence < j.nextOccurrence || t.Occurrence >= j.occurrenceCount() ||
		t.Step < 0 || t.Step >= len(j.Spec.Steps) || t.Index < 0 || t.Index >= j.Spec.Steps[t.Step].Count {
		return nil, false
	}
	tasks := 0
	for i := range j.Spec.Steps {
		tasks += j.Spec.Steps[i].Count
	}
	if (t.Occurrence-j.nextOccurrence)*tasks > maxUnstoredTasks {
		return nil, false
	}
	for j.nextOccurrence <= t.Occurrence {
		ready = append(ready, j.openNext()...)
	}
	return ready, true
}

// openNext opens the next occurrence and returns its steps that may start.
func (j *Job) openNext() []fleet.StepID {
	occ := j.nextOccurrence
	j.nextOccurrence++
	j.openOccurrences[occ] = j.newOccurrence()
	return j.readySteps(occ)
}

// openIsFull reports whether another occurrence has to wait until one of the open ones has ended.
func (j *Job) openIsFull() bool {
	size := 0
	for i := range j.Spec.Steps {
		size += stepRecordBytes + j.Spec.Steps[i].Count/8
	}
	n := len(j.openOccurrences)
	return n > 0 && (n >= maxOpenOccurrences || (n+1)*size > maxOpenBytes)
}

func (j *Job) newOccurrence() *occurrence {
	o := &occurrence{steps: make([]stepProgress, len(j.Spec.Steps)), remainingSteps: len(j.Spec.Steps)}
	for i := range o.steps {
		n := j.Spec.Steps[i].Count
		o.steps[i] = stepProgress{tasks: make([]TaskProgress, n), remaining: n}
	}
	return o
}

// readySteps returns the unfinished steps of an occurrence whose dependencies are done.
func (j *Job) readySteps(occ int) []fleet.StepID {
	var ready []fleet.StepID
	for i := range j.Spec.Steps {
		if j.openOccurrences[occ].steps[i].remaining > 0 && j.dependenciesDone(occ, i) {
			ready = append(ready, fleet.StepID{Job: j.ID, Occurrence: occ, Step: i})
		}
	}
	return ready
}

func (j *Job) dependenciesDone(occ, step int) bool {
	for _, dep := range j.Spec.Steps[step].DependsOn {
		if j.openOccurrences[occ].steps[dep].remaining > 0 {
			return false
		}
	}
	return true
}

// Ready reports whether a step is unfinished, its occurrence is open and its dependencies are done.
func (j *Job) Ready(s fleet.StepID) bool {
	o := j.openOccurrences[s.Occurrence]
	if o == nil || j.State.Final() || s.Step < 0 || s.Step >= len(o.steps) {
		return false
	}
	return o.steps[s.Step].remaining > 0 && j.dependenciesDone(s.Occurrence, s.Step)
}

// Task returns the state of a task, or nil if its occurrence is not open.
func (j *Job) Task(t fleet.TaskID) *TaskProgress {
	o := j.openOccurrences[t.Occurrence]
	if o == nil || t.Step < 0 || t.Step >= len(o.steps) {
		return nil
	}
	tasks := o.steps[t.Step].tasks
	if t.Index < 0 || t.Index >= len(tasks) {
		return nil
	}
	return &tasks[t.Index]
}

// UnfinishedTasks returns the indexes of the unfinished tasks of a step.
func (j *Job) UnfinishedTasks(s fleet.StepID) []int {
	o := j.openOccurrences[s.Occurrence]
	if o == nil {
		return nil
	}
	var unfinished []int
	for i := range o.steps[s.Step].tasks {
		if !o.steps[s.Step].tasks[i].Done {
			unfinished = append(unfinished, i)
		}
	}
	return unfinished
}

// OpenOccurrences returns the numbers of the open occurrences, in no particular order.
func (j *Job) OpenOccurrences() []int {
	return slices.Collect(maps.Keys(j.openOccurrences))
}

// AddExecutors records executors on which tasks of the job may be started from now on, and
// reports whether any of them is new. A later owner looks for runs of the job only on the
// recorded executors.
func (j *Job) AddExecutors(ids []string) bool {
	added := false
	for _, id := range ids {
		if !slices.Contains(j.executors, id) {
			j.executors = append(j.executors, id)
			added = true
		}
	}
	return added
}

// Executors returns the executors on which tasks of the job may have been started.
func (j *Job) Executors() []string {
	return j.executors
}

// Effect describes how the end of a run changed the job.
type Effect struct {
	// Changed is set when the progress has to be stored.
	Changed bool
	// StepDone is set when the run completed the last task of its step.
	StepDone bool
	// Ready are the steps that may start now.
	Ready []fleet.StepID
	// Final is set when the job has reached a final state.
	Final bool
	// Restart is set when the task has to be started again.
	Restart bool
}

// ApplyEnd updates the job for the end of a run. For a task that is not long-running, Done completes
// the task, and Failed counts as an attempt and fails the job after MaxAttempts of them. After any
// other end, and after any end of a long-running task, the task is started again, unless it crashes its
// executors.
func (j *Job) ApplyEnd(now time.Time, t fleet.TaskID, number int64, kind fleet.EndKind, checkpoint string) Effect {
	task := j.Task(t)
	if task == nil || task.Done || j.State.Final() {
		return Effect{}
	}
	step := &j.Spec.Steps[t.Step]
	changed := j.saveCheckpoint(t, checkpoint)
	switch {
	case kind == fleet.Done && !step.LongRunning:
		return j.completeTask(now, t)
	case kind == fleet.Failed && !step.LongRunning:
		return j.recordFailure(now, t, number)
	case j.FailIfCrashing(now, t):
		return Effect{Changed: true, Final: true}
	}
	return Effect{Changed: changed, Restart: true}
}

// saveCheckpoint stores the checkpoint for the next run; the members of a gang share it.
func (j *Job) saveCheckpoint(t fleet.TaskID, checkpoint string) bool {
	step := &j.Spec.Steps[t.Step]
	task := j.Task(t)
	if !step.SavesCheckpoints || checkpoint == "" || task.Checkpoint == checkpoint {
		return false
	}
	if !step.Gang {
		task.Checkpoint = checkpoint
		return true
	}
	tasks := j.openOccurrences[t.Occurrence].steps[t.Step].tasks
	for i := range tasks {
		tasks[i].Checkpoint = checkpoint
	}
	return true
}

func (j *Job) completeTask(now time.Time, t fleet.TaskID) Effect {
	o := j.openOccurrences[t.Occurrence]
	p := &o.steps[t.Step]
	if j.Spec.Steps[t.Step].Gang {
		for i := range p.tasks {
			p.tasks[i].Done = true
		}
		p.remaining = 0
	} else {
		p.tasks[t.Index].Done = true
		p.remaining--
	}
	e := Effect{Changed: true}
	if p.remaining > 0 {
		return e
	}
	e.StepDone = true
	o.remainingSteps--
	if o.remainingSteps > 0 {
		e.Ready = j.unblockedSteps(t)
		return e
	}
	delete(j.openOccurrences, t.Occurrence)
	j.endedOccurrences++
	if j.endedOccurrences == j.occurrenceCount() {
		j.finish(now, Completed)
		e.Final = true
	}
	return e
}

// unblockedSteps returns the steps that depend on the step of t and may start now.
func (j *Job) unblockedSteps(t fleet.TaskID) []fleet.StepID {
	var ready []fleet.StepID
	for _, s := range j.readySteps(t.Occurrence) {
		for _, dep := range j.Spec.Steps[s.Step].DependsOn {
			if dep == t.Step {
				ready = append(ready, s)
				break
			}
		}
	}
	return ready
}

// recordFailure counts a failed attempt. The members of a gang share the run number, so that a
// failed run of a gang counts as one attempt, which is recorded on the first task.
func (j *Job) recordFailure(now time.Time, t fleet.TaskID, number int64) Effect {
	task := j.Task(t)
	if j.Spec.Steps[t.Step].Gang {
		task = &j.openOccurrences[t.Occurrence].steps[t.Step].tasks[0]
	}
	if !task.addFailedRun(number) {
		return Effect{Restart: true}
	}
	if j.exhausted(task) {
		j.finish(now, Failed)
		return Effect{Changed: true, Final: true}
	}
	return Effect{Changed: true, Restart: true}
}

// addFailedRun adds a failed run and reports whether it was not counted yet. One that is older than all that are
// still known by number counts as known.
func (p *TaskProgress) addFailedRun(number int64) bool {
	i, known := slices.BinarySearch(p.FailedRuns, number)
	if known || i == 0 && p.EarlierFailedRuns > 0 {
		return false
	}
	p.FailedRuns = slices.Insert(p.FailedRuns, i, number)
	if n := len(p.FailedRuns) - maxKnownFailedRuns; n > 0 {
		p.FailedRuns = slices.Delete(p.FailedRuns, 0, n)
		p.EarlierFailedRuns += int64(n)
	}
	return true
}

// exhausted reports whether a task has failed too often.
func (j *Job) exhausted(t *TaskProgress) bool {
	return j.MaxAttempts != UnknownAttempts && int64(len(t.FailedRuns))+t.EarlierFailedRuns >= int64(max(j.MaxAttempts, 1))
}

// SetMaxAttempts changes MaxAttempts. It reports whether the job has failed because one of its tasks
// had failed too often while MaxAttempts was unknown.
func (j *Job) SetMaxAttempts(now time.Time, n int) bool {
	wasUnknown := j.MaxAttempts == UnknownAttempts
	j.MaxAttempts = n
	if !wasUnknown || j.State.Final() {
		return false
	}
	for _, o := range j.openOccurrences {
		for i := range o.steps {
			if slices.ContainsFunc(o.steps[i].tasks, func(t TaskProgress) bool { return !t.Done && j.exhausted(&t) }) {
				j.finish(now, Failed)
				return true
			}
		}
	}
	return false
}

// Cancel ends the job and returns false if it had ended before.
func (j *Job) Cancel(now time.Time) bool {
	if j.State.Final() {
		return false
	}
	j.finish(now, Cancelled)
	return true
}

func (j *Job) finish(now time.Time, s State) {
	j.State = s
	j.Ended = now
	clear(j.openOccurrences)
}
