package sched

import (
	"time"

	"github.com/daisyrack/daisyrack/internal/agent"
	"github.com/daisyrack/daisyrack/pkg/config"
	"github.com/daisyrack/daisyrack/pkg/event"
	"github.com/daisyrack/daisyrack/pkg/place"
	"github.com/daisyrack/daisyrack/pkg/queue"
)

const (
	// refusedDelay is the pause of a task that a worker refused to start.
	refusedDelay = 200 * time.Millisecond

	// serviceDelay is the pause before a service's task that ended starts again.
	serviceDelay = 500 * time.Millisecond

	// sameWorkerFailures is how many failures on the same workers count as one
	// failure elsewhere.
	sameWorkerFailures = 4

	// attemptBits leaves room for four thousand million starts in one epoch.
	attemptBits = 32
)

// nextAttempt returns a number that no other start of any owner has.
func (t *term) nextAttempt() int64 {
	t.attempts++
	return t.lease.Epoch<<attemptBits | t.attempts
}

// compare brings the tasks of a worker in step with its report.
func (t *term) compare(w *worker, reports []agent.Task, now time.Time) {
	reported := make(map[string]bool, len(reports))
	for i := range reports {
		reported[reports[i].ID] = true
		t.report(w, &reports[i], now)
	}
	for id, tk := range w.tasks {
		if reported[id] || tk.state == taskStarting {
			continue
		}
		if tk.state == taskStopping {
			t.end(tk, agent.Stopped, now)
			continue
		}
		t.lose(tk, "its worker does not hold it any more")
	}
}

func (t *term) report(w *worker, r *agent.Task, now time.Time) {
	tk := t.tasks[r.ID]
	if r.State != agent.Running {
		t.reportEnd(w, tk, r, now)
		return
	}
	switch {
	case tk == nil:
		// The job ended or is unknown; nobody else would stop this task.
		t.unexpected(w, r)
	case tk.state == taskUncertain:
		t.adopt(w, tk, r)
	case tk.worker == w && tk.attempt == r.Attempt:
		t.observe(tk, r, now)
	default:
		t.unexpected(w, r)
	}
}

func (t *term) unexpected(w *worker, r *agent.Task) {
	t.owner.stats.UnexpectedTasks.Add(1)
	w.out.Stops = append(w.out.Stops, r.ID)
	t.emit(event.Event{Kind: event.TaskStopped, Task: r.ID, Job: r.Job, Worker: w.member.Name, Detail: "not wanted here"})
}

// adopt takes up a task that an earlier owner started.
func (t *term) adopt(w *worker, tk *task, r *agent.Task) {
	delete(t.uncertain, tk)
	tk.state = taskRunning
	tk.reason = ""
	tk.worker = w
	tk.attempt = r.Attempt
	tk.need = place.Resources(r.Resources)
	tk.started = t.now()
	w.tasks[tk.id] = tk
	if err := t.cell.Adopt(t.placeTask(tk), w.member.Name); err != nil {
		t.owner.stats.OvercommitReports.Add(1)
		t.owner.Log.WithError(err).WithField("task", tk.id).Warn("adopted task exceeds its worker")
	}
	tk.item = t.taskItem(tk)
	t.queue.RestoreRunning(tk.item)
	t.owner.stats.TasksAdopted.Add(1)
	if tk.dropped {
		t.stop(tk, tk.job.reason)
	}
}

func (t *term) observe(tk *task, r *agent.Task, now time.Time) {
	tk.used = place.Resources(r.Usage)
	t.book.Observe(tk.job.record.Job.Name, amount(tk.used), now)
	if r.CheckpointMS > tk.checkpointMS {
		tk.checkpointMS = r.CheckpointMS
		t.cell.RecordCheckpoint(tk.id, now)
	}
	if tk.state == taskStarting {
		t.markRunning(tk, now)
	}
}

