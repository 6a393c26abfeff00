package sched

import (
	"time"

	"github.com/daisyrack/daisyrack/internal/agent"
	"github.com/daisyrack/daisyrack/pkg/config"
	"github.com/daisyrack/daisyrack/pkg/event"
	"github.com/daisyrack/daisyrack/pkg/lease"
	"github.com/daisyrack/daisyrack/pkg/place"
	"github.com/daisyrack/daisyrack/pkg/queue"
	"github.com/daisyrack/daisyrack/pkg/usage"
)

const (
	// maxQueuedPerJob bounds the tasks of one job in the queue; the others follow
	// as these start, so that large jobs do not fill the memory.
	maxQueuedPerJob = 256

	// maxPlacements bounds the placements of one round, so that answers of
	// workers are taken up in between.
	maxPlacements = 1024

	// wakeInterval bounds how often the tasks that did not fit are tried again.
	wakeInterval = 50 * time.Millisecond

	// preemptPause is the time given to preempted work to stop.
	preemptPause = 5 * time.Second
)

// makePending takes a task back to where it waits for its place in the queue.
func (t *term) makePending(tk *task, reason string) {
	tk.state = taskPending
	tk.reason = reason
	tk.job.pending = append(tk.job.pending, tk)
}

// requeue makes a task wait again, after a pause if there is one.
func (t *term) requeue(tk *task, reason string, pause time.Duration) {
	now := t.now()
	tk.state = taskPending
	tk.reason = reason
	tk.outdated = false
	if tk.job.record.Job.Kind == config.KindAllAtOnce {
		tk.job.retryAt = later(tk.job.retryAt, now.Add(pause))
		t.gangBroken(tk.job, reason)
		return
	}
	if pause > 0 {
		tk.retryAt = now.Add(pause)
		t.delayed[tk] = struct{}{}
		return
	}
	t.makePending(tk, reason)
	t.admitPending(tk.job)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (t *term) releaseDelayed(now time.Time) {
	for tk := range t.delayed {
		if t.tasks[tk.id] != tk || tk.state != taskPending {
			delete(t.delayed, tk)
			continue
		}
		if now.Before(tk.retryAt) {
			continue
		}
		delete(t.delayed, tk)
		t.makePending(tk, tk.reason)
		t.admitPending(tk.job)
	}
	for jb := range t.delayedGangs {
		if !now.Before(jb.retryAt) {
			delete(t.delayedGangs, jb)
			t.admitGang(jb)
		}
	}
}

// admitPending puts the pending tasks of a job into the queue.
func (t *term) admitPending(jb *job) {
	if !jb.saved || jb.record.Ended() || jb.wanted != "" {
		return
	}
	if jb.record.Job.Kind == config.KindAllAtOnce {
		t.admitGang(jb)
		return
	}
	for jb.queued < maxQueuedPerJob && len(jb.pending) > 0 {
		tk := jb.pending[0]
		jb.pending = jb.pending[1:]
		if t.tasks[tk.id] != tk || tk.state != taskPending {
			continue
		}
		if !t.enqueue(tk) {
			jb.pending = append([]*task{tk}, jb.pending...)
			return
		}
	}
}

func (t *term) enqueue(tk *task) bool {
	tk.item = t.taskItem(tk)
	if v := t.queue.Push(t.now(), tk.item); !v.Admitted() {
		tk.reason = string(v.Reason)
		return false
	}
	tk.state = taskWaiting
	tk.job.queued++
	return true
}

// unqueue takes a waiting task out of the queue.
func (t *term) unqueue(tk *task) {
	t.queue.Cancel(tk.id)
	tk.job.queued--
	tk.state = taskPending
}

// schedule places the next tasks in the order of the queue.
func (t *term) schedule() {
	if !t.loaded {
		return
	}
	now := t.now()
	if t.wake && !now.Before(t.nextWake) {
		t.wake = false
		t.nextWake = now.Add(wakeInterval)
		t.queue.ResumeAll()
	}
	for range maxPlacements {
		item, ok := t.queue.Next(now)
		if !ok {
			return
		}
		switch v := item.Value.(type) {
		case *task:
			t.placeNext(v, item, now)
		case *job:
			t.placeGang(v, item, now)
		}
	}
}

func (t *term) placeNext(tk *task, item queue.Item, now time.Time) {
	if reason := t.heldBack(tk.job, now); reason != "" {
		tk.reason = reason
		t.putOff(item)
		return
	}
	tk.need = t.size(tk.job)
	d := t.placeAvoiding(tk, now)
	if d.Worker != "" {
		tk.job.queued--
		t.assign(tk, t.workers[d.Worker], now)
		t.admitPending(tk.job)
		return
	}
	tk.reason = d.Reason.String()
	t.putOff(item)
	t.preemptFor(tk, now)
}

// placeAvoiding places a task on a worker on which it has not failed, unless it
// has failed on all of them. Best fit alone would choose the same worker again.
func (t *term) placeAvoiding(tk *task, now time.Time) place.Decision {
	var avoided []*worker
	for name := range tk.failedOn {
		if w := t.workers[name]; w != nil && !w.cordoned {
			avoided = append(avoided, w)
		}
	}
	if len(avoided) == 0 || len(avoided) >= t.openWorkers() {
		return t.cell.Place(now, t.placeTask(tk))
	}
	for _, w := range avoided {
		t.cell.Cordon(w.member.Name, true)
	}
	defer func() {
		for _, w := range avoided {
			t.cell.Cordon(w.member.Name, false)
		}
	}()
	return t.cell.Place(now, t.placeTask(tk))
}

// openWorkers counts the workers that take new tasks.
func (t *term) openWorkers() int {
	n := 0
	for _, w := range t.workers {
		if !w.cordoned && !w.gone && w.claimed {
			n++
		}
	}
	return n
}

// heldBack says why no task of a job can be started at the moment, or "". A
// task that moves when it is cut off would be refused by every worker once the
// owner has been without the table service for MoveLimit.
func (t *term) heldBack(jb *job, now time.Time) string {
	proven, ok := t.owner.LastRenewal()
	if jb.cutOff() == lease.MoveOnCutOff && (!ok || now.Sub(proven) > lease.MoveTimeout/2) {
		t.wake = true
		return "the table service does not answer, and the job moves when it is cut off"
	}
	return ""
}

// putOff gives a taken item its place back, to be passed over until the next wake.
func (t *term) putOff(item queue.Item) {
	t.queue.Requeue(item)
	t.queue.Suspend(item.ID)
}

// size returns the learned size of a job's tasks. Processor time above the
// declared size is a burst into idle capacity and reserves nothing, since a task
// that takes all it gets would otherwise grow with each start; memory is
// reserved as used, since a task without it fails.
func (t *term) size(jb *job) place.Resources {
	need := declared(jb.record.Job)
	learned := t.book.Size(jb.record.Job.Name, amount(need))
	need.CPUMillis = min(need.CPUMillis, learned.CPUMillis)
	need.MemoryMB = learned.MemoryMB
	return need
}

func amount(r place.Resources) usage.Amount {
	return usage.Amount{CPUMillis: r.CPUMillis, MemoryMB: r.MemoryMB}
}

func (t *term) assign(tk *task, w *worker, now time.Time) {
	tk.state = taskStarting
	tk.reason = ""
	tk.worker = w
	tk.attempt = t.nextAttempt()
	w.tasks[tk.id] = tk
	t.health.Started(now, w.member.Name)
	j := tk.job.record.Job
	w.out.Starts = append(w.out.Starts, agent.Start{
		ID:        tk.id,
		Attempt:   tk.attempt,
		Job:       j.Name,
		Class:     j.Class,
		Resources: agent.Resources(tk.need),
		OnCutOff:  j.OnCutOff,
		RunMS:     runMS(j),
		Payload:   j.Payload,
	})
	t.emit(event.Event{
		Kind:       event.TaskPlaced,
		Task:       tk.id,
		Job:        j.Name,
		Worker:     w.member.Name,
		DurationUS: now.Sub(tk.item.Enqueued).Microseconds(),
	})
}

// runMS returns 0 for a service, which runs until it is stopped.
func runMS(j config.Job) int64 {
	if j.Kind == config.KindService {
		return 0
	}
	return max(1, j.RunTime().Milliseconds())
}

// preemptFor stops cheaper work so that a task fits.
func (t *term) preemptFor(tk *task, now time.Time) {
	if tk.job.placeClass() == place.Deferrable || now.Before(tk.preemptAfter) {
		return
	}
	_, victims, ok := t.cell.Preempt(now, t.placeTask(tk))
	if !ok {
		return
	}
	tk.preemptAfter = now.Add(preemptPause)
	for _, id := range victims {
		if victim := t.tasks[id]; victim != nil {
			t.owner.stats.Preemptions.Add(1)
			t.stop(victim, "stopped for "+tk.id)
		}
	}
}
