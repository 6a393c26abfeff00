package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/daisyrack/daisyrack/internal/front"
	"github.com/daisyrack/daisyrack/pkg/config"
)

// noRevision is the value of --base-revision when the flag is not given.
const noRevision = -1

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check the documents of a directory; exit status 2 when there are faults",
		UsageText: "daisyrack check ./deploy",
		ArgsUsage: "DIR",
		Action: func(_ context.Context, cmd *cli.Command) error {
			docs, err := readDocuments(cmd)
			if err == nil {
				fmt.Printf("%d documents, no faults\n", len(docs))
			}
			return err
		},
	}
}

func readDocuments(cmd *cli.Command) ([]config.Document, error) {
	dir := cmd.Args().First()
	if dir == "" {
		return nil, &statusError{status: exitInvalid, text: "name the directory of the documents, see --help"}
	}
	docs, violations, err := config.ReadDir(dir)
	if err != nil {
		return nil, &statusError{status: exitInvalid, text: err.Error()}
	}
	if len(violations) > 0 {
		return nil, violationsError(violations)
	}
	return docs, nil
}

func publishCommand() *cli.Command {
	return &cli.Command{
		Name:      "publish",
		Usage:     "publish the documents of a directory, all of them or none",
		UsageText: "daisyrack publish --entry http://10.0.0.1:7070 ./deploy",
		ArgsUsage: "DIR",
		Flags: clientFlags(
			&cli.IntFlag{Name: "base-revision", Value: noRevision, Usage: "`REVISION` that the change was made from; without it the present one"},
			&cli.StringSliceFlag{Name: "remove", Usage: "remove the document `KIND/NAME` (kind job, route or limits)"},
			&cli.BoolFlag{Name: "dry-run", Usage: "only show the difference"},
			&cli.DurationFlag{Name: "wait", Value: 10 * time.Second, Usage: "wait up to `TIME` until the revision is in force everywhere"},
		),
		Action: runPublish,
	}
}

func runPublish(ctx context.Context, cmd *cli.Command) error {
	docs, err := readDocuments(cmd)
	if err != nil {
		return err
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	var current front.ConfigResponse
	if _, err := c.call(ctx, http.MethodGet, "/v1/config", nil, &current); err != nil {
		return err
	}
	removed := cmd.StringSlice("remove")
	printDifference(current, docs, removed)
	if cmd.Bool("dry-run") {
		return nil
	}
	p := config.Publication{Documents: docs, Removed: removed, BaseRevision: current.Revision}
	if base := cmd.Int("base-revision"); base != noRevision {
		p.BaseRevision = int64(base)
	}
	var res config.PublishResult
	if _, err := c.call(ctx, http.MethodPost, "/v1/publish", p, &res); err != nil {
		return errors.Wrap(err, "it is not known whether the documents were published; publish again")
	}
	return reportPublish(ctx, c, res, cmd.Duration("wait"))
}

// printDifference prints to standard error what a publication would change.
func printDifference(current front.ConfigResponse, docs []config.Document, removed []string) {
	published := make(map[string]config.VersionedDocument)
	for _, e := range current.Documents {
		published[e.ID()] = e
	}
	for _, doc := range docs {
		previous, found := published[doc.ID()]
		switch {
		case !found:
			fmt.Fprintf(os.Stderr, "+ %s\n", doc.ID())
		case !config.SameBody(previous.Body, doc.Body):
			fmt.Fprintf(os.Stderr, "~ %s (revision %d by %s)\n", doc.ID(), previous.Version, previous.Author)
		}
	}
	for _, id := range removed {
		fmt.Fprintf(os.Stderr, "- %s\n", id)
	}
}

func reportPublish(ctx context.Context, c *client, res config.PublishResult, wait time.Duration) error {
	switch res.Outcome {
	case config.Unchanged:
		fmt.Printf("nothing to change at revision %d\n", res.Revision)
		return nil
	case config.Published:
		fmt.Printf("published as revision %d\n", res.Revision)
		return waitForRevision(ctx, c, res.Revision, wait)
	case config.Invalid:
		return violationsError(res.Violations)
	case config.Conflicting:
		return conflictError(res.Conflicts)
	case config.Unknown:
		return &statusError{status: exitRejected, text: "it is not known whether the documents were published (" + res.Reason + "); publish again"}
	default:
		return &statusError{status: exitRejected, text: "nothing was published: " + res.Reason}
	}
}

func conflictError(list []config.Conflict) error {
	lines := []string{"nothing was published, since another operator was first:"}
	for _, c := range list {
		lines = append(lines, "  "+c.String())
	}
	lines = append(lines, "look at the present documents, adapt yours and publish again")
	return &statusError{status: exitRejected, text: strings.Join(lines, "\n")}
}
