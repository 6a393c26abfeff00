package flow

import (
	"slices"
	"time"

	"github.com/daisyrack/daisyrack/internal/fleet"
)

// State is what callers are told of a job.
type State uint8

// States of a job; the last three are final.
const (
	Pending State = iota
	Running
	Completed
	Failed
	Cancelled
)

var stateNames = [...]string{"pending", "running", "completed", "failed", "cancelled"}

// String returns the name used in records and logs.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[s]
}

// Final reports whether the state does not change any more.
func (s State) Final() bool {
	return s >= Completed
}

// ParseState is the inverse of String; unknown names are Pending and false.
func ParseState(name string) (State, bool) {
	for i, n := range stateNames {
		if n == name {
			return State(i), true
		}
	}
	return Pending, false
}

// Job is one job and the progress of its open occurrences.
type Job struct {
	ID    string
	Spec  Spec
	State State
	// MaxAttempts is how often a task may fail; 0 means once.
	MaxAttempts int
	// Started is set with the first start of a task.
	Started bool
	// Ended is when the job reached a final state.
	Ended time.Time

	open map[int]*occurrence
	// next is the first occurrence that has not been opened.
	next int
	// places are the executors on which tasks may have been started.
	places []string
	// ended is the number of occurrences that have ended, all of them below those still open.
	ended int
}

type occurrence struct {
	steps []progress
	left  int
}

// progress is the state of one step of an occurrence.
type progress struct {
	tasks []TaskProgress
	left  int
}

// TaskProgress is the state of one task.
type TaskProgress struct {
	Done bool
	// FailedRuns are the numbers of the runs that failed; an end can be read more than once.
	FailedRuns []int64
	Checkpoint string
}

// NewJob returns a job that has not begun.
func NewJob(id string, spec Spec, maxAttempts int) *Job {
	return &Job{ID: id, Spec: spec, MaxAttempts: maxAttempts, open: make(map[int]*occurrence)}
}

// occurrences returns how often the steps run.
func (j *Job) occurrences() int {
	return max(j.Spec.Occurrences, 1)
}

// Due returns when occurrence k may begin.
func (j *Job) Due(k int) time.Time {
	if j.Spec.Occurrences == 0 {
		return j.Spec.Accepted
	}
	return j.Spec.FirstDue.Add(time.Duration(k) * j.Spec.Period)
}

// NextDue returns when the next occurrence begins; false means that there is none.
func (j *Job) NextDue() (time.Time, bool) {
	if j.State.Final() || j.next >= j.occurrences() {
		return time.Time{}, false
	}
	return j.Due(j.next), true
}

// OpenDue begins the occurrences that are due and returns the steps that may start.
func (j *Job) OpenDue(now time.Time) []fleet.StepID {
	var ready []fleet.StepID
	for {
		due, ok := j.NextDue()
		if !ok || j.Spec.Occurrences > 0 && due.After(now) {
			return ready
		}
		k := j.next
		j.next++
		j.open[k] = j.newOccurrence()
		ready = append(ready, j.readySteps(k)...)
	}
}

func (j *Job) newOccurrence() *occurrence {
	o := &occurrence{steps: make([]progress, len(j.Spec.Steps)), left: len(j.Spec.Steps)}
	for i := range o.steps {
		n := j.Spec.Steps[i].Count
		o.steps[i] = progress{tasks: make([]TaskProgress, n), left: n}
	}
	return o
}

// readySteps returns the steps of occurrence k that are not done and whose predecessors are.
func (j *Job) readySteps(k int) []fleet.StepID {
	var ready []fleet.StepID
	for i := range j.Spec.Steps {
		if j.open[k].steps[i].left > 0 && j.mayStart(k, i) {
			ready = append(ready, fleet.StepID{Job: j.ID, Occurrence: k, Step: i})
		}
	}
	return ready
}

func (j *Job) mayStart(k, step int) bool {
	for _, before := range j.Spec.Steps[step].DependsOn {
		if j.open[k].steps[before].left > 0 {
			return false
		}
	}
	return true
}

// Ready reports whether the step of an open occurrence may run and is not done.
func (j *Job) Ready(s fleet.StepID) bool {
	o := j.open[s.Occurrence]
	if o == nil || j.State.Final() || s.Step < 0 || s.Step >= len(o.steps) {
		return false
	}
	return o.steps[s.Step].left > 0 && j.mayStart(s.Occurrence, s.Step)
}

