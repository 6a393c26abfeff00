package sched

import (
	"slices"
	"strings"

	"github.com/daisyrack/daisyrack/pkg/place"
	"github.com/daisyrack/daisyrack/pkg/queue"
)

// maxListedJobs limits the jobs listed in a Status; the totals include all jobs.
const maxListedJobs = 500

// Status is the state of the current term.
type Status struct {
	FailureDomain string               `json:"failure_domain"`
	Owner         string               `json:"owner"`
	Epoch         int64                `json:"epoch"`
	Revision      int64                `json:"config_revision"`
	Recovered     bool                 `json:"recovered"`
	RecoveryMS    int64                `json:"recovery_ms"`
	Jobs          []JobStatus          `json:"jobs"`
	JobsByState   map[string]int       `json:"jobs_by_state"`
	TasksByState  map[string]int       `json:"tasks_by_state"`
	Workers       []WorkerStatus       `json:"workers"`
	Queue         queue.Stats          `json:"queue"`
	Capacity      place.CapacityReport `json:"capacity"`
}

// JobStatus is the state of a job in one failure domain.
type JobStatus struct {
	Name    string         `json:"name"`
	Kind    string         `json:"kind"`
	User    string         `json:"user"`
	Class   string         `json:"class"`
	Version int64          `json:"version"`
	State   string         `json:"state"`
	Reason  string         `json:"reason,omitempty"`
	Done    int            `json:"done"`
	Tasks   map[string]int `json:"tasks"`
	Waiting []TaskStatus   `json:"waiting,omitempty"`
}

// TaskStatus is the state of a task that is not running, with its worker and the reason for
// waiting.
type TaskStatus struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Worker string `json:"worker,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// WorkerStatus is the state of a worker as seen by the owner.
type WorkerStatus struct {
	Name        string `json:"name"`
	Rack        string `json:"rack"`
	State       string `json:"state"`
	Tasks       int    `json:"tasks"`
	Quarantined bool   `json:"quarantined"`
}

// maxListedWaiting limits the waiting tasks listed for one job.
const maxListedWaiting = 8

func (t *term) publishStatus() {
	now := t.now()
	s := &Status{
		FailureDomain: t.owner.FailureDomain,
		Owner:         t.owner.Name,
		Epoch:         t.lease.Epoch,
		Revision:      t.configRevision,
		Recovered:     t.recovered,
		RecoveryMS:    t.owner.counters.RecoveryMS.Load(),
		JobsByState:   make(map[string]int),
		TasksByState:  make(map[string]int),
		Queue:         t.queue.Stats(),
		Capacity:      t.cell.Capacity(),
	}
	for _, jb := range t.jobs {
		s.JobsByState[jb.record.State]++
		if len(s.Jobs) < maxListedJobs {
			s.Jobs = append(s.Jobs, *t.jobStatus(jb))
		}
	}
	for _, tk := range t.tasks {
		s.TasksByState[tk.state.String()]++
	}
	for _, w := range t.workers {
		usable, probe := t.health.Usable(now, w.info.Name)
		s.Workers = append(s.Workers, WorkerStatus{
			Name:        w.info.Name,
			Rack:        w.info.Rack,
			State:       w.state(),
			Tasks:       len(w.tasks),
			Quarantined: !usable || probe,
		})
	}
	slices.SortFunc(s.Jobs, func(a, b JobStatus) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(s.Workers, func(a, b WorkerStatus) int { return strings.Compare(a.Name, b.Name) })
	t.owner.status.Store(s)
}

func (w *worker) state() string {
	switch {
	case w.gone:
		return stateGone
	case w.failedCalls >= maxFailedCalls:
		return "unreachable"
	case !w.claimed:
		return "unclaimed"
	case w.leaving:
		return stateLeaving
	case !w.recorded:
		return "unrecorded"
	case !w.clockConfirmed:
		return "unproven"
	default:
		return stateLive
	}
}

func (t *term) jobStatus(jb *job) *JobStatus {
	r := jb.record
	s := &JobStatus{
		Name:    r.Job.Name,
		Kind:    r.Job.Kind,
		User:    r.Job.Account(),
		Class:   r.Job.Class,
		Version: r.Version,
		State:   r.State,
		Reason:  jb.reason,
		Done:    r.DoneCount(),
		Tasks:   make(map[string]int),
	}
	for _, tk := range jb.tasks {
		s.Tasks[tk.state.String()]++
		if tk.state != taskRunning && tk.state != taskDone && len(s.Waiting) < maxListedWaiting {
			s.Waiting = append(s.Waiting, tk.status())
		}
	}
	if ok, reason := t.feasible(r.Job); !ok && !r.Ended() {
		s.State = JobImpossible
		s.Reason = reason
	}
	return s
}

func (tk *task) status() TaskStatus {
	s := TaskStatus{ID: tk.id, State: tk.state.String(), Reason: tk.reason}
	if tk.worker != nil {
		s.Worker = tk.worker.info.Name
	}
	return s
}
