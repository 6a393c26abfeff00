package sched

import (
	"slices"
	"time"

	"github.com/daisyrack/daisyrack/pkg/place"
	"github.com/daisyrack/daisyrack/pkg/queue"
)

// gangDelay is the pause before an all-at-once job starts again after one of
// its tasks ended early.
const gangDelay = time.Second

// gangTasks returns the tasks of an all-at-once job that have not succeeded.
func (jb *job) gangTasks() []*task {
	var list []*task
	for _, tk := range jb.tasks {
		if tk.state != taskDone {
			list = append(list, tk)
		}
	}
	slices.SortFunc(list, func(a, b *task) int { return a.index - b.index })
	return list
}

// admitGang queues an all-at-once job as one item once none of its tasks runs.
func (t *term) admitGang(jb *job) {
	jb.pending = nil
	if jb.gangQueued || jb.wanted != "" || jb.record.Ended() || !jb.saved {
		return
	}
	tasks := jb.gangTasks()
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
	if v := t.queue.Push(t.now(), t.gangItem(jb, len(tasks))); !v.Admitted() {
		jb.reason = string(v.Reason)
		t.delayedGangs[jb] = struct{}{}
		jb.retryAt = t.now().Add(gangDelay)
		return
	}
	jb.gangQueued = true
}

func gangID(jb *job) string {
	return jb.record.Job.Name
}

func (t *term) gangItem(jb *job, tasks int) queue.Item {
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

func (t *term) dropGangItem(jb *job) {
	if jb.gangQueued {
		t.queue.Cancel(gangID(jb))
		jb.gangQueued = false
	}
	delete(t.delayedGangs, jb)
	t.cell.Unreserve(jb.record.Job.Name)
}

// placeGang places all tasks of a job or none.
func (t *term) placeGang(jb *job, item queue.Item, now time.Time) {
	if reason := t.heldBack(jb, now); reason != "" {
		jb.reason = reason
		t.putOff(item)
		return
	}
	tasks := jb.gangTasks()
	wanted := make([]place.Task, 0, len(tasks))
	for _, tk := range tasks {
		tk.need = t.size(jb)
		wanted = append(wanted, t.placeTask(tk))
	}
	d := t.cell.PlaceAll(now, wanted)
	if !d.Placed() {
		t.deferGang(jb, item, wanted, d.Reason(), now)
		return
	}
	jb.gangQueued = false
	jb.reason = ""
	// The item counted the whole job; from here on each task counts for itself.
	t.queue.Done(item.Team, item.Class, item.Cost)
	for i, tk := range tasks {
		tk.item = t.taskItem(tk)
		tk.item.Enqueued = item.Enqueued
		t.queue.RestoreRunning(tk.item)
		t.assign(tk, t.workers[d[i].Worker], now)
	}
}

func (t *term) deferGang(jb *job, item queue.Item, wanted []place.Task, reason place.Reason, now time.Time) {
	jb.reason = reason.String()
	t.putOff(item)
	r := t.cell.Reserve(now, jb.record.Job.Name, wanted)
	if !r.Held {
		jb.reason += "; no reservation: " + r.Reason.String()
		return
	}
	t.vacate(r, now)
}

// vacate stops the backfilled tasks of a reservation whose start has come.
func (t *term) vacate(r place.Reservation, now time.Time) {
	if now.Before(r.Start) {
		return
	}
	for _, id := range r.Victims {
		if victim := t.tasks[id]; victim != nil {
			t.owner.stats.Preemptions.Add(1)
			t.stop(victim, "stopped for "+r.Job)
		}
	}
}

// gangBroken stops the other tasks of an all-at-once job when one has ended
// early, and starts the job again when all have stopped.
func (t *term) gangBroken(jb *job, reason string) {
	jb.retryAt = later(jb.retryAt, t.now().Add(gangDelay))
	for _, tk := range jb.tasks {
		switch tk.state {
		case taskStarting, taskRunning:
			t.stop(tk, "another task of the job ended: "+reason)
		}
	}
	if !jb.gangQueued {
		t.admitGang(jb)
	}
}
