package rack

import (
	"slices"

	"github.com/daisyrack/daisyrack/internal/work"
)

// Verdict is the result of a load run, printed as JSON.
type Verdict struct {
	RequestsSent           int64 `json:"requests_sent"`
	RequestsAnswered       int64 `json:"requests_answered"`
	RequestsRefused        int64 `json:"requests_refused"`
	RequestsFailed         int64 `json:"requests_failed"`
	RequestsUnknown        int64 `json:"requests_unknown"`
	RequestsWithoutOutcome int64 `json:"requests_without_outcome"`
	MismatchedResponses    int64 `json:"answers_mixed_up"`
	TasksStarted           int   `json:"tasks_started"`
	DuplicateRuns          int   `json:"duplicate_runs"`
	OvercommittedInstances int   `json:"overcommitted_instances"`
}

// Passed reports whether the run kept all guarantees: each request got exactly
// one outcome and its own response, no task had overlapping runs, no request ran
// twice, and no worker was overcommitted. A run without answered requests or started tasks fails,
// since it shows nothing.
func (v Verdict) Passed() bool {
	outcomes := v.RequestsAnswered + v.RequestsRefused + v.RequestsFailed + v.RequestsUnknown
	return outcomes == v.RequestsSent && v.RequestsWithoutOutcome == 0 && v.MismatchedResponses == 0 &&
		v.RequestsAnswered > 0 && v.TasksStarted > 0 && v.DuplicateRuns == 0 && v.OvercommittedInstances == 0
}

// Evaluate builds the verdict from the load generator's counters and from the
// runs that the worker and backend stand-ins recorded.
func (c *Cluster) Evaluate(l *LoadGenerator) Verdict {
	v := Verdict{
		RequestsSent:           l.Sent.Load(),
		RequestsAnswered:       l.Answered.Load(),
		RequestsRefused:        l.Refused.Load(),
		RequestsFailed:         l.Failed.Load(),
		RequestsUnknown:        l.Unknown.Load(),
		RequestsWithoutOutcome: l.WithoutOutcome.Load(),
		MismatchedResponses:    l.MismatchedResponses.Load(),
	}
	var records []work.RunHistory
	for _, w := range c.Workers {
		records = append(records, w.History())
	}
	v.TasksStarted, v.DuplicateRuns = CountOverlappingRuns(records)
	v.OvercommittedInstances = CountOvercommitted(records)
	for _, b := range c.Backends {
		for _, runs := range b.RunCounts().Requests {
			v.DuplicateRuns += max(0, runs-1)
		}
	}
	v.DuplicateRuns += c.countRepeatedKeys()
	return v
}

// countRepeatedKeys counts the runs of idempotency keys beyond the first of each
// key, over all backend servers.
func (c *Cluster) countRepeatedKeys() int {
	runs := make(map[string]int)
	for _, b := range c.Backends {
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

// CountOverlappingRuns counts the starts of tasks and those runs that began
// before the previous run of the same task had ended.
func CountOverlappingRuns(records []work.RunHistory) (starts, overlaps int) {
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
			if previous := runs[i-1]; previous.EndMs == 0 || previous.EndMs > runs[i].StartMs {
				overlaps++
			}
		}
	}
	return starts, overlaps
}

// CountOvercommitted counts the workers whose peak allocation exceeded their
// capacity in any resource.
func CountOvercommitted(records []work.RunHistory) int {
	n := 0
	for _, r := range records {
		overcommitted := r.PeakGranted.CPUMillis > r.Capacity.CPUMillis ||
			r.PeakGranted.MemoryMB > r.Capacity.MemoryMB ||
			r.PeakGranted.Accelerators > r.Capacity.Accelerators
		if overcommitted {
			n++
		}
	}
	return n
}
