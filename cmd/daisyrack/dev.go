package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/daisyrack/daisyrack/internal/rack"
	"github.com/daisyrack/daisyrack/pkg/config"
)

const (
	devStartLimit = 30 * time.Second
	devDrainLimit = 60 * time.Second
	devRate       = 200
)

func devCommand() *cli.Command {
	return &cli.Command{
		Name:      "dev",
		Usage:     "run a whole rack in one process, with stand-ins and example documents",
		UsageText: "daisyrack dev --duration 15s",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "duration", Usage: "send load for `TIME`, then drain and print a verdict as JSON; 0 runs until it is stopped"},
			&cli.IntFlag{Name: "rate", Value: devRate, Usage: "`REQUESTS` per second of the load"},
			&cli.StringFlag{Name: "dir", Usage: "publish the documents of `DIR` instead of the examples"},
			&cli.StringFlag{Name: "log-level", Value: "warn", Usage: "debug, info, warn or error"},
		},
		Action: runDev,
	}
}

func devDocuments(dir string) ([]config.Document, error) {
	if dir == "" {
		return rack.ExampleDocuments()
	}
	docs, faults, err := config.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	if len(faults) > 0 {
		return nil, faulty(faults)
	}
	return docs, nil
}

func runDev(ctx context.Context, cmd *cli.Command) error {
	docs, err := devDocuments(cmd.String("dir"))
	if err != nil {
		return err
	}
	r := &rack.Cluster{Size: rack.DefaultSize(), Log: newLogger(cmd.String("log-level"))}
	if err := r.Start(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	defer r.Close()
	start, cancel := context.WithTimeout(ctx, devStartLimit)
	defer cancel()
	if err := r.WaitReady(start); err != nil {
		return errors.Wrap(err, "the rack did not become ready")
	}
	if err := r.Publish(start, docs); err != nil {
		return err
	}
	printAddresses(r)
	if cmd.Duration("duration") == 0 {
		<-ctx.Done()
		return drain(r)
	}
	return tryOut(ctx, r, cmd.Duration("duration"), cmd.Int("rate"))
}

func printAddresses(r *rack.Cluster) {
	fmt.Println("platform", r.PlatformURL())
	for i, url := range r.EntryURLs() {
		fmt.Println(r.Entries[i].Instance.Settings.Name, url)
	}
}

func drain(r *rack.Cluster) error {
	ctx, cancel := context.WithTimeout(context.Background(), devDrainLimit)
	defer cancel()
	return r.Drain(ctx)
}

// tryOut sends load for some time, drains and prints the verdict as the last line.
func tryOut(ctx context.Context, r *rack.Cluster, duration time.Duration, rate int) error {
	load := &rack.LoadGenerator{URLs: r.EntryURLs(), RequestsPerSecond: rate}
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	load.Run(ctx)
	drainErr := drain(r)
	v := r.Evaluate(load)
	if err := json.NewEncoder(os.Stdout).Encode(v); err != nil {
		return errors.Wrap(err, "unable to print verdict")
	}
	if drainErr != nil {
		return errors.Wrap(drainErr, "the rack did not drain")
	}
	if !v.Passed() {
		return &statusError{status: exitNo, text: "the trial found a broken promise"}
	}
	return nil
}
