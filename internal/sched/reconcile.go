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
	// reconcileInterval is the interval between reconciliations with the configuration, and between
	// status updates.
	reconcileInterval = time.Second

	// usageSaveInterval is the interval between saves of the learned sizes.
	usageSaveInterval = time.Minute

	usageKind = "usage"
)

// reconcileConfig adds, updates and cancels jobs according to the current configuration documents.
func (t *term) reconcileConfig() {
	snapshot := t.owner.Config.Current()
	if !t.owner.Config.Ready() {
		return
	}
	if capacity := t.usableCPUMillis(); snapshot.Revision != t.configRevision || capacity != t.queue.Capacity {
		t.configRevision = snapshot.Revision
		t.queue.Capacity = capacity
		t.queue.Reconfigure(taskQueueLimits(snapshot, capacity))
	}
	for name, j := range snapshot.Jobs {
		version := snapshot.Documents["job/"+name].Version
		t.reconcileDocument(j, version)
	}
	for name, jb := range t.jobs {
		if _, exists := snapshot.Jobs[name]; jb.record.FromDocument && !exists {
			t.withdraw(jb, "its document was removed")
		}
	}
}

func (t *term) reconcileDocument(j config.Job, version int64) {
	inDomain := len(taskIndexes(j, t.owner.FailureDomains, t.owner.FailureDomain)) > 0
	jb, known := t.jobs[j.Name]
	switch {
	case !known && inDomain:
		t.addDocumentJob(j, version)
	case !known || !jb.saved || jb.record.Version >= version:
		if known && jb.record.Job.Kind == config.KindService && jb.saved {
			t.restartNextOutdated(jb)
		}
	case !inDomain:
		t.withdraw(jb, "its failure domains changed")
	case jb.record.Ended():
		t.replaceEnded(jb, j, version)
	case j.Kind == config.KindService && jb.record.Job.Kind == config.KindService:
		t.updateService(jb, j, version)
	default:
		t.withdraw(jb, "a newer version was published")
	}
}

func (t *term) addDocumentJob(j config.Job, version int64) {
	r := &JobRecord{
		Job:          j,
		Version:      version,
		State:        JobAccepted,
		FromDocument: true,
		AcceptedMS:   t.nowMS(),
	}
	t.markDirty(t.newJob(r))
}

// withdraw cancels a job whose document was removed, has left the failure domain or can only be
// replaced as a whole.
func (t *term) withdraw(jb *job, reason string) {
	if !jb.saved || jb.record.Ended() || jb.nextState != "" {
		return
	}
	jb.nextState = JobCancelled
	jb.reason = reason
	t.markDirty(jb)
}

// replaceEnded adds the new version of an ended job once the tasks of the old version have stopped.
func (t *term) replaceEnded(jb *job, j config.Job, version int64) {
	if len(jb.tasks) > 0 && !allDone(jb) {
		return
	}
	for _, tk := range jb.tasks {
		t.deleteTask(tk)
	}
	t.addDocumentJob(j, version)
}

func allDone(jb *job) bool {
	for _, tk := range jb.tasks {
		if tk.state != taskDone {
			return false
		}
	}
	return true
}

// updateService applies a new version of a service. Replicas are added or removed, and if the
// description of the tasks has changed, the remaining ones are marked for a rolling restart.
func (t *term) updateService(jb *job, j config.Job, version int64) {
	restart := needsRestart(jb.record.Job, j)
	jb.record.Job = j
	jb.record.Version = version
	t.markDirty(jb)
	indexes := make(map[int]bool)
	for _, i := range taskIndexes(j, t.owner.FailureDomains, t.owner.FailureDomain) {
		indexes[i] = true
		if jb.tasks[i] == nil {
			t.newTask(jb, i, false)
		}
	}
	for i, tk := range jb.tasks {
		if !indexes[i] {
			t.dropTask(tk)
			continue
		}
		tk.outdated = tk.outdated || restart
	}
	t.enqueuePending(jb)
}

// needsRestart reports whether running tasks must be restarted when the job changes from a to b.
func needsRestart(a, b config.Job) bool {
	a.Tasks, b.Tasks = 0, 0
	a.FailureDomains, b.FailureDomains = nil, nil
	a.Class, b.Class = "", ""
	return !sameJob(a, b)
}

