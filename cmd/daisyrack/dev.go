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
	devStartTimeout      = 30 * time.Second
	devDrainTimeout      = 60 * time.Second
	devRequestsPerSecond = 200
)

func devCommand() *cli.Command {
	return &cli.Command{
		Name:      "dev",
		Usage:     "run a whole rack in one process, with stand-ins and example documents",
		UsageText: "daisyrack dev --duration 15s",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "duration", Usage: "send load for `TIME`, then drain and print a verdict as JSON; 0 runs until it is stopped"},
			&cli.IntFlag{Name: "rate", Value: devRequestsPerSecond, Usage: "`REQUESTS` per second of the load"},
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
	docs, violations, err := config.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	if len(violations) > 0 {
		return nil, violationsError(violations)
	}
	return docs, nil
}

func runDev(ctx context.Context, cmd *cli.Command) error {
	docs, err := devDocuments(cmd.String("dir"))
	if err != nil {
		return err
	}
	c := &rack.Cluster{Size: rack.DefaultSize(), Log: newLogger(cmd.String("log-level"))}
	if err := c.Start(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	defer c.Close()
	startCtx, cancel := context.WithTimeout(ctx, devStartTimeout)
	defer cancel()
	if err := c.WaitReady(startCtx); err != nil {
		return errors.Wrap(err, "the rack did not become ready")
	}
	if err := c.Publish(startCtx, docs); err != nil {
		return err
	}
	printAddresses(c)
	if cmd.Duration("duration") == 0 {
		<-ctx.Done()
		return drain(c)
	}
	return runLoad(ctx, c, cmd.Duration("duration"), cmd.Int("rate"))
}

func printAddresses(c *rack.Cluster) {
	fmt.Println("platform", c.PlatformURL())
	for i, url := range c.EntryURLs() {
		fmt.Println(c.Entries[i].Instance.Settings.Name, url)
	}
}

func drain(c *rack.Cluster) error {
	ctx, cancel := context.WithTimeout(context.Background(), devDrainTimeout)
	defer cancel()
	return c.Drain(ctx)
}

// runLoad sends load for the given duration, drains the cluster and prints the
// verdict as the last line.
func runLoad(ctx context.Context, c *rack.Cluster, duration time.Duration, rate int) error {
	load := &rack.LoadGenerator{URLs: c.EntryURLs(), RequestsPerSecond: rate}
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	load.Run(ctx)
	drainErr := drain(c)
	verdict := c.Evaluate(load)
	if err := json.NewEncoder(os.Stdout).Encode(verdict); err != nil {
		return errors.Wrap(err, "unable to print verdict")
	}
	if drainErr != nil {
		return errors.Wrap(drainErr, "the rack did not drain")
	}
	if !verdict.Passed() {
		return &statusError{status: exitRejected, text: "the trial found a broken promise"}
	}
	return nil
}
