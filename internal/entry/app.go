package entry

import (
	"context"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/daisyrack/daisyrack/internal/duty"
	"github.com/daisyrack/daisyrack/internal/setup"
	"github.com/daisyrack/daisyrack/pkg/event"
	"github.com/daisyrack/daisyrack/pkg/peer"
)

const (
	startTimeout = 10 * time.Second

	// stopMargin is the time for stopping the background tasks after requests in progress have
	// finished.
	stopMargin = 15 * time.Second

	// leaveTimeout limits the announcement to other instances that this one has stopped.
	leaveTimeout = time.Second

	readHeaderTimeout = 5 * time.Second
	maxHeaderBytes    = 16 << 10
)

// App runs an Instance as an application that is started and stopped.
type App struct {
	Instance *Instance
	fx       *fx.App
}

// New returns an entry instance that listens on its addresses but has not started.
func New(settings setup.Entry, logger log.Interface) (*App, error) {
	a := &App{}
	a.fx = fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(settings, fx.Annotate(logger, fx.As(new(log.Interface)))),
		fx.Provide(NewInstance),
		fx.Invoke(registerTasks),
		fx.Populate(&a.Instance),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(settings.DrainTimeout()+stopMargin),
	)
	return a, errors.Wrap(a.fx.Err(), "entry: unable to assemble instance")
}

// Start starts the background tasks and the HTTP server.
func (a *App) Start(ctx context.Context) error {
	return a.fx.Start(ctx)
}

// Stop drains the instance: it finishes requests in progress, hands over its lease and stops the
// background tasks.
func (a *App) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, a.fx.StopTimeout())
	defer cancel()
	return a.fx.Stop(ctx)
}

// registerTasks registers the background tasks in the order in which they start. They stop in
// reverse order, so that a task stops after those that depend on it.
func registerTasks(lc fx.Lifecycle, inst *Instance) {
	server := &peer.Server{Handle: inst.handle}
	duty.Add(lc, inst.Log, "group commit", inst.GroupCommit.Run)
	duty.Add(lc, inst.Log, "peer server", func(ctx context.Context) error {
		return server.Serve(ctx, inst.security.Listener(inst.peerListener))
	})
	duty.Add(lc, inst.Log, "membership", inst.runMembership)
	duty.Add(lc, inst.Log, "instance list", inst.pollInstances)
	duty.Add(lc, inst.Log, "configuration", inst.ConfigWatcher.Run)
	duty.Add(lc, inst.Log, "lease", inst.Elector.Run)
	duty.Add(lc, inst.Log, "owner", inst.Owner.Run)
	duty.Add(lc, inst.Log, "routing", inst.Router.Run)
	duty.Add(lc, inst.Log, "dispatch", inst.Dispatcher.Run)
	duty.Add(lc, inst.Log, "sweep", inst.runSweep)
	addHTTP(lc, inst)
}

// addHTTP registers the HTTP server for clients and operators. On stop it drains requests in
// progress.
func addHTTP(lc fx.Lifecycle, inst *Instance) {
	server := &http.Server{
		Handler:           inst.API.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		BaseContext:       func(net.Listener) context.Context { return context.Background() },
	}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			inst.record(event.Event{Kind: event.InstanceStarted})
			go func() {
				if err := server.Serve(inst.httpListener); !errors.Is(err, http.ErrServerClosed) {
					inst.Log.WithError(err).Error("HTTP server failed")
				}
			}()
			return nil
		},
		OnStop: func(stop context.Context) error {
			inst.startDraining()
			ctx, cancel := context.WithTimeout(stop, inst.Settings.DrainTimeout())
			defer cancel()
			err := server.Shutdown(ctx)
			_ = inst.Router.Drain(ctx)
			inst.API.Drain(ctx)
			return errors.Wrap(err, "entry: requests in progress did not finish")
		},
	})
}

// startDraining makes the instance not ready and marks it as leaving in its heartbeats.
func (inst *Instance) startDraining() {
	inst.draining.Store(true)
	inst.membership.leave()
	inst.record(event.Event{Kind: event.DrainStarted})
	inst.Log.Info("draining")
}

// runMembership sends heartbeats until ctx ends and then announces that this instance has stopped.
func (inst *Instance) runMembership(ctx context.Context) error {
	err := inst.membership.run(ctx)
	leaveCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	inst.membership.announceLeave(leaveCtx)
	inst.PeerClient.Close()
	return err
}

// sweepInterval is the time between deletions of old at-most-once rows.
const sweepInterval = 10 * time.Minute

// runSweep periodically deletes old at-most-once rows. Only the owner of the first failure domain
// does this, since a sweep reads all rows.
func (inst *Instance) runSweep(ctx context.Context) error {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		if inst.Owner.Epoch() == 0 || inst.Settings.FailureDomain != slices.Min(inst.Settings.FailureDomains) {
			continue
		}
		if _, err := inst.Once.Sweep(ctx, time.Now()); err != nil {
			inst.Log.WithError(err).Debug("unable to delete old at-most-once rows")
		}
	}
}
