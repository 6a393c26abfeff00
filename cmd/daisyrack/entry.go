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

// newLogger returns a logger that writes to standard error, at level info if
// level is unknown.
func newLogger(level string) *log.Logger {
	l := &log.Logger{Handler: text.New(os.Stderr), Level: log.InfoLevel}
	if parsed, err := log.ParseLevel(level); err == nil {
		l.Level = parsed
	}
	return l
}

// violationsError prints one line per violation and returns an error with exit
// status 2.
func violationsError(violations []config.Violation) error {
	for _, f := range violations {
		fmt.Fprintln(os.Stderr, f)
	}
	return &statusError{status: exitInvalid, text: fmt.Sprintf("%d faults found", len(violations))}
}

// settingsError returns an error if the settings cannot be read or are invalid.
func settingsError(violations []config.Violation, err error) error {
	if err != nil {
		return &statusError{status: exitInvalid, text: err.Error()}
	}
	if len(violations) > 0 {
		return violationsError(violations)
	}
	return nil
}

func runEntry(ctx context.Context, cmd *cli.Command) error {
	settings, violations, err := setup.LoadEntry(cmd.String("settings"))
	if err := settingsError(violations, err); err != nil {
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
		if err := rack.RegisterInstance(ctx, settings.PlatformURL, app); err != nil {
			app.Instance.Log.WithError(err).Warn("instance not announced")
		}
	}
	<-ctx.Done()
	return app.Stop(context.Background())
}
