package main

import (
	"context"
	"fmt"
	"os"

	"github.com/apex/log"
	"github.com/apex/log/handlers/text"
	"github.com/urfave/cli/v3"

	"github.com/daisyrack/daisyrack/internal/entry"
	"github.com/daisyrack/daisyrack/internal/rack"
	"github.com/daisyrack/daisyrack/internal/setup"
	"github.com/daisyrack/daisyrack/pkg/config"
)

func settingsFlag() cli.Flag {
	return &cli.StringFlag{
		Name:     "settings",
		Aliases:  []string{"s"},
		Usage:    "JSON `FILE` with the settings of the process",
		Required: true,
	}
}

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:        "entry",
		Usage:       "run one entry instance",
		UsageText:   "daisyrack entry --settings entry-a1.json",
		Description: "SIGTERM drains: requests in progress finish, leases are handed over, exit status 0.",
		Flags: []cli.Flag{
			settingsFlag(),
			&cli.BoolFlag{Name: "announce", Usage: "put the instance on the list of the platform's stand-in"},
		},
		Action: runEntry,
	}
}

// newLogger returns a logger on standard error.
func newLogger(level string) *log.Logger {
	l := &log.Logger{Handler: text.New(os.Stderr), Level: log.InfoLevel}
	if parsed, err := log.ParseLevel(level); err == nil {
		l.Level = parsed
	}
	return l
}

// faulty prints one line for each fault and returns the error for exit status 2.
func faulty(faults []config.Violation) error {
	for _, f := range faults {
		fmt.Fprintln(os.Stderr, f)
	}
	return &statusError{status: exitFaulty, text: fmt.Sprintf("%d faults found", len(faults))}
}

// settingsError returns the error for settings that can not be read or are faulty.
func settingsError(faults []config.Violation, err error) error {
	if err != nil {
		return &statusError{status: exitFaulty, text: err.Error()}
	}
	if len(faults) > 0 {
		return faulty(faults)
	}
	return nil
}

func runEntry(ctx context.Context, cmd *cli.Command) error {
	settings, faults, err := setup.LoadEntry(cmd.String("settings"))
	if err := settingsError(faults, err); err != nil {
		return err
	}
	app, err := entry.New(settings, newLogger(settings.LogLevel))
	if err != nil {
		return err
	}
	if err := app.Start(ctx); err != nil {
		return err
	}
	fmt.Printf("http_address=%s peer_address=%s\n", app.Instance.HTTPAddress(), app.Instance.PeerAddress())
	if cmd.Bool("announce") {
		if err := rack.Announce(ctx, settings.PlatformURL, app); err != nil {
			app.Instance.Log.WithError(err).Warn("instance not announced")
		}
	}
	<-ctx.Done()
	return app.Stop(context.Background())
}
