package flow

import (
	"cmp"
	"slices"
	"time"

	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/pkg/wire"
)

const (
	// startCrashLimit is the number of executors that may crash right after starts of one task, with no
	// run between them that outlived its start, before the task is given up; two of the crashes have to be
	// certain, and one of these can have no other cause. Two are enough if that is the last one.
	startCrashLimit = 3

	// sharedCrashLimit is the same if each of the crashes can have another cause, presumedCrashLimit if they are
	// not certain either.
	sharedCrashLimit   = 4
	presumedCrashLimit = 5

	// laterCrashLimit is the number of crashes from which a task is given up that crashes its executors
	// later than at the start, if at least two of them can have no other cause.
	laterCrashLimit = 3

	// crashLimit is the number of crashes of any kind that one task may meet. Neighbours and racks that
	// lose power make innocent tasks meet four in a minute.
	crashLimit = 8

	// crashMemory is how long crashes of executors count against a long-running task, which meets
	// crashes with other causes in the course of time.
	crashMemory = 10 * time.Minute
)

// Crash is the crash of an executor that ran a task.
type Crash struct {
	// Run is the number of the run.
	Run int64
	// Executor is the ID of the executor, empty if the start of the run was never confirmed.
	Executor string
	// AtStart is set when the run had just been started.
	AtStart bool
	// Alone is set when no other run on the executor can have caused the crash.
	Alone bool
	// Confirmed is set when the crash is certain; otherwise the executor only fell silent.
	Confirmed bool
	At        time.Time
}

// RunID identifies a run of a task.
type RunID struct {
	Task   fleet.TaskID
	Number int64
}

// Suspect reports whether the task may be the cause of the crashes, so that its next run has to be
// kept apart from others that have just been started.
func (p *TaskProgress) Suspect() bool {
	return p != nil && (len(p.Crashes) > 1 || len(p.Crashes) == 1 && p.Crashes[0].AtStart)
}

// SuspectedLater reports whether the task is a suspect and one of the crashes came later than at the start.
func (p *TaskProgress) SuspectedLater() bool {
	return p.Suspect() && slices.ContainsFunc(p.Crashes, func(c Crash) bool { return !c.AtStart })
}

// crashesExecutors reports whether the task is given up because it crashes its executors.
func (p *TaskProgress) crashesExecutors() bool {
	n := len(p.Crashes)
	if n < 2 || n >= crashLimit {
		return n >= crashLimit
	}
	atStart, confirmedAtStart, certain, certainAtStart := 0, 0, 0, 0
	for _, c := range p.Crashes {
		if c.Alone && c.Confirmed {
			certain++
			if c.AtStart {
				certainAtStart++
			}
		}
		if c.AtStart {
			atStart++
			if c.Confirmed {
				confirmedAtStart++
			}
		}
	}
	last := p.Crashes[n-1]
	// Two crashes of one executor can be its own fault, and a task of which a run has ended by itself is likely to
	// have met them by chance.
	endedByItself := len(p.FailedRuns) > 0
	certainLast := last.AtStart && last.Alone && last.Confirmed && p.Crashes[n-2].Executor != last.Executor && !endedByItself
	return atStart >= presumedCrashLimit ||
		confirmedAtStart >= 2 && (atStart >= sharedCrashLimit || atStart >= startCrashLimit && certainAtStart > 0 || certainLast) ||
		n >= laterCrashLimit && certain >= 2
}

// Suspicious reports whether a crash of an executor was recorded for one of the tasks.
func (j *Job) Suspicious() bool {
	return j.suspicious
}

// RecordCrash records the crash of an executor and reports whether that changed anything.
func (j *Job) RecordCrash(t fleet.TaskID, crash Crash) bool {
	task := j.Task(t)
	if task == nil || task.Done {
		return false
	}
	if known := task.crashOf(crash.Run); known != nil {
		// Other causes may have become known since the crash was presumed.
		changed := known.Alone && !crash.Alone || known.Executor != "" && crash.Executor == ""
		known.Alone = known.Alone && crash.Alone
		if crash.Executor == "" {
			known.Executor, known.Confirmed = "", false
		}
		return crash.Confirmed && j.ConfirmCrash(t, crash.Run) || changed
	}
	if j.Spec.Steps[t.Step].LongRunning {
		task.Crashes = slices.DeleteFunc(task.Crashes, func(c Crash) bool { return crash.At.Sub(c.At) > crashMemory })
	}
	task.Crashes = append(task.Crashes, crash)
	slices.SortFunc(task.Crashes, func(a, b Crash) int { return cmp.Compare(a.Run, b.Run) })
	if n := len(task.Crashes); n > crashLimit {
		task.Crashes = slices.Delete(task.Crashes, 0, n-crashLimit) // more make no difference
	}
	j.suspicious = true
	return true
}

