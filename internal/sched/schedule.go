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
	// maxQueuedPerJob limits the queued tasks of one job, so that large jobs do not fill the
	// memory. The remaining tasks are queued as these are placed.
	maxQueuedPerJob = 256

	// maxPlacementsPerRound limits the placements in a row, so that the owner goroutine handles
	// replies from workers in between.
	maxPlacementsPerRound = 1024

	// resumeInterval is the minimum interval between retries of items that could not be placed.
	resumeInterval = 50 * time.Millisecond

	// preemptionPause is the minimum interval between preemptions in favor of the same task. It
	// gives the preempted tasks time to stop.
	preemptionPause = 5 * time.Second
)

// makePending adds a task to the pending tasks of its job.
func (t *term) makePending(tk *task, reason string) {
	tk.state = taskPending
	tk.reason = reason
	tk.job.pending = append(tk.job.pending, tk)
}

// requeue makes a task pending again, after the delay if there is one.
func (t *term) requeue(tk *task, reason string, delay time.Duration) {
	now := t.now()
	tk.state = taskPending
	tk.reason = reason
	tk.outdated = false
	if tk.job.record.Job.Kind == config.KindGang {
		tk.job.retryAt = laterOf(tk.job.retryAt, now.Add(delay))
		t.restartGang(tk.job, reason)
		return
	}
	if delay > 0 {
		tk.retryAt = now.Add(delay)
		t.delayed[tk] = struct{}{}
		return
	}
	t.makePending(tk, reason)
	t.enqueuePending(tk.job)
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (t *term) requeueDelayed(now time.Time) {
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
		t.enqueuePending(tk.job)
	}
	for jb := range t.delayedGangs {
		if !now.Before(jb.retryAt) {
			delete(t.delayedGangs, jb)
			t.enqueueGang(jb)
		}
	}
}

