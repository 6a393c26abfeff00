package sched

import (
	"time"

	"github.com/daisyrack/daisyrack/internal/agent"
	"github.com/daisyrack/daisyrack/pkg/config"
	"github.com/daisyrack/daisyrack/pkg/place"
	"github.com/daisyrack/daisyrack/pkg/queue"
	"github.com/daisyrack/daisyrack/pkg/table"
)

const (
	// slowInterval is the interval of reconciliation and of status pages.
	slowInterval = time.Second

	// usageInterval is the interval of saves of the learned sizes.
	usageInterval = time.Minute

	usageKind = "usage"
)

// followConfig brings the jobs in step with the documents in force.
func (t *term) followConfig() {
	snapshot := t.owner.Config.Current()
	if !t.owner.Config.Ready() {
		return
	}
	if capacity := t.capacity(); snapshot.Revision != t.revision || capacity != t.queue.Capacity {
		t.revision = snapshot.Revision
		t.queue.Capacity = capacity
		t.queue.Reconfigure(jobLimits(snapshot, capacity))
	}
	for name, j := range snapshot.Jobs {
		version := snapshot.Entries["job/"+name].Version
		t.followDocument(j, version)
	}
	for name, jb := range t.jobs {
		if _, wanted := snapshot.Jobs[name]; jb.record.FromDocument && !wanted {
			t.withdraw(jb, "its document was removed")
		}
	}
}

func (t *term) followDocument(j config.Job, version int64) {
	here := len(indexesIn(j, t.owner.FailureDomains, t.owner.FailureDomain)) > 0
	jb, known := t.jobs[j.Name]
	switch {
	case !known && here:
		t.addDocument(j, version)
	case !known || !jb.saved || jb.record.Version >= version:
		if known && jb.record.Job.Kind == config.KindService && jb.saved {
			t.rollOutdated(jb)
		}
	case !here:
		t.withdraw(jb, "its failure domains changed")
	case jb.record.Ended():
		t.replaceEnded(jb, j, version)
	case j.Kind == config.KindService && jb.record.Job.Kind == config.KindService:
		t.updateService(jb, j, version)
	default:
		t.withdraw(jb, "a newer version was published")
	}
}

func (t *term) addDocument(j config.Job, version int64) {
	r := &JobRecord{
		Job:          j,
		Version:      version,
		State:        JobAccepted,
		FromDocument: true,
		AcceptedMS:   t.nowMS(),
	}
	t.markDirty(t.newJob(r))
}

// withdraw cancels a job whose document has gone or changed its kind.
func (t *term) withdraw(jb *job, reason string) {
	if !jb.saved || jb.record.Ended() || jb.wanted != "" {
		return
	}
	jb.wanted = JobCancelled
	jb.reason = reason
	t.markDirty(jb)
}

// replaceEnded starts the new version of a document once the old tasks have stopped.
func (t *term) replaceEnded(jb *job, j config.Job, version int64) {
	if len(jb.tasks) > 0 && !allDone(jb) {
		return
	}
	for _, tk := range jb.tasks {
		t.forgetTask(tk)
	}
	t.addDocument(j, version)
}

func allDone(jb *job) bool {
	for _, tk := range jb.tasks {
		if tk.state != taskDone {
			return false
		}
	}
	return true
}

// updateService takes up a new version: replicas are added or dropped, and the
// ones that run with another description are restarted one at a time.
func (t *term) updateService(jb *job, j config.Job, version int64) {
	restart := changesTasks(jb.record.Job, j)
	jb.record.Job = j
	jb.record.Version = version
	t.markDirty(jb)
	wanted := make(map[int]bool)
	for _, i := range indexesIn(j, t.owner.FailureDomains, t.owner.FailureDomain) {
		wanted[i] = true
		if jb.tasks[i] == nil {
			t.newTask(jb, i, false)
		}
	}
	for i, tk := range jb.tasks {
		if !wanted[i] {
			t.dropTask(tk)
			continue
		}
		tk.outdated = tk.outdated || restart
	}
	t.admitPending(jb)
}

// changesTasks tells whether running tasks must be restarted for a new version.
func changesTasks(a, b config.Job) bool {
	a.Tasks, b.Tasks = 0, 0
	a.FailureDomains, b.FailureDomains = nil, nil
	a.Class, b.Class = "", ""
	return !sameJob(a, b)
}

// rollOutdated restarts one outdated task when all the others run.
func (t *term) rollOutdated(jb *job) {
	var next *task
	for _, tk := range jb.tasks {
		if tk.state != taskRunning {
			return
		}
		if tk.outdated && next == nil {
			next = tk
		}
	}
	if next != nil {
		t.stop(next, "restarted with a new version")
	}
}

