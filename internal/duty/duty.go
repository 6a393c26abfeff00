package duty

import (
	"context"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"go.uber.org/fx"
)

// Add runs a goroutine from the start to the stop of the application.
func Add(lc fx.Lifecycle, logger log.Interface, name string, run func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				defer close(done)
				if err := run(ctx); err != nil {
					logger.WithField("duty", name).WithError(err).Error("duty ended")
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
				return errors.Newf("duty: %s did not end in time", name)
			}
		},
	})
}