// enqueuePending queues pending tasks of a job, up to maxQueuedPerJob.
func (t *term) enqueuePending(jb *job) {
	if !jb.saved || jb.record.Ended() || jb.nextState != "" {
		return
	}
	if jb.record.Job.Kind == config.KindGang {
		t.enqueueGang(jb)
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
	tk.item = t.queueItem(tk)
	if v := t.queue.Push(t.now(), tk.item); !v.Admitted() {
		tk.reason = string(v.Reason)
		return false
	}
	tk.state = taskWaiting
	tk.job.queued++
	return true
}

// dequeue removes a waiting task from the queue.
func (t *term) dequeue(tk *task) {
	t.queue.Cancel(tk.id)
	tk.job.queued--
	tk.state = taskPending
}

// schedule places tasks in queue order.
func (t *term) schedule() {
	if !t.loaded {
		return
	}
	now := t.now()
	if t.resumeSuspended && !now.Before(t.nextResume) {
		t.resumeSuspended = false
		t.nextResume = now.Add(resumeInterval)
		t.queue.ResumeAll()
	}
	for range maxPlacementsPerRound {
		item, ok := t.queue.Next(now)
		if !ok {
			return
		}
		switch v := item.Value.(type) {
		case *task:
			t.placeOne(v, item, now)
		case *job:
			t.placeGang(v, item, now)
		}
	}
}

func (t *term) placeOne(tk *task, item queue.Item, now time.Time) {
	if reason := t.blockedReason(tk.job, now); reason != "" {
		tk.reason = reason
		t.suspendItem(item)
		return
	}
	tk.need = t.learnedSize(tk.job)
	d := t.placeAvoidingFailed(tk, now)
	if d.Worker != "" {
		tk.job.queued--
		t.assign(tk, t.workers[d.Worker], now)
		t.enqueuePending(tk.job)
		return
	}
	tk.reason = d.Reason.String()
	t.suspendItem(item)
	t.preemptFor(tk, now)
}

// placeAvoidingFailed places a task on a worker on which it has not failed yet, unless it has
// failed on all of them. Best fit alone would choose the same worker again.
func (t *term) placeAvoidingFailed(tk *task, now time.Time) place.Decision {
	var avoided []*worker
	for name := range tk.failedOn {
		if w := t.workers[name]; w != nil && !w.cordoned {
			avoided = append(avoided, w)
		}
	}
	if len(avoided) == 0 || len(avoided) >= t.schedulableWorkers() {
		return t.cell.Place(now, t.placementTask(tk))
	}
	for _, w := range avoided {
		t.cell.Cordon(w.info.Name, true)
	}
	defer func() {
		for _, w := range avoided {
			t.cell.Cordon(w.info.Name, false)
		}
	}()
	return t.cell.Place(now, t.placementTask(tk))
}

// schedulableWorkers returns the number of workers that accept new tasks.
func (t *term) schedulableWorkers() int {
	n := 0
	for _, w := range t.workers {
		if !w.cordoned && !w.gone && w.claimed {
			n++
		}
	}
	return n
}

// blockedReason returns why no task of a job can be started at the moment, or "". Once the owner
// has been without the table service for lease.MoveTimeout, every worker would refuse the tasks of
// a job that moves when it is cut off. Such tasks are therefore no longer started after half of
// that time.
func (t *term) blockedReason(jb *job, now time.Time) string {
	confirmed, ok := t.owner.LeaseConfirmedAt()
	if jb.cutOffPolicy() == lease.MoveOnCutOff && (!ok || now.Sub(confirmed) > lease.MoveTimeout/2) {
		t.resumeSuspended = true
		return "the table service does not answer, and the job moves when it is cut off"
	}
	return ""
}

// suspendItem returns an item to its position in the queue and skips it until the queue resumes its
// suspended items.
func (t *term) suspendItem(item queue.Item) {
	t.queue.Requeue(item)
	t.queue.Suspend(item.ID)
}

// learnedSize returns the resources to reserve for a task of a job. CPU time beyond the declared
// size is a burst into idle capacity and is not reserved; otherwise the reservation of a task that
// uses all the CPU time it gets would grow with each start. Memory is reserved as learned, because
// a task that lacks memory fails.
func (t *term) learnedSize(jb *job) place.Resources {
	need := declaredResources(jb.record.Job)
	learned := t.book.EstimateSize(jb.record.Job.Name, usageResources(need))
	need.CPUMillis = min(need.CPUMillis, learned.CPUMillis)
	need.MemoryMB = learned.MemoryMB
	return need
}

func usageResources(r place.Resources) usage.Resources {
	return usage.Resources{CPUMillis: r.CPUMillis, MemoryMB: r.MemoryMB}
}

func (t *term) assign(tk *task, w *worker, now time.Time) {
	tk.state = taskStarting
	tk.reason = ""
	tk.worker = w
	tk.attempt = t.nextAttempt()
	w.tasks[tk.id] = tk
	t.health.RecordProbeStart(now, w.info.Name)
	j := tk.job.record.Job
	w.commands.Starts = append(w.commands.Starts, agent.Start{
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
		Worker:     w.info.Name,
		DurationUS: now.Sub(tk.item.Enqueued).Microseconds(),
	})
}

// runMS returns the expected run time of a task, or 0 for a service, which runs until it is
// stopped.
func runMS(j config.Job) int64 {
	if j.Kind == config.KindService {
		return 0
	}
	return max(1, j.RunTime().Milliseconds())
}

// preemptFor stops tasks of lower classes to make room for a task.
func (t *term) preemptFor(tk *task, now time.Time) {
	if tk.job.placementClass() == place.Deferrable || now.Before(tk.preemptAfter) {
		return
	}
	_, victims, ok := t.cell.Preempt(now, t.placementTask(tk))
	if !ok {
		return
	}
	tk.preemptAfter = now.Add(preemptionPause)
	for _, id := range victims {
		if victim := t.tasks[id]; victim != nil {
			t.owner.counters.Preemptions.Add(1)
			t.stop(victim, "stopped for "+tk.id)
		}
	}
}
