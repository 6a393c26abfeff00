package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/urfave/cli/v3"

	"github.com/daisyrack/daisyrack/internal/logs"
	"github.com/daisyrack/daisyrack/platform"
)

func instanceCommand() *cli.Command {
	return &cli.Command{
		Name:  "instance",
		Usage: "run one instance on the users' platform",
		Description: "The settings file is named by " + platform.SettingsVariable + ". " +
			"SIGTERM hands the cell over and finishes requests in progress; SIGHUP reads the settings again.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "log-level", Value: "info", Usage: "least `LEVEL` of log lines: debug, info, warn, error"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings file and exit"},
		},
		Action: runInstance,
	}
}

func runInstance(ctx context.Context, cmd *cli.Command) error {
	level, err := log.ParseLevel(cmd.String("log-level"))
	if err != nil {
		return &statusError{status: exitInvalid, text: err.Error()}
	}
	// Without a receiver SIGHUP ends the process, also during the start and the shutdown. It is therefore
	// received until the process ends.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	path := platform.SettingsPath()
	settings, violations, err := platform.LoadSettings(path)
	if err != nil {
		return &statusError{status: exitInvalid, text: err.Error()}
	}
	for _, f := range violations {
		fmt.Fprintln(os.Stderr, f)
	}
	if len(violations) > 0 {
		return &statusError{status: exitInvalid, text: fmt.Sprintf("%d faults found", len(violations))}
	}
	if cmd.Bool("check") {
		return nil
	}
	out := logs.NewWriter(os.Stdout)
	defer out.Close()
	logger := (&log.Logger{Handler: json.New(out), Level: level}).WithField("instance", settings.Instance)
	app, err := platform.NewApp(settings, rand.Uint64(), logger)
	if err != nil {
		return err
	}
	if err := app.Start(ctx); err != nil {
		return err
	}
	logger.WithField("version", version).WithField("address", settings.IngressAddress).
		WithField("cpu_millis", settings.CPUMillis).WithField("memory_mb", settings.MemoryMB).WithField("link_mbit", settings.LinkMbit).Info("instance started")
	waitForStop(ctx, reload, app, path)
	err = app.Stop()
	logger.WithError(err).Info("instance stopped")
	return nil
}

// waitForStop waits until ctx is done and reloads the settings whenever reload receives a signal.
func waitForStop(ctx context.Context, reload <-chan os.Signal, app *platform.App, path string) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
			app.Reload(path)
		}
	}
}
