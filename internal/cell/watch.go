package cell

import (
	"context"
	"time"

	"github.com/daisyrack/daisyrack/internal/fleet"
)

// lookAt looks at one executor until it is forgotten; the second look in progress at an executor
// ends when it is no longer needed.
func (d *Driver) lookAt(ctx context.Context, id string, second bool) {
	for {
		var (
			e     fleet.Executor
			look  fleet.Poll
			known bool
			ready = make(chan struct{})
		)
		ok := d.post(func(time.Time) {
			if second && !d.core.LooksTwice(id) {
				delete(d.lookingTwice, id)
				close(ready)
				return
			}
			e, look, known = d.core.NextLook(id)
			if !known {
				delete(d.looking, id)
				delete(d.lanes, id)
				delete(d.lookingTwice, id)
			}
			close(ready)
		})
		if !ok || !wait(ctx, d.done, ready) || !known {
			return
		}
		sent := d.Ledger.Now()
		callCtx, cancel := context.WithTimeout(ctx, look.Timeout)
		ans := d.Look(callCtx, e, look)
		cancel()
		var pause time.Duration
		var stored chan struct{}
		answered := make(chan struct{})
		ok = d.post(func(now time.Time) {
			d.core.Looked(now, sent, id, ans)
			pause = d.core.LookPause(id)
			if d.core.EndsUnstored(id) {
				stored = d.stored
			}
			close(answered)
		})
		if !ok || !wait(ctx, d.done, answered) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		if stored != nil {
			// Until its ends are stored the executor lists them again at once.
			select {
			case <-ctx.Done():
				return
			case <-stored:
			case <-time.After(storedWait):
			}
		}
	}
}

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

// watch follows the instance list; after an error the whole list is read again.
func (d *Driver) watch(ctx context.Context) {
	for ctx.Err() == nil {
		list, version, err := d.List(ctx)
		if err != nil {
			d.Log.WithError(err).Warn("instance list not read")
			pause(ctx, relistPause)
			continue
		}
		d.post(func(now time.Time) { d.setList(now, list) })
		for ctx.Err() == nil {
			changes, next, err := d.Watch(ctx, version)
			if err != nil {
				d.Log.WithError(err).WithField("version", version).Info("instance list is read again")
				pause(ctx, relistPause)
				break
			}
			version = next
			if len(changes) > 0 {
				d.post(func(now time.Time) { d.applyChanges(now, changes) })
				pause(ctx, watchPause)
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

func (d *Driver) setList(now time.Time, list []fleet.Executor) {
	present := make(map[string]bool, len(list))
	for _, e := range list {
		present[e.ID] = true
		d.core.SetExecutor(now, e)
	}
	for _, id := range d.core.Executors() {
		if !present[id] {
			d.core.RemoveExecutor(now, id)
		}
	}
}

func (d *Driver) applyChanges(now time.Time, changes []Change) {
	for _, ch := range changes {
		if ch.Gone {
			d.core.RemoveExecutor(now, ch.Executor.ID)
			continue
		}
		d.core.SetExecutor(now, ch.Executor)
	}
}