// Task returns the state of a task; nil means that it is not open.
func (j *Job) Task(t fleet.TaskID) *TaskProgress {
	o := j.open[t.Occurrence]
	if o == nil || t.Step < 0 || t.Step >= len(o.steps) {
		return nil
	}
	tasks := o.steps[t.Step].tasks
	if t.Index < 0 || t.Index >= len(tasks) {
		return nil
	}
	return &tasks[t.Index]
}

// UnfinishedTasks returns the indexes of the tasks of a step that are not done.
func (j *Job) UnfinishedTasks(s fleet.StepID) []int {
	o := j.open[s.Occurrence]
	if o == nil {
		return nil
	}
	var undone []int
	for i := range o.steps[s.Step].tasks {
		if !o.steps[s.Step].tasks[i].Done {
			undone = append(undone, i)
		}
	}
	return undone
}

// AddExecutors notes executors on which tasks of the job may be started from now on, and reports
// whether any of them is new. A later owner looks for runs of the job only there.
func (j *Job) AddExecutors(executors []string) bool {
	added := false
	for _, id := range executors {
		if !slices.Contains(j.places, id) {
			j.places = append(j.places, id)
			added = true
		}
	}
	return added
}

// Executors returns the executors on which tasks of the job may have been started.
func (j *Job) Executors() []string {
	return j.places
}

// Effect is what an end changed.
type Effect struct {
	// Changed is set when the progress has to be written.
	Changed bool
	// StepDone is set when the last task of the step was done by this end.
	StepDone bool
	// Ready are the steps that may start now.
	Ready []fleet.StepID
	// Final is set when the job has reached a final state.
	Final bool
	// Restart is set when the task has to be started once more.
	Restart bool
}

// ApplyEnd applies the end of a run.
func (j *Job) ApplyEnd(now time.Time, t fleet.TaskID, number int64, kind fleet.EndKind, checkpoint string) Effect {
	task := j.Task(t)
	if task == nil || task.Done || j.State.Final() {
		return Effect{}
	}
	step := &j.Spec.Steps[t.Step]
	changed := j.saveCheckpoint(t, checkpoint)
	switch {
	case kind == fleet.Done && !step.LongRunning:
		return j.done(now, t)
	case kind == fleet.Failed && !step.LongRunning:
		return j.failed(now, t, number)
	}
	return Effect{Changed: changed, Restart: true}
}

// saveCheckpoint keeps the value for the next run; a gang has one value for all members.
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
	tasks := j.open[t.Occurrence].steps[t.Step].tasks
	for i := range tasks {
		tasks[i].Checkpoint = checkpoint
	}
	return true
}

func (j *Job) done(now time.Time, t fleet.TaskID) Effect {
	o := j.open[t.Occurrence]
	p := &o.steps[t.Step]
	if j.Spec.Steps[t.Step].Gang {
		for i := range p.tasks {
			p.tasks[i].Done = true
		}
		p.left = 0
	} else {
		p.tasks[t.Index].Done = true
		p.left--
	}
	e := Effect{Changed: true}
	if p.left > 0 {
		return e
	}
	e.StepDone = true
	o.left--
	if o.left > 0 {
		e.Ready = j.followers(t)
		return e
	}
	delete(j.open, t.Occurrence)
	j.ended++
	if j.ended == j.occurrences() {
		j.finish(now, Completed)
		e.Final = true
	}
	return e
}

// followers returns the steps that were waiting for the step of t and may start now.
func (j *Job) followers(t fleet.TaskID) []fleet.StepID {
	var ready []fleet.StepID
	for _, s := range j.readySteps(t.Occurrence) {
		for _, before := range j.Spec.Steps[s.Step].DependsOn {
			if before == t.Step {
				ready = append(ready, s)
				break
			}
		}
	}
	return ready
}

// failed counts an attempt; the attempts of a gang are counted once for all members.
func (j *Job) failed(now time.Time, t fleet.TaskID, number int64) Effect {
	task := j.Task(t)
	if j.Spec.Steps[t.Step].Gang {
		task = &j.open[t.Occurrence].steps[t.Step].tasks[0]
	}
	if slices.Contains(task.FailedRuns, number) {
		return Effect{Restart: true}
	}
	task.FailedRuns = append(task.FailedRuns, number)
	if len(task.FailedRuns) >= max(j.MaxAttempts, 1) {
		j.finish(now, Failed)
		return Effect{Changed: true, Final: true}
	}
	return Effect{Changed: true, Restart: true}
}

// Cancel ends the job; false means that it had ended before.
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
	clear(j.open)
}
