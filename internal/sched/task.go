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
	// refusedRetryDelay is the delay before a task is queued again after a worker refused to start
	// it, and the minimum delay after a failure.
	refusedRetryDelay = 200 * time.Millisecond

	// serviceRestartDelay is the minimum delay before an ended task of a service is started again.
	serviceRestartDelay = 500 * time.Millisecond

	// repeatFailureFactor limits the failures of a task in total, including repeated failures on
	// the same worker, to this multiple of the job's MaxAttempts.
	repeatFailureFactor = 4

	// attemptBits is the width of the start counter in an attempt number; it allows about four
	// billion starts per epoch.
	attemptBits = 32
)

// nextAttempt returns an attempt number that is unique among all starts of all owners.
func (t *term) nextAttempt() int64 {
	t.attempts++
	return t.lease.Epoch<<attemptBits | t.attempts
}

// reconcileWorker updates the tasks assigned to a worker from its reports. An assigned task that is
// missing from the reports has stopped or is lost.
func (t *term) reconcileWorker(w *worker, reports []agent.Task, now time.Time) {
	reported := make(map[string]bool, len(reports))
	for i := range reports {
		reported[reports[i].ID] = true
		t.applyReport(w, &reports[i], now)
	}
	for id, tk := range w.tasks {
		if reported[id] || tk.state == taskStarting {
			continue
		}
		if tk.state == taskStopping {
			t.endTask(tk, agent.Stopped, now)
			continue
		}
		t.loseTask(tk, "its worker does not hold it any more")
	}
}

func (t *term) applyReport(w *worker, r *agent.Task, now time.Time) {
	tk := t.tasks[r.ID]
	if r.State != agent.Running {
		t.applyEndReport(w, tk, r, now)
		return
	}
	switch {
	case tk == nil:
		// The job has ended or is unknown, so nothing else would stop this task.
		t.stopUnexpected(w, r)
	case tk.state == taskUncertain:
		t.adopt(w, tk, r)
	case tk.worker == w && tk.attempt == r.Attempt:
		t.updateRunning(tk, r, now)
	default:
		t.stopUnexpected(w, r)
	}
}

func (t *term) stopUnexpected(w *worker, r *agent.Task) {
	t.owner.counters.UnexpectedTasks.Add(1)
	w.commands.Stops = append(w.commands.Stops, r.ID)
	t.emit(event.Event{Kind: event.TaskStopped, Task: r.ID, Job: r.Job, Worker: w.info.Name, Detail: "not wanted here"})
}

// adopt assigns a task that an earlier owner started to the worker that reports it.
func (t *term) adopt(w *worker, tk *task, r *agent.Task) {
	delete(t.uncertain, tk)
	tk.state = taskRunning
	tk.reason = ""
	tk.worker = w
	tk.attempt = r.Attempt
	tk.need = place.Resources(r.Resources)
	tk.started = t.now()
	w.tasks[tk.id] = tk
	if err := t.cell.Adopt(t.placementTask(tk), w.info.Name); err != nil {
		t.owner.counters.OvercommitReports.Add(1)
		t.owner.Log.WithError(err).WithField("task", tk.id).Warn("adopted task exceeds the capacity of its worker")
	}
	tk.item = t.queueItem(tk)
	t.queue.RestoreRunning(tk.item)
	t.owner.counters.TasksAdopted.Add(1)
	if tk.dropped {
		t.stop(tk, tk.job.reason)
	}
}

func (t *term) updateRunning(tk *task, r *agent.Task, now time.Time) {
	tk.used = place.Resources(r.Usage)
	t.book.Observe(tk.job.record.Job.Name, usageResources(tk.used), now)
	if r.CheckpointMS > tk.checkpointMS {
		tk.checkpointMS = r.CheckpointMS
		t.cell.RecordCheckpoint(tk.id, now)
	}
	if tk.state == taskStarting {
		t.markRunning(tk, now)
	}
}