// restartNextOutdated restarts one outdated task, provided that all tasks of the job are running.
func (t *term) restartNextOutdated(jb *job) {
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

// feasible reports whether a job could ever run in this failure domain. As long as the capacity of
// any worker is unknown, every job counts as feasible.
func (t *term) feasible(j config.Job) (bool, string) {
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
	if j.Kind == config.KindGang {
		tasks = j.Tasks
	}
	ok, reason := t.cell.Feasible(declaredResources(j), tasks)
	return ok, reason.String()
}

// taskQueueLimits returns the limits of the task queue. The queue must never refuse a task of an
// accepted job, so its limits on waiting items are higher than the number of tasks that can be
// queued. New jobs are refused by exceededLimit instead.
func taskQueueLimits(s *config.Snapshot, capacity int64) queue.Limits {
	l := s.Limits[config.LimitsJobs].WithDefaults()
	l.Name = config.LimitsJobs
	limits := QueueLimits(l, maxQueuedTasks)
	limits.Class[queue.Urgent].Headroom = capacity * int64(l.Headroom()) / 100
	return limits
}

// usableCPUMillis returns the CPU capacity of all workers that accept new tasks, in thousandths of
// a core.
func (t *term) usableCPUMillis() int64 {
	var sum int64
	for _, w := range t.workers {
		if !w.gone && !w.cordoned {
			sum += w.capacity.CPUMillis
		}
	}
	return sum
}

// maxQueuedTasks limits the queued tasks of all jobs.
const maxQueuedTasks = 1_000_000

// exceededLimit returns why a new job must be refused, or "" if it is within all limits.
func (t *term) exceededLimit(j config.Job) string {
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
	case total > l.MaxWaiting && class > guaranteedTasks(l, j.Class):
		return "there are too many unfinished tasks"
	}
	return ""
}

// guaranteedTasks returns the number of unfinished tasks that a class may have even when the total
// limit is exceeded.
func guaranteedTasks(l config.Limits, class string) int {
	totalShares, classShare := 0, 1
	for _, name := range []string{"urgent", "normal", "deferrable"} {
		share := max(1, l.ClassShares[name])
		totalShares += share
		if name == class {
			classShare = share
		}
	}
	return l.MaxWaiting * classShare / totalShares
}

// relieveOverload throttles, checkpoints or stops tasks on workers that are overloaded according to
// their measured usage.
func (t *term) relieveOverload(now time.Time) {
	for name, w := range t.workers {
		if !w.claimed || len(w.tasks) == 0 {
			continue
		}
		t.growReservations(w)
		for _, a := range t.cell.OverloadActions(now, name, measuredUsage(w)) {
			t.applyAction(w, a)
		}
	}
}

// growReservations extends the reservations of tasks that use more memory than they were granted,
// so that no other task is placed on that memory. Reservations never shrink, because the worker
// also accounts for the memory that it has granted.
func (t *term) growReservations(w *worker) {
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

func measuredUsage(w *worker) []place.Usage {
	list := make([]place.Usage, 0, len(w.tasks))
	for id, tk := range w.tasks {
		if tk.state == taskRunning && tk.used != (place.Resources{}) {
			list = append(list, place.Usage{Task: id, Used: tk.used})
		}
	}
	return list
}

func (t *term) applyAction(w *worker, a place.Action) {
	tk := w.tasks[a.Task]
	if tk == nil {
		return
	}
	switch a.Kind {
	case place.Throttle:
		if tk.throttledCPUMillis != a.CPUMillis {
			tk.throttledCPUMillis = a.CPUMillis
			w.commands.Throttles = append(w.commands.Throttles, agent.Throttle{ID: a.Task, CPUMillis: a.CPUMillis})
		}
	case place.Checkpoint:
		w.commands.Checkpoints = append(w.commands.Checkpoints, a.Task)
	case place.Stop:
		t.stop(tk, "its worker is overloaded")
	}
}

// saveUsage stores the learned sizes for later owners.
func (t *term) saveUsage(now time.Time) {
	if now.Before(t.nextUsageSave) {
		return
	}
	t.nextUsageSave = now.Add(usageSaveInterval)
	snapshot := table.EncodeObject(usageKind, t.lease.Epoch, t.book.Snapshot())
	select {
	case t.usageSnapshots <- snapshot:
	default: // The previous snapshot is still being written; skip this one.
	}
}
