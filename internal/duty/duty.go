package duty

import (
	"context"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"go.uber.org/fx"
)

// Add runs a goroutine from the start to the stop of the application. On stop it cancels the
// context of run and waits for it to return.
func Add(lc fx.Lifecycle, logger log.Interface, name string, run func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				defer close(done)
				if err := run(ctx); err != nil {
					logger.WithField("duty", name).WithError(err).Error("background task failed")
				}
			}()
			return nil
		},
		OnStop: func(stop context.Context) error {
			cancel()
			select {
			case <-done:
				return nil
			case <-stop.Done():
				return errors.Newf("duty: background task %q did not return within the stop timeout", name)
			}
		},
	})
}
