package sched

import "context"

// runObjects writes the learned sizes; one that fails is replaced by the next.
func (t *term) runObjects(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case text := <-t.objects:
			if err := t.owner.PutObject(ctx, usageObject(t.owner.FailureDomain), text); err != nil {
				t.owner.Log.WithError(err).Debug("learned sizes not saved")
			}
		}
	}
}
