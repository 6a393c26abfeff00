package cell

import (
	"context"
	"time"

	"github.com/daisyrack/daisyrack/internal/ledger"
)

// spawn runs a goroutine that uses the ledger and therefore has to end before the next term.
func (d *Driver) spawn(f func()) {
	d.wg.Go(f)
}

// post sends an event to the loop; it returns false if the term has ended.
func (d *Driver) post(f func(now time.Time)) bool {
	return d.postTo(d.events, event{requested: d.Ledger.Now(), handle: f})
}

// postEarly sends an event to one of the queues that are handled before others.
func (d *Driver) postEarly(queue chan<- event, f func(now time.Time)) bool {
	return d.postTo(queue, event{requested: d.Ledger.Now(), handle: f, early: true})
}

func (d *Driver) postTo(queue chan<- event, e event) bool {
	select {
	case queue <- e:
		return true
	case <-d.done:
		return false
	}
}

func (d *Driver) loop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	passTimer := time.NewTimer(0)
	defer passTimer.Stop()
	var lastPass time.Time
	close(d.restored)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-d.commits:
			d.handleEvents(e)
		case e := <-d.ends:
			d.handleEvents(e)
		case e := <-d.events:
			d.handleEvents(e)
		case <-ticker.C:
			d.tick(d.Ledger.Now())
		case <-passTimer.C:
		}
		if d.core.LostOwnership {
			return ledger.ErrLostOwnership
		}
		if wait := d.core.PassInterval() - d.Ledger.Now().Sub(lastPass); wait > 0 {
			passTimer.Reset(wait)
			continue
		}
		lastPass = d.Ledger.Now()
		d.applyDecisions(ctx)
		took := d.Ledger.Now().Sub(lastPass)
		d.core.Pace.Worked(took)
		passSeconds.Update(took.Seconds())
	}
}

// handleEvents handles an event and those queued behind it, so that one scheduling pass covers them. It
// returns after maxEventTime: while events arrive faster than they are handled, ownership must still be
// renewed.
func (d *Driver) handleEvents(e event) {
	start := d.Ledger.Now()
	now := start
	for range eventQueueSize {
		if !e.early {
			d.core.Pace.Delayed(now, e.requested)
			eventDelaySeconds.Update(now.Sub(e.requested).Seconds())
		}
		e.handle(now)
		now = d.Ledger.Now()
		if now.Sub(start) > maxEventTime {
			break
		}
		next, ok := d.nextEvent()
		if !ok {
			break
		}
		e = next
	}
	d.core.Pace.Worked(now.Sub(start))
}

// nextEvent takes the event to handle next; it returns false if none is queued.
func (d *Driver) nextEvent() (event, bool) {
	for _, queue := range [...]chan event{d.commits, d.ends, d.events} {
		select {
		case e := <-queue:
			return e, true
		default:
		}
	}
	return event{}, false
}

// tick does the time-based work of the core.
func (d *Driver) tick(now time.Time) {
	if now.Sub(d.waitsReadAt) >= waitsInterval {
		d.waitsReadAt = now
		d.waitTimes = d.waits.Read()
		d.core.Pace.Waited(now, d.waitTimes.High)
		processorWaitSeconds.Set(d.waitTimes.High.Seconds())
	}
	if d.FormerFollowers != nil {
		d.core.SetFormerFollowers(d.FormerFollowers())
	}
	d.core.Tick(now)
	d.publishStats(now)
	d.observeLag(now)
	d.core.Pace.Worked(d.Ledger.Now().Sub(now))
}

// observeLag publishes how far the loop is behind, and logs it at most once a second while it is.
func (d *Driver) observeLag(now time.Time) {
	sample := d.core.Pace.Last()
	loopBusyShare.Set(sample.Busy)
	queuedEvents.Set(float64(len(d.events)))
	if now.Sub(d.behindLoggedAt) < time.Second {
		return
	}
	if d.core.Pace.Stretch() == 1 && d.waitTimes.High < slowWait {
		return
	}
	d.behindLoggedAt = now
	d.Log.WithField("lag_ms", sample.Lag.Milliseconds()).WithField("worst_ms", d.core.Pace.Allowance().Milliseconds()).
		WithField("busy", sample.Busy).WithField("queued", len(d.events)).WithField("events", sample.Events).
		WithField("stretch", d.core.Pace.Stretch()).WithField("pending_steps", d.core.PendingSteps()).
		WithField("polls", d.core.Stats.Polls).WithField("missed_polls", d.core.Stats.MissedPolls).
		WithField("wait_ms", d.waitTimes.Mean.Milliseconds()).WithField("wait_p90_ms", d.waitTimes.High.Milliseconds()).
		WithField("commits", d.commitCount).WithField("commit_ms", d.commitTime.Milliseconds()).
		WithField("commit_kb", d.commitBytes>>10).WithField("commit_jobs", d.commitJobs).
		WithField("ends", d.core.Stats.Ends).WithField("accepted", d.core.Stats.Accepted).
		WithField("starts", d.core.Stats.Starts).WithField("resent", d.core.Stats.Resent).Warn("owner is behind its events")
}
