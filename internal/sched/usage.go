package sched

import "context"

// runUsageWriter stores snapshots of the learned sizes. A failed write is not retried, since the
// next snapshot replaces it.
func (t *term) runUsageWriter(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case snapshot := <-t.usageSnapshots:
			if err := t.owner.PutObject(ctx, usageObjectName(t.owner.FailureDomain), snapshot); err != nil {
				t.owner.Log.WithError(err).Debug("unable to store learned sizes")
			}
		}
	}
}
