package main

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/daisyrack/daisyrack/internal/sched"
	"github.com/daisyrack/daisyrack/pkg/config"
)

func submitCommand() *cli.Command {
	return &cli.Command{
		Name:      "submit",
		Usage:     "run a batch or all-at-once job that is not published as a document",
		UsageText: "daisyrack submit --entry http://10.0.0.1:7070 trial.json",
		ArgsUsage: "FILE",
		Flags:     clientFlags(),
		Action:    runSubmit,
	}
}

func runSubmit(ctx context.Context, cmd *cli.Command) error {
	file := cmd.Args().First()
	text, err := os.ReadFile(file)
	if err != nil {
		return &statusError{status: exitInvalid, text: "unable to read the job: " + err.Error()}
	}
	if _, violations := config.Parse(file, text); len(violations) > 0 {
		return violationsError(violations)
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	var r sched.Reply
	if _, err := c.call(ctx, http.MethodPost, "/v1/jobs", text, &r); err != nil {
		return errors.Wrap(err, "it is not known whether the job was accepted; submit it again")
	}
	return reportReply(cmd, r)
}

func cancelCommand() *cli.Command {
	return &cli.Command{
		Name:      "cancel",
		Usage:     "cancel a submitted job",
		UsageText: "daisyrack cancel --entry http://10.0.0.1:7070 trial",
		ArgsUsage: "NAME",
		Flags:     clientFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			c, err := newClient(cmd)
			if err != nil {
				return err
			}
			var r sched.Reply
			path := "/v1/jobs/" + url.PathEscape(cmd.Args().First())
			if _, err := c.call(ctx, http.MethodDelete, path, nil, &r); err != nil {
				return errors.Wrap(err, "it is not known whether the job was cancelled; cancel it again")
			}
			return reportReply(cmd, r)
		},
	}
}

// reportReply prints a reply and returns an error with an exit status unless the
// job was accepted or exists.
func reportReply(cmd *cli.Command, r sched.Reply) error {
	if cmd.String("output") == "json" {
		if err := printJSON(r); err != nil {
			return err
		}
	} else {
		fmt.Printf("%s %s\n", r.Outcome, r.Reason)
	}
	switch r.Outcome {
	case sched.ReplyAccepted, sched.ReplyExists:
		return nil
	default:
		return &statusError{status: exitRejected}
	}
}
