package cell

import (
	"context"
	"time"

	"github.com/daisyrack/daisyrack/internal/flow"
)

// Submit submits a job and waits for the outcome.
func (d *Driver) Submit(ctx context.Context, id string, spec flow.Spec) Reply {
	return d.request(ctx, func(now time.Time, reply func(Reply)) { d.core.Submit(now, id, spec, reply) })
}

// Cancel cancels a job and waits until that is stored.
func (d *Driver) Cancel(ctx context.Context, id string) Reply {
	return d.request(ctx, func(now time.Time, reply func(Reply)) {
		repeat := func(now time.Time) { d.core.Cancel(now, id, d.logAbsence(now, id, reply)) }
		d.core.Cancel(now, id, d.confirmAbsence(reply, repeat))
	})
}

// State returns the state of a job.
func (d *Driver) State(ctx context.Context, id string) Reply {
	return d.request(ctx, func(_ time.Time, reply func(Reply)) {
		repeat := func(now time.Time) {
			report := d.logAbsence(now, id, reply)
			report(d.core.State(id))
		}
		confirm := d.confirmAbsence(reply, repeat)
		confirm(d.core.State(id))
	})
}

// absentRequest is a request for an unknown job that waits for a commit.
type absentRequest struct {
	reply  func(Reply)
	repeat func(now time.Time)
}

// confirmAbsence returns a function that passes a reply on, except Absent: a successor may have
// accepted the job. In that case repeat is called after a commit that began after the request, which
// shows that there was no successor then.
func (d *Driver) confirmAbsence(reply func(Reply), repeat func(now time.Time)) func(Reply) {
	return func(r Reply) {
		if r.Outcome != Absent {
			reply(r)
			return
		}
		d.absent = append(d.absent, absentRequest{reply, repeat})
	}
}

// logAbsence returns a function that passes a reply on and logs Absent: if the job was accepted, the line
// tells which term has forgotten it, and how long after its takeover.
func (d *Driver) logAbsence(now time.Time, id string, reply func(Reply)) func(Reply) {
	return func(r Reply) {
		if r.Outcome == Absent {
			d.Log.WithField("job", id).WithField("epoch", d.core.Epoch).WithField("jobs", len(d.core.jobs)).
				WithField("term_ms", now.Sub(d.core.TakeoverAt).Milliseconds()).Info("job is not known")
		}
		reply(r)
	}
}

// finishAbsent ends the requests for unknown jobs that waited for a commit with the given result.
func finishAbsent(now time.Time, requests []absentRequest, err error) {
	for _, r := range requests {
		if err != nil {
			r.reply(Reply{Outcome: Unknown, Reason: "ownership is not confirmed"})
			continue
		}
		r.repeat(now)
	}
}

// PendingJobs returns the number of jobs that have not started, by queue.
func (d *Driver) PendingJobs(ctx context.Context) map[string]int64 {
	out := make(chan map[string]int64, 1)
	if !d.waitRestored(ctx) || !d.post(func(time.Time) { out <- d.core.PendingJobs() }) {
		return nil
	}
	select {
	case m := <-out:
		return m
	case <-d.done:
	case <-ctx.Done():
	}
	return nil
}

// Counters returns the counters of this term.
func (d *Driver) Counters(ctx context.Context) Counters {
	out := make(chan Counters, 1)
	if !d.waitRestored(ctx) || !d.post(func(time.Time) { out <- d.core.Stats }) {
		return Counters{}
	}
	select {
	case c := <-out:
		return c
	case <-d.done:
	case <-ctx.Done():
	}
	return Counters{}
}

func (d *Driver) waitRestored(ctx context.Context) bool {
	return wait(ctx, d.done, d.restored)
}

func (d *Driver) request(ctx context.Context, f func(now time.Time, reply func(Reply))) Reply {
	if !d.waitRestored(ctx) {
		return Reply{Outcome: NotOwner}
	}
	out := make(chan Reply, 1)
	if !d.post(func(now time.Time) { f(now, func(r Reply) { out <- r }) }) {
		return Reply{Outcome: NotOwner}
	}
	select {
	case r := <-out:
		return r
	case <-d.done:
		select {
		case r := <-out:
			return r
		default:
			return Reply{Outcome: Unknown, Reason: "the owner of the cell changes"}
		}
	case <-ctx.Done():
		return Reply{Outcome: Unknown, Reason: "no outcome in time"}
	}
}