func (t *term) applyEndReport(w *worker, tk *task, r *agent.Task, now time.Time) {
	if tk != nil && tk.state == taskUncertain {
		t.adopt(w, tk, r)
	}
	if tk == nil || tk.worker != w || tk.attempt != r.Attempt || tk.state == taskDone {
		if tk == nil || !t.awaitingSave(tk) {
			w.commands.Acks = append(w.commands.Acks, r.ID)
		}
		return
	}
	if tk.state == taskStarting {
		t.markRunning(tk, now)
	}
	t.endTask(tk, r.State, now)
}

// awaitingSave reports whether the success of the task has not been saved yet, so that the worker
// must keep its report.
func (t *term) awaitingSave(tk *task) bool {
	for _, e := range tk.job.unackedEnds {
		if e.id == tk.id {
			return true
		}
	}
	return false
}

func (t *term) applyStartResult(w *worker, s agent.StartResult, now time.Time) {
	tk := t.tasks[s.ID]
	if tk == nil || tk.worker != w || tk.state != taskStarting {
		return
	}
	if s.Accepted {
		t.markRunning(tk, now)
		return
	}
	t.owner.counters.StartsRefused.Add(1)
	t.release(tk)
	t.requeue(tk, "refused by worker "+w.info.Name+": "+s.Reason, refusedRetryDelay)
}

func (t *term) markRunning(tk *task, now time.Time) {
	tk.state = taskRunning
	tk.reason = ""
	tk.started = now
	tk.maybeSent = false
	t.owner.counters.TasksStarted.Add(1)
	if t.owner.ObserveTaskWait != nil {
		t.owner.ObserveTaskWait(tk.job.record.Job.Class, now.Sub(tk.item.Enqueued))
	}
	t.emit(event.Event{
		Kind:       event.TaskStarted,
		Task:       tk.id,
		Job:        tk.job.record.Job.Name,
		Worker:     tk.worker.info.Name,
		DurationUS: now.Sub(tk.item.Enqueued).Microseconds(),
	})
}

// endTask handles the end of a task that its worker has reported.
func (t *term) endTask(tk *task, state string, now time.Time) {
	w := tk.worker
	name := tk.job.record.Job.Name
	t.emit(event.Event{Kind: event.TaskEnded, Task: tk.id, Job: name, Worker: w.info.Name, Detail: state})
	t.release(tk)
	switch {
	case tk.dropped:
		t.endDropped(tk, w)
	case state == agent.Succeeded && tk.job.record.Job.Kind != config.KindService:
		t.succeedTask(tk, w, now)
	case state == agent.Stopped:
		t.owner.counters.TasksStopped.Add(1)
		w.commands.Acks = append(w.commands.Acks, tk.id)
		t.requeue(tk, tk.reason, 0)
	default:
		w.commands.Acks = append(w.commands.Acks, tk.id)
		t.retryTask(tk, w, state, now)
	}
}

func (t *term) endDropped(tk *task, w *worker) {
	t.owner.counters.TasksStopped.Add(1)
	w.commands.Acks = append(w.commands.Acks, tk.id)
	t.deleteTask(tk)
}

// succeedTask records the success of a task. The worker keeps its report until the success is
// saved.
func (t *term) succeedTask(tk *task, w *worker, now time.Time) {
	jb := tk.job
	t.owner.counters.TasksSucceeded.Add(1)
	t.health.RecordSuccess(now, w.info.Name, jb.record.Job.Name)
	t.book.ObserveRun(jb.record.Job.Name, now.Sub(tk.started))
	tk.state = taskDone
	jb.record.SetDone(tk.index)
	jb.unackedEnds = append(jb.unackedEnds, endedTask{worker: w, id: tk.id})
	t.markDirty(jb)
	t.finishIfDone(jb)
	if jb.record.Job.Kind == config.KindGang {
		// A restart of the unfinished tasks may have been waiting for this task to end.
		t.enqueueGang(jb)
	}
}

