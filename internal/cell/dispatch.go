package cell

import (
	"context"
	"slices"
	"time"

	"github.com/daisyrack/daisyrack/internal/fleet"
)

// queueCommand queues a command for its executor.
func (d *Driver) queueCommand(ctx context.Context, cmd Command) {
	dq := d.dispatchQueues[cmd.Executor.ID]
	if dq == nil {
		dq = &dispatchQueue{}
		d.dispatchQueues[cmd.Executor.ID] = dq
	}
	if cmd.Stop != nil {
		dq.waiting = slices.Insert(dq.waiting, 0, cmd) // stops go before starts
	} else {
		dq.waiting = append(dq.waiting, cmd)
	}
	d.dispatch(ctx, dq)
}

// dispatch sends queued commands, up to maxInFlight at a time.
func (d *Driver) dispatch(ctx context.Context, dq *dispatchQueue) {
	for dq.inFlight < maxInFlight && len(dq.waiting) > 0 {
		cmd := dq.waiting[0]
		dq.waiting = dq.waiting[1:]
		if d.core.DiscardUnwanted(d.Ledger.Now(), cmd) {
			continue
		}
		dq.inFlight++
		timeout := d.core.CommandTimeout(d.Ledger.Now(), cmd.Attempt)
		go func() {
			resp := d.sendCommand(ctx, cmd, timeout)
			d.post(func(now time.Time) {
				dq.inFlight--
				d.core.ApplyCommandResponse(now, cmd, resp)
				d.dispatch(ctx, dq)
			})
		}()
	}
}

// sendCommand sends a command. The instance that makes the call gives the executor the timeout; its result may
// take longer to reach the loop.
func (d *Driver) sendCommand(ctx context.Context, cmd Command, timeout time.Duration) fleet.Response {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	switch {
	case cmd.Start != nil:
		return d.Start(ctx, cmd.Executor, *cmd.Start)
	case cmd.Stop != nil:
		return d.Stop(ctx, cmd.Executor, *cmd.Stop)
	}
	return d.Throttle(ctx, cmd.Executor, *cmd.Throttle)
}
