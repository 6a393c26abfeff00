package cell

import (
	"context"
	"time"

	"github.com/daisyrack/daisyrack/internal/fleet"
)

// pollExecutor polls one executor until it is dropped. With second set it makes the second of two
// polls in flight and returns when that is no longer needed.
func (d *Driver) pollExecutor(ctx context.Context, id string, second bool) {
	for {
		var (
			e     fleet.Executor
			poll  fleet.Poll
			known bool
			ready = make(chan struct{})
		)
		ok := d.post(func(now time.Time) {
			if second && !d.core.NeedsSecondPoll(id) {
				delete(d.pollingTwice, id)
				close(ready)
				return
			}
			e, poll, known = d.core.NextPoll(now, id)
			if !known {
				delete(d.polling, id)
				delete(d.dispatchQueues, id)
				delete(d.pollingTwice, id)
			}
			close(ready)
		})
		if !ok || !wait(ctx, d.done, ready) || !known {
			return
		}
		sent := d.Ledger.Now()
		callCtx, cancel := context.WithTimeout(ctx, poll.Timeout)
		resp := d.Poll(callCtx, e, poll)
		cancel()
		var pause time.Duration
		var stored chan struct{}
		applied := make(chan struct{})
		ok = d.postPollResponse(resp, func(now time.Time) {
			d.core.ApplyPollResponse(now, sent, id, resp)
			pause = d.core.PollPause(id)
			if d.core.HasUnstoredEnds(id) {
				stored = d.committed
			}
			close(applied)
		})
		if !ok || !wait(ctx, d.done, applied) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		if stored != nil {
			// Until its ended runs are stored, the executor would list them again at once.
			select {
			case <-ctx.Done():
				return
			case <-stored:
			case <-time.After(maxCommitWait):
			}
		}
	}
}

// ApplyLatePoll applies the response to a poll that was sent at the given time and was given up since. It
// does not wait for the loop: its caller reads the results of other calls as well.
func (d *Driver) ApplyLatePoll(id string, sent time.Time, resp fleet.Response) {
	go d.postPollResponse(resp, func(now time.Time) { d.core.ApplyPollResponse(now, sent, id, resp) })
}

// postPollResponse sends the event that applies a response to the loop.
func (d *Driver) postPollResponse(resp fleet.Response, f func(now time.Time)) bool {
	if len(resp.Ends) > 0 {
		return d.postEarly(d.ends, f)
	}
	return d.post(f)
}

// wait waits for ready; it returns false if done is closed or ctx ends first.
func wait(ctx context.Context, done, ready <-chan struct{}) bool {
	select {
	case <-ready:
		return true
	case <-done:
		return false
	case <-ctx.Done():
		return false
	}
}

// watch follows the instance list. After an error it reads the whole list again.
func (d *Driver) watch(ctx context.Context) {
	for ctx.Err() == nil {
		list, version, err := d.List(ctx)
		if err != nil {
			d.Log.WithError(err).Warn("reading instance list failed")
			pause(ctx, relistDelay)
			continue
		}
		d.post(func(now time.Time) { d.applyList(now, list) })
		for ctx.Err() == nil {
			sent := d.Ledger.Now()
			changes, next, err := d.Watch(ctx, version)
			if err != nil {
				d.Log.WithError(err).WithField("version", version).Info("watching instance list failed; reading it again")
				pause(ctx, relistDelay)
				break
			}
			version = next
			if len(changes) > 0 {
				d.post(func(now time.Time) { d.applyChanges(now, sent, changes) })
				pause(ctx, watchInterval)
			}
		}
	}
}

func pause(ctx context.Context, p time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(p):
	}
}

// applyList applies the whole instance list. The entry of an executor that does not reach the store stays there for some
// time, so that its version tells its age, not the time at which it is read.
func (d *Driver) applyList(now time.Time, list []fleet.Executor) {
	present := make(map[string]bool, len(list))
	for _, e := range list {
		present[e.ID] = true
		d.core.SetExecutor(now, d.history.WrittenAfter(e.EntryVersion), e)
	}
	for _, id := range d.core.ExecutorIDs() {
		if !present[id] {
			d.core.RemoveExecutor(now, id)
		}
	}
}

func (d *Driver) applyChanges(now, written time.Time, changes []Change) {
	for _, ch := range changes {
		if ch.Removed {
			d.core.RemoveExecutor(now, ch.Executor.ID)
			continue
		}
		d.core.SetExecutor(now, written, ch.Executor)
	}
}
