package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/daisyrack/daisyrack/internal/back"
	"github.com/daisyrack/daisyrack/internal/plat"
	"github.com/daisyrack/daisyrack/internal/setup"
	"github.com/daisyrack/daisyrack/internal/work"
)

func standinCommand() *cli.Command {
	return &cli.Command{
		Name:      "standin",
		Usage:     "run a stand-in for an outside system, for trials and tests",
		UsageText: "daisyrack standin platform --settings platform.json",
		Commands: []*cli.Command{
			{Name: "platform", Usage: "table service, object store and instance list", Flags: []cli.Flag{settingsFlag()}, Action: runPlatform},
			{Name: "worker", Usage: "one worker", Flags: []cli.Flag{settingsFlag()}, Action: runWorker},
			{Name: "backend", Usage: "one backend server", Flags: []cli.Flag{settingsFlag()}, Action: runBackend},
		},
	}
}

// listen listens on address and prints the actual one, since port 0 lets the
// system choose.
func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err == nil {
		fmt.Printf("address=%s\n", l.Addr())
	}
	return l, err
}

// serve serves HTTP until ctx is done.
func serve(ctx context.Context, l net.Listener, h http.Handler) error {
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func runPlatform(ctx context.Context, cmd *cli.Command) error {
	settings, violations, err := setup.LoadPlatform(cmd.String("settings"))
	if err := settingsError(violations, err); err != nil {
		return err
	}
	p := &plat.Server{WritesPerSecond: settings.WritesPerSecond, ReadsPerSecond: settings.ReadsPerSecond}
	p.SetFaults(plat.Faults{ListLagMs: settings.ListLagMS})
	l, err := listen(settings.Address)
	if err != nil {
		return err
	}
	return serve(ctx, l, p.Handler())
}

func runWorker(ctx context.Context, cmd *cli.Command) error {
	settings, violations, err := setup.LoadWorker(cmd.String("settings"))
	if err := settingsError(violations, err); err != nil {
		return err
	}
	l, err := listen(settings.Address)
	if err != nil {
		return err
	}
	w := &work.Server{
		Name:          settings.Name,
		FailureDomain: settings.FailureDomain,
		Rack:          settings.Rack,
		Address:       l.Addr().String(),
		Capacity:      work.Resources(settings.Capacity),
		Seed:          settings.Seed,
		PlatformURL:   settings.PlatformURL,
	}
	workerErr := make(chan error, 1)
	go func() { workerErr <- w.Run(ctx) }()
	if err := serve(ctx, l, w.Handler()); err != nil {
		return err
	}
	return <-workerErr
}

func runBackend(ctx context.Context, cmd *cli.Command) error {
	settings, violations, err := setup.LoadBackend(cmd.String("settings"))
	if err := settingsError(violations, err); err != nil {
		return err
	}
	l, err := listen(settings.Address)
	if err != nil {
		return err
	}
	serviceTime := back.ServiceTime{Mean: time.Duration(settings.ServiceMS) * time.Millisecond}
	b := &back.Server{
		Name:           settings.Name,
		FailureDomain:  settings.FailureDomain,
		Address:        l.Addr().String(),
		Slots:          settings.Slots,
		MaxConnections: settings.Connections,
		Seed:           settings.Seed,
		PlatformURL:    settings.PlatformURL,
		Routes:         map[string]back.ServiceTime{"booking": serviceTime, "reorder": serviceTime, "report": serviceTime},
	}
	return b.Serve(ctx, l)
}