func (t *term) reportEnd(w *worker, tk *task, r *agent.Task, now time.Time) {
	if tk != nil && tk.state == taskUncertain {
		t.adopt(w, tk, r)
	}
	if tk == nil || tk.worker != w || tk.attempt != r.Attempt || tk.state == taskDone {
		if tk == nil || !t.awaitingSave(tk) {
			w.out.Acks = append(w.out.Acks, r.ID)
		}
		return
	}
	if tk.state == taskStarting {
		t.markRunning(tk, now)
	}
	t.end(tk, r.State, now)
}

// awaitingSave tells whether the worker must keep its report of the task.
func (t *term) awaitingSave(tk *task) bool {
	for _, e := range tk.job.ends {
		if e.id == tk.id {
			return true
		}
	}
	return false
}

func (t *term) started(w *worker, s agent.StartResult, now time.Time) {
	tk := t.tasks[s.ID]
	if tk == nil || tk.worker != w || tk.state != taskStarting {
		return
	}
	if s.Accepted {
		t.markRunning(tk, now)
		return
	}
	t.owner.stats.StartsRefused.Add(1)
	t.release(tk)
	t.requeue(tk, "refused by worker "+w.member.Name+": "+s.Reason, refusedDelay)
}

func (t *term) markRunning(tk *task, now time.Time) {
	tk.state = taskRunning
	tk.reason = ""
	tk.started = now
	tk.maybeSent = false
	t.owner.stats.TasksStarted.Add(1)
	if t.owner.ObserveTaskWait != nil {
		t.owner.ObserveTaskWait(tk.job.record.Job.Class, now.Sub(tk.item.Enqueued))
	}
	t.emit(event.Event{
		Kind:       event.TaskStarted,
		Task:       tk.id,
		Job:        tk.job.record.Job.Name,
		Worker:     tk.worker.member.Name,
		DurationUS: now.Sub(tk.item.Enqueued).Microseconds(),
	})
}

// end takes up the end of a task at its worker.
func (t *term) end(tk *task, state string, now time.Time) {
	w := tk.worker
	name := tk.job.record.Job.Name
	t.emit(event.Event{Kind: event.TaskEnded, Task: tk.id, Job: name, Worker: w.member.Name, Detail: state})
	t.release(tk)
	switch {
	case tk.dropped:
		t.endDropped(tk, w)
	case state == agent.Succeeded && tk.job.record.Job.Kind != config.KindService:
		t.succeed(tk, w, now)
	case state == agent.Stopped:
		t.owner.stats.TasksStopped.Add(1)
		w.out.Acks = append(w.out.Acks, tk.id)
		t.requeue(tk, tk.reason, 0)
	default:
		w.out.Acks = append(w.out.Acks, tk.id)
		t.retry(tk, w, state, now)
	}
}

func (t *term) endDropped(tk *task, w *worker) {
	t.owner.stats.TasksStopped.Add(1)
	w.out.Acks = append(w.out.Acks, tk.id)
	t.forgetTask(tk)
}

// succeed notes the success; the worker keeps its report until it is saved.
func (t *term) succeed(tk *task, w *worker, now time.Time) {
	jb := tk.job
	t.owner.stats.TasksSucceeded.Add(1)
	t.health.Succeeded(now, w.member.Name, jb.record.Job.Name)
	t.book.Finished(jb.record.Job.Name, now.Sub(tk.started))
	tk.state = taskDone
	jb.record.SetDone(tk.index)
	jb.ends = append(jb.ends, ended{worker: w, id: tk.id})
	t.markDirty(jb)
	t.finishIfDone(jb)
	if jb.record.Job.Kind == config.KindAllAtOnce {
		// The last task that still ran may have held up a new start of the others.
		t.admitGang(jb)
	}
}

