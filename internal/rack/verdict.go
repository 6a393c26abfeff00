package rack

import (
	"slices"

	"github.com/daisyrack/daisyrack/internal/work"
)

// Verdict is what a trial run came to.
type Verdict struct {
	RequestsSent           int64 `json:"requests_sent"`
	RequestsAnswered       int64 `json:"requests_answered"`
	RequestsRefused        int64 `json:"requests_refused"`
	RequestsFailed         int64 `json:"requests_failed"`
	RequestsUnknown        int64 `json:"requests_unknown"`
	RequestsWithoutOutcome int64 `json:"requests_without_outcome"`
	AnswersMixedUp         int64 `json:"answers_mixed_up"`
	TasksStarted           int   `json:"tasks_started"`
	DuplicateRuns          int   `json:"duplicate_runs"`
	OvercommittedInstances int   `json:"overcommitted_instances"`
}

// Passed tells whether nothing was broken: one outcome for each request, no
// task and no non-idempotent request twice, no instance overcommitted.
func (v Verdict) Passed() bool {
	outcomes := v.RequestsAnswered + v.RequestsRefused + v.RequestsFailed + v.RequestsUnknown
	return outcomes == v.RequestsSent && v.RequestsWithoutOutcome == 0 && v.AnswersMixedUp == 0 &&
		v.RequestsAnswered > 0 && v.TasksStarted > 0 && v.DuplicateRuns == 0 && v.OvercommittedInstances == 0
}

// Judge collects the load's counts and the stand-ins' own records.
func (r *Rack) Judge(l *Load) Verdict {
	v := Verdict{
		RequestsSent:           l.Sent.Load(),
		RequestsAnswered:       l.Answered.Load(),
		RequestsRefused:        l.Refused.Load(),
		RequestsFailed:         l.Failed.Load(),
		RequestsUnknown:        l.Unknown.Load(),
		RequestsWithoutOutcome: l.Broken.Load(),
		AnswersMixedUp:         l.Mixed.Load(),
	}
	var records []work.RunHistory
	for _, w := range r.Workers {
		records = append(records, w.History())
	}
	v.TasksStarted, v.DuplicateRuns = Overlaps(records)
	v.OvercommittedInstances = Overcommitted(records)
	for _, b := range r.Backends {
		for _, runs := range b.RunCounts().Requests {
			v.DuplicateRuns += max(0, runs-1)
		}
	}
	v.DuplicateRuns += r.repeatedKeys()
	return v
}

// repeatedKeys counts the runs of a key beyond the first, over all backend servers.
func (r *Rack) repeatedKeys() int {
	runs := make(map[string]int)
	for _, b := range r.Backends {
		for key, n := range b.RunCounts().Keys {
			runs[key] += n
		}
	}
	repeated := 0
	for _, n := range runs {
		repeated += max(0, n-1)
	}
	return repeated
}

// Overlaps counts the starts of tasks, and the runs that began while another
// run of the same task had not ended.
func Overlaps(records []work.RunHistory) (starts, overlaps int) {
	byTask := make(map[string][]work.Run)
	for _, r := range records {
		for _, run := range r.Runs {
			byTask[run.ID] = append(byTask[run.ID], run)
			starts++
		}
	}
	for _, runs := range byTask {
		slices.SortFunc(runs, func(a, b work.Run) int { return int(a.StartMs - b.StartMs) })
		for i := 1; i < len(runs); i++ {
			if before := runs[i-1]; before.EndMs == 0 || before.EndMs > runs[i].StartMs {
				overlaps++
			}
		}
	}
	return starts, overlaps
}

// Overcommitted counts the workers that at some moment held more than they have.
func Overcommitted(records []work.RunHistory) int {
	n := 0
	for _, r := range records {
		over := r.PeakGranted.CPUMillis > r.Capacity.CPUMillis ||
			r.PeakGranted.MemoryMB > r.Capacity.MemoryMB ||
			r.PeakGranted.Accelerators > r.Capacity.Accelerators
		if over {
			n++
		}
	}
	return n
}