// retryTask queues a failed task, or an ended task of a service, again after a delay.
func (t *term) retryTask(tk *task, w *worker, state string, now time.Time) {
	jb := tk.job
	name := jb.record.Job.Name
	if state == agent.Failed {
		t.owner.counters.TasksFailed.Add(1)
		t.health.RecordFailure(now, w.info.Name, name)
	}
	if jb.record.Job.Kind == config.KindService {
		t.requeue(tk, "ended: "+state, max(serviceRestartDelay, t.health.NextAttempt(now, name).Sub(now)))
		return
	}
	jb.record.Failures++
	tk.recordFailure(w.info.Name)
	if tk.attemptsExhausted(jb.record.Job.MaxAttempts) {
		t.requeue(tk, "failed", time.Hour)
		t.failJob(jb, "task "+tk.id+" failed too often")
		return
	}
	t.requeue(tk, "failed on worker "+w.info.Name, max(refusedRetryDelay, t.health.NextAttempt(now, name).Sub(now)))
}

func (tk *task) recordFailure(worker string) {
	if tk.failedOn == nil {
		tk.failedOn = make(map[string]int)
	}
	tk.failedOn[worker]++
	tk.failures++
}

// attemptsExhausted reports whether a task has failed too often. Failures on the same worker count
// once, because the worker may be at fault. The limit on all failures applies when there are too
// few workers to reach maxAttempts.
func (tk *task) attemptsExhausted(maxAttempts int) bool {
	return len(tk.failedOn) >= maxAttempts || tk.failures >= maxAttempts*repeatFailureFactor
}

// loseTask handles the loss of a task that can no longer be running on its worker.
func (t *term) loseTask(tk *task, reason string) {
	t.owner.counters.TasksLost.Add(1)
	t.emit(event.Event{Kind: eventTaskLost, Task: tk.id, Job: tk.job.record.Job.Name, Worker: tk.worker.info.Name, Detail: reason})
	t.release(tk)
	if tk.dropped {
		t.deleteTask(tk)
		return
	}
	t.requeue(tk, reason, 0)
}

// release removes a task from its worker and frees its capacity and its share of the quota.
func (t *term) release(tk *task) {
	w := tk.worker
	if w == nil {
		return
	}
	delete(w.tasks, tk.id)
	tk.worker = nil
	tk.maybeSent = false
	w.commands.Starts = t.currentStarts(w, w.commands.Starts)
	t.cell.Release(tk.id)
	t.queue.Done(tk.item.Team, tk.item.Class, tk.item.Cost)
	t.resumeSuspended = true
}

// stop tells the worker to checkpoint and stop a task, or withdraws a start that has not been sent.
func (t *term) stop(tk *task, reason string) {
	tk.reason = reason
	w := tk.worker
	if w == nil || tk.state == taskStopping {
		return
	}
	if tk.state == taskStarting && !tk.maybeSent && t.startUnsent(w, tk) {
		t.cancelUnsentStart(tk, reason)
		return
	}
	tk.state = taskStopping
	w.commands.Checkpoints = append(w.commands.Checkpoints, tk.id)
	w.commands.Stops = append(w.commands.Stops, tk.id)
	t.emit(event.Event{Kind: event.TaskStopped, Task: tk.id, Job: tk.job.record.Job.Name, Worker: w.info.Name, Detail: reason})
}

// startUnsent reports whether the start of the task is still waiting to be sent.
func (t *term) startUnsent(w *worker, tk *task) bool {
	for _, s := range w.commands.Starts {
		if s.ID == tk.id {
			return true
		}
	}
	return false
}

func (t *term) cancelUnsentStart(tk *task, reason string) {
	tk.state = taskPending
	t.release(tk)
	if tk.dropped {
		t.deleteTask(tk)
		return
	}
	t.requeue(tk, reason, 0)
}

func (t *term) placementTask(tk *task) place.Task {
	j := tk.job.record.Job
	run, _ := t.book.EstimateRunTime(j.Name, j.RunTime())
	return place.Task{
		ID:             tk.id,
		Job:            j.Name,
		Class:          tk.job.placementClass(),
		Kind:           tk.job.placementKind(),
		Need:           tk.need,
		RunTime:        run,
		Started:        tk.started,
		LastCheckpoint: tk.started,
	}
}

func (t *term) queueItem(tk *task) queue.Item {
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
