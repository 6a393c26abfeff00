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

	// stopMargin is added to the time for requests in progress, for the other duties.
	stopMargin = 15 * time.Second

	// farewellLimit bounds the leave message to the others.
	farewellLimit = time.Second

	readHeaderTimeout = 5 * time.Second
	maxHeaderBytes    = 16 << 10
)

// App runs an Instance as an application that is started and stopped.
type App struct {
	Instance *Instance
	fx       *fx.App
}

// New returns an entry instance that listens but has not started.
func New(settings setup.Entry, logger log.Interface) (*App, error) {
	a := &App{}
	a.fx = fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(settings, fx.Annotate(logger, fx.As(new(log.Interface)))),
		fx.Provide(NewInstance),
		fx.Invoke(register),
		fx.Populate(&a.Instance),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(settings.DrainTimeout()+stopMargin),
	)
	return a, errors.Wrap(a.fx.Err(), "entry: unable to assemble instance")
}

// Start starts all duties.
func (a *App) Start(ctx context.Context) error {
	return a.fx.Start(ctx)
}

// Stop drains the instance: requests in progress finish, leases are handed over.
func (a *App) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, a.fx.StopTimeout())
	defer cancel()
	return a.fx.Stop(ctx)
}

// register adds the duties in the order in which they start; they stop in the
// reverse order, so that a duty ends after those that need it.
func register(lc fx.Lifecycle, n *Instance) {
	server := &peer.Server{Handle: n.answer}
	duty.Add(lc, n.Log, "group commit", n.GroupCommit.Run)
	duty.Add(lc, n.Log, "peer server", func(ctx context.Context) error {
		return server.Serve(ctx, n.security.Listener(n.peerListener))
	})
	duty.Add(lc, n.Log, "membership", n.runMembers)
	duty.Add(lc, n.Log, "instance list", n.runList)
	duty.Add(lc, n.Log, "configuration", n.ConfigWatcher.Run)
	duty.Add(lc, n.Log, "lease", n.Elector.Run)
	duty.Add(lc, n.Log, "owner", n.Owner.Run)
	duty.Add(lc, n.Log, "routing", n.Router.Run)
	duty.Add(lc, n.Log, "dispatch", n.Dispatcher.Run)
	duty.Add(lc, n.Log, "sweep", n.runSweep)
	addHTTP(lc, n)
}

// addHTTP serves callers and operators; on stop requests in progress finish.
func addHTTP(lc fx.Lifecycle, n *Instance) {
	server := &http.Server{
		Handler:           n.API.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		BaseContext:       func(net.Listener) context.Context { return context.Background() },
	}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			n.record(event.Event{Kind: event.InstanceStarted})
			go func() {
				if err := server.Serve(n.httpListener); !errors.Is(err, http.ErrServerClosed) {
					n.Log.WithError(err).Error("HTTP server ended")
				}
			}()
			return nil
		},
		OnStop: func(stop context.Context) error {
			n.startDraining()
			ctx, cancel := context.WithTimeout(stop, n.Settings.DrainTimeout())
			defer cancel()
			err := server.Shutdown(ctx)
			_ = n.Router.Drain(ctx)
			n.API.Drain(ctx)
			return errors.Wrap(err, "entry: requests in progress did not finish")
		},
	})
}

func (n *Instance) startDraining() {
	n.draining.Store(true)
	n.members.leave()
	n.record(event.Event{Kind: event.DrainStarted})
	n.Log.Info("draining")
}

// runMembers sends heartbeats; at the end it says farewell.
func (n *Instance) runMembers(ctx context.Context) error {
	err := n.members.run(ctx)
	bye, cancel := context.WithTimeout(context.WithoutCancel(ctx), farewellLimit)
	defer cancel()
	n.members.farewell(bye)
	n.PeerClient.Close()
	return err
}

// sweepInterval is how often old at-most-once rows are looked for.
const sweepInterval = 10 * time.Minute

// runSweep deletes old at-most-once rows; only the owner of the first failure
// domain does, since a sweep reads all rows.
func (n *Instance) runSweep(ctx context.Context) error {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		if n.Owner.Epoch() == 0 || n.Settings.FailureDomain != slices.Min(n.Settings.FailureDomains) {
			continue
		}
		if _, err := n.Once.Sweep(ctx, time.Now()); err != nil {
			n.Log.WithError(err).Debug("old claims not deleted")
		}
	}
}
