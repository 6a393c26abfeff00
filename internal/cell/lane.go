package cell

import (
	"context"
	"slices"
	"time"

	"github.com/daisyrack/daisyrack/internal/fleet"
)

// maxDoublings of orderTimeout reach maxOrderTimeout.
const maxDoublings = 4

// send queues an order for its executor.
func (d *Driver) send(ctx context.Context, o Order) {
	l := d.lanes[o.Executor.ID]
	if l == nil {
		l = &lane{}
		d.lanes[o.Executor.ID] = l
	}
	if o.Stop != nil {
		l.waiting = slices.Insert(l.waiting, 0, o) // a stop does not wait behind starts
	} else {
		l.waiting = append(l.waiting, o)
	}
	d.pump(ctx, l)
}

func (d *Driver) pump(ctx context.Context, l *lane) {
	for l.busy < lanes && len(l.waiting) > 0 {
		o := l.waiting[0]
		l.waiting = l.waiting[1:]
		if d.core.Withdrawn(d.Ledger.Now(), o) {
			continue
		}
		l.busy++
		go func() {
			ans := d.carryOut(ctx, o)
			d.post(func(now time.Time) {
				l.busy--
				d.core.Ordered(now, o, ans)
				d.pump(ctx, l)
			})
		}()
	}
}

func (d *Driver) carryOut(ctx context.Context, o Order) fleet.Response {
	timeout := min(orderTimeout<<min(o.Try, maxDoublings), maxOrderTimeout)
	if d.busy.Load() {
		timeout = maxOrderTimeout // repeats would only add to the load of this instance
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	switch {
	case o.Start != nil:
		return d.Start(ctx, o.Executor, *o.Start)
	case o.Stop != nil:
		return d.Stop(ctx, o.Executor, *o.Stop)
	}
	return d.Pace(ctx, o.Executor, *o.Pace)
}
