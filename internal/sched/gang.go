package sched

import (
	"slices"
	"time"

	"github.com/daisyrack/daisyrack/pkg/place"
	"github.com/daisyrack/daisyrack/pkg/queue"
)

// gangRestartDelay is the delay before an all-at-once job is started again after one of its tasks
// has ended early or the queue has refused the job.
const gangRestartDelay = time.Second

// unfinishedTasks returns the tasks that have not succeeded, ordered by index.
func (jb *job) unfinishedTasks() []*task {
	var list []*task
	for _, tk := range jb.tasks {
		if tk.state != taskDone {
			list = append(list, tk)
		}
	}
	slices.SortFunc(list, func(a, b *task) int { return a.index - b.index })
	return list
}

// enqueueGang queues an all-at-once job as a single item once none of its tasks is running.
func (t *term) enqueueGang(jb *job) {
	jb.pending = nil
	if jb.gangQueued || jb.nextState != "" || jb.record.Ended() || !jb.saved {
		return
	}
	tasks := jb.unfinishedTasks()
	for _, tk := range tasks {
		if tk.state != taskPending {
			return
		}
	}
	if len(tasks) == 0 {
		return
	}
	if t.now().Before(jb.retryAt) {
		t.delayedGangs[jb] = struct{}{}
		return
	}
	if v := t.queue.Push(t.now(), t.gangQueueItem(jb, len(tasks))); !v.Admitted() {
		jb.reason = string(v.Reason)
		t.delayedGangs[jb] = struct{}{}
		jb.retryAt = t.now().Add(gangRestartDelay)
		return
	}
	jb.gangQueued = true
}

func gangID(jb *job) string {
	return jb.record.Job.Name
}

func (t *term) gangQueueItem(jb *job, tasks int) queue.Item {
	j := jb.record.Job
	return queue.Item{
		ID:       gangID(jb),
		Team:     j.Account(),
		Class:    jb.queueClass(),
		Enqueued: t.now(),
		Cost:     j.Resources.CPUMillis * int64(tasks),
		Value:    jb,
	}
}

func (t *term) dequeueGang(jb *job) {
	if jb.gangQueued {
		t.queue.Cancel(gangID(jb))
		jb.gangQueued = false
	}
	delete(t.delayedGangs, jb)
	t.cell.Unreserve(jb.record.Job.Name)
}

// placeGang places either all unfinished tasks of an all-at-once job or none.
func (t *term) placeGang(jb *job, item queue.Item, now time.Time) {
	if reason := t.blockedReason(jb, now); reason != "" {
		jb.reason = reason
		t.suspendItem(item)
		return
	}
	tasks := jb.unfinishedTasks()
	requests := make([]place.Task, 0, len(tasks))
	for _, tk := range tasks {
		tk.need = t.learnedSize(jb)
		requests = append(requests, t.placementTask(tk))
	}
	d := t.cell.PlaceAll(now, requests)
	if !d.Placed() {
		t.deferGang(jb, item, requests, d.Reason(), now)
		return
	}
	jb.gangQueued = false
	jb.reason = ""
	// The queue charged the team for the whole job as one item; from here on it charges each task.
	t.queue.Done(item.Team, item.Class, item.Cost)
	for i, tk := range tasks {
		tk.item = t.queueItem(tk)
		tk.item.Enqueued = item.Enqueued
		t.queue.RestoreRunning(tk.item)
		t.assign(tk, t.workers[d[i].Worker], now)
	}
}

func (t *term) deferGang(jb *job, item queue.Item, requests []place.Task, reason place.Reason, now time.Time) {
	jb.reason = reason.String()
	t.suspendItem(item)
	r := t.cell.Reserve(now, jb.record.Job.Name, requests)
	if !r.Held {
		jb.reason += "; no reservation: " + r.Reason.String()
		return
	}
	t.preemptForReservation(r, now)
}

// preemptForReservation stops the victims of a reservation once its start time has come.
func (t *term) preemptForReservation(r place.Reservation, now time.Time) {
	if now.Before(r.Start) {
		return
	}
	for _, id := range r.Victims {
		if victim := t.tasks[id]; victim != nil {
			t.owner.counters.Preemptions.Add(1)
			t.stop(victim, "stopped for "+r.Job)
		}
	}
}

// restartGang stops the remaining tasks of an all-at-once job after one has ended early. The job is
// queued again once all of them have stopped.
func (t *term) restartGang(jb *job, reason string) {
	jb.retryAt = laterOf(jb.retryAt, t.now().Add(gangRestartDelay))
	for _, tk := range jb.tasks {
		switch tk.state {
		case taskStarting, taskRunning:
			t.stop(tk, "another task of the job ended: "+reason)
		}
	}
	if !jb.gangQueued {
		t.enqueueGang(jb)
	}
}