// possible tells whether a job could ever run here; while the capacity of a
// worker is not known the answer is yes.
func (t *term) possible(j config.Job) (bool, string) {
	known := 0
	for _, w := range t.workers {
		if w.gone {
			continue
		}
		if w.capacity == (place.Resources{}) {
			return true, ""
		}
		known++
	}
	if !t.recovered || known == 0 {
		return true, ""
	}
	tasks := 1
	if j.Kind == config.KindAllAtOnce {
		tasks = j.Tasks
	}
	ok, reason := t.cell.Feasible(declared(j), tasks)
	return ok, reason.String()
}

// jobLimits returns the limits of the queue of tasks. Its bounds are above any
// window of queued tasks, since an accepted job is never dropped; overBound
// refuses new jobs.
func jobLimits(s *config.Snapshot, capacity int64) queue.Limits {
	l := s.Limits[config.LimitsJobs].WithDefaults()
	l.Name = config.LimitsJobs
	limits := QueueLimits(l, queuedTasks)
	limits.Class[queue.Urgent].Headroom = capacity * int64(l.Headroom()) / 100
	return limits
}

// capacity returns the processor time of all usable workers, in thousandths of a core.
func (t *term) capacity() int64 {
	var sum int64
	for _, w := range t.workers {
		if !w.gone && !w.cordoned {
			sum += w.capacity.CPUMillis
		}
	}
	return sum
}

// queuedTasks bounds the queued tasks of all jobs.
const queuedTasks = 1_000_000

// overBound says why a new job is refused, or "".
func (t *term) overBound(j config.Job) string {
	l := t.owner.Config.Current().Limits[config.LimitsJobs].WithDefaults()
	total, class, team := j.Tasks, j.Tasks, j.Tasks
	for _, jb := range t.jobs {
		if jb.record.Ended() {
			continue
		}
		n := len(jb.tasks)
		if !jb.saved {
			n = jb.record.Job.Tasks
		}
		total += n
		if jb.record.Job.Class == j.Class {
			class += n
		}
		if jb.record.Job.Account() == j.Account() {
			team += n
		}
	}
	switch {
	case team > l.MaxWaitingPerTeam:
		return "the team has too many unfinished tasks"
	case class > l.MaxWaitingPerClass:
		return "there are too many unfinished tasks of this class"
	case total > l.MaxWaiting && class > guaranteed(l, j.Class):
		return "there are too many unfinished tasks"
	}
	return ""
}

// guaranteed returns the unfinished tasks that a class may always have.
func guaranteed(l config.Limits, class string) int {
	sum, own := 0, 1
	for _, name := range []string{"urgent", "normal", "deferrable"} {
		share := max(1, l.ClassShares[name])
		sum += share
		if name == class {
			own = share
		}
	}
	return l.MaxWaiting * own / sum
}

// relieveWorkers throttles, checkpoints or stops tasks on workers whose
// measured usage exceeds what was granted.
func (t *term) relieveWorkers(now time.Time) {
	for name, w := range t.workers {
		if !w.claimed || len(w.tasks) == 0 {
			continue
		}
		t.growGrants(w)
		for _, a := range t.cell.OverloadActions(now, name, measured(w)) {
			t.act(w, a)
		}
	}
}

// growGrants reserves the memory that tasks use beyond their grants, so that no
// other task is placed on it. Grants never shrink, since the worker counts them too.
func (t *term) growGrants(w *worker) {
	for id, tk := range w.tasks {
		if tk.used.MemoryMB <= tk.need.MemoryMB {
			continue
		}
		need := tk.need
		need.MemoryMB = tk.used.MemoryMB
		if t.cell.Resize(id, need) {
			tk.need = need
		}
	}
}

func measured(w *worker) []place.Usage {
	list := make([]place.Usage, 0, len(w.tasks))
	for id, tk := range w.tasks {
		if tk.state == taskRunning && tk.used != (place.Resources{}) {
			list = append(list, place.Usage{Task: id, Used: tk.used})
		}
	}
	return list
}

func (t *term) act(w *worker, a place.Action) {
	tk := w.tasks[a.Task]
	if tk == nil {
		return
	}
	switch a.Kind {
	case place.Throttle:
		if tk.throttled != a.CPUMillis {
			tk.throttled = a.CPUMillis
			w.out.Throttles = append(w.out.Throttles, agent.Throttle{ID: a.Task, CPUMillis: a.CPUMillis})
		}
	case place.Checkpoint:
		w.out.Checkpoints = append(w.out.Checkpoints, a.Task)
	case place.Stop:
		t.stop(tk, "its worker is overloaded")
	}
}

// saveUsage keeps the learned sizes for the next owner.
func (t *term) saveUsage(now time.Time) {
	if now.Before(t.nextUsage) {
		return
	}
	t.nextUsage = now.Add(usageInterval)
	text := table.Seal(usageKind, t.lease.Epoch, t.book.Snapshot())
	select {
	case t.objects <- text:
	default: // The last one is still being written; the next minute brings another.
	}
}