// crashOf returns the crash recorded for a run, or nil.
func (p *TaskProgress) crashOf(run int64) *Crash {
	for i := range p.Crashes {
		if p.Crashes[i].Run == run {
			return &p.Crashes[i]
		}
	}
	return nil
}

// ConfirmCrash records that the crash recorded for a run is certain, and reports whether that was not
// known yet.
func (j *Job) ConfirmCrash(t fleet.TaskID, run int64) bool {
	task := j.Task(t)
	if task == nil {
		return false
	}
	crash := task.crashOf(run)
	if crash == nil || crash.Confirmed || crash.Executor == "" {
		return false
	}
	crash.Confirmed = true
	return true
}

// UnconfirmedCrashes returns the runs of unfinished tasks for which a crash of their executor is recorded
// that is not certain, by executor.
func (j *Job) UnconfirmedCrashes() map[string][]RunID {
	out := make(map[string][]RunID)
	for occ, o := range j.openOccurrences {
		for step := range o.steps {
			for index := range o.steps[step].tasks {
				for _, c := range o.steps[step].tasks[index].Crashes {
					if !c.Confirmed && c.Executor != "" {
						t := fleet.TaskID{Job: j.ID, Occurrence: occ, Step: step, Index: index}
						out[c.Executor] = append(out[c.Executor], RunID{Task: t, Number: c.Run})
					}
				}
			}
		}
	}
	return out
}

// WithdrawCrash removes the crash recorded for a run, whose executor turned out to have survived it,
// and reports whether there was one.
func (j *Job) WithdrawCrash(t fleet.TaskID, run int64) bool {
	if !j.suspicious {
		return false
	}
	task := j.Task(t)
	if task == nil || len(task.Crashes) == 0 {
		return false
	}
	n := len(task.Crashes)
	task.Crashes = slices.DeleteFunc(task.Crashes, func(c Crash) bool { return c.Run == run })
	return len(task.Crashes) < n
}

// RecordSurvivedStart removes the crashes right after the start of earlier runs, since a later run of the
// task has outlived its start. With outlivedTrial, the run ended by itself or went on for longer than a
// trial, which clears the task of all earlier crashes. It reports whether there were any.
func (j *Job) RecordSurvivedStart(t fleet.TaskID, run int64, outlivedTrial bool) bool {
	if !j.suspicious {
		return false
	}
	task := j.Task(t)
	if task == nil || len(task.Crashes) == 0 {
		return false
	}
	n := len(task.Crashes)
	task.Crashes = slices.DeleteFunc(task.Crashes, func(c Crash) bool { return c.Run < run && (c.AtStart || outlivedTrial) })
	return len(task.Crashes) < n
}

// FailIfCrashing fails the job if the task is given up because it crashes its executors, and reports
// whether it did.
func (j *Job) FailIfCrashing(now time.Time, t fleet.TaskID) bool {
	if !j.suspicious || j.State.Final() {
		return false
	}
	task := j.Task(t)
	if task == nil || task.Done || !task.crashesExecutors() {
		return false
	}
	j.CrashesExecutors = true
	j.finish(now, Failed)
	return true
}

func (c Crash) record() *wire.CrashRecord {
	return &wire.CrashRecord{
		Run: c.Run, Executor: c.Executor, AtStart: c.AtStart, Alone: c.Alone, Confirmed: c.Confirmed, AtMs: c.At.UnixMilli(),
	}
}

func crashFromRecord(r *wire.CrashRecord) Crash {
	return Crash{
		Run: r.GetRun(), Executor: r.GetExecutor(), AtStart: r.GetAtStart(), Alone: r.GetAlone(), Confirmed: r.GetConfirmed(),
		At: UnixMilli(r.GetAtMs()),
	}
}