// retry runs a failed task, or an ended task of a service, again after a pause.
func (t *term) retry(tk *task, w *worker, state string, now time.Time) {
	jb := tk.job
	name := jb.record.Job.Name
	if state == agent.Failed {
		t.owner.stats.TasksFailed.Add(1)
		t.health.Failed(now, w.member.Name, name)
	}
	if jb.record.Job.Kind == config.KindService {
		t.requeue(tk, "ended: "+state, max(serviceDelay, t.health.NextTry(now, name).Sub(now)))
		return
	}
	jb.record.Failures++
	tk.noteFailure(w.member.Name)
	if tk.gaveUp(jb.record.Job.MaxAttempts) {
		t.requeue(tk, "failed", time.Hour)
		t.fail(jb, "task "+tk.id+" failed too often")
		return
	}
	t.requeue(tk, "failed on worker "+w.member.Name, max(refusedDelay, t.health.NextTry(now, name).Sub(now)))
}

func (tk *task) noteFailure(worker string) {
	if tk.failedOn == nil {
		tk.failedOn = make(map[string]int)
	}
	tk.failedOn[worker]++
	tk.failures++
}

// gaveUp tells whether a task has failed too often. Failures on one worker count
// once, since the worker may be at fault; a fleet of few workers has a limit too.
func (tk *task) gaveUp(maxAttempts int) bool {
	return len(tk.failedOn) >= maxAttempts || tk.failures >= maxAttempts*sameWorkerFailures
}

// lose gives up a task whose worker can not run it any more.
func (t *term) lose(tk *task, reason string) {
	t.owner.stats.TasksLost.Add(1)
	t.emit(event.Event{Kind: taskLost, Task: tk.id, Job: tk.job.record.Job.Name, Worker: tk.worker.member.Name, Detail: reason})
	t.release(tk)
	if tk.dropped {
		t.forgetTask(tk)
		return
	}
	t.requeue(tk, reason, 0)
}

// release takes a task off its worker and gives back what it held.
func (t *term) release(tk *task) {
	w := tk.worker
	if w == nil {
		return
	}
	delete(w.tasks, tk.id)
	tk.worker = nil
	tk.maybeSent = false
	w.out.Starts = t.stillWanted(w, w.out.Starts)
	t.cell.Release(tk.id)
	t.queue.Done(tk.item.Team, tk.item.Class, tk.item.Cost)
	t.wake = true
}

// stop asks the worker to checkpoint and stop a task.
func (t *term) stop(tk *task, reason string) {
	tk.reason = reason
	w := tk.worker
	if w == nil || tk.state == taskStopping {
		return
	}
	if tk.state == taskStarting && !tk.maybeSent && t.unsent(w, tk) {
		t.stopUnsent(tk, reason)
		return
	}
	tk.state = taskStopping
	w.out.Checkpoints = append(w.out.Checkpoints, tk.id)
	w.out.Stops = append(w.out.Stops, tk.id)
	t.emit(event.Event{Kind: event.TaskStopped, Task: tk.id, Job: tk.job.record.Job.Name, Worker: w.member.Name, Detail: reason})
}

// unsent tells whether the start of the task still waits to be sent.
func (t *term) unsent(w *worker, tk *task) bool {
	for _, s := range w.out.Starts {
		if s.ID == tk.id {
			return true
		}
	}
	return false
}

func (t *term) stopUnsent(tk *task, reason string) {
	tk.state = taskPending
	t.release(tk)
	if tk.dropped {
		t.forgetTask(tk)
		return
	}
	t.requeue(tk, reason, 0)
}

func (t *term) placeTask(tk *task) place.Task {
	j := tk.job.record.Job
	run, _ := t.book.RunTime(j.Name, j.RunTime())
	return place.Task{
		ID:             tk.id,
		Job:            j.Name,
		Class:          tk.job.placeClass(),
		Kind:           tk.job.kind(),
		Need:           tk.need,
		RunTime:        run,
		Started:        tk.started,
		LastCheckpoint: tk.started,
	}
}

func (t *term) taskItem(tk *task) queue.Item {
	j := tk.job.record.Job
	return queue.Item{
		ID:       tk.id,
		Team:     j.Account(),
		Class:    tk.job.queueClass(),
		Enqueued: t.now(),
		Cost:     j.Resources.CPUMillis,
		Value:    tk,
	}
}
