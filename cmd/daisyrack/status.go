package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/daisyrack/daisyrack/internal/entry"
	"github.com/daisyrack/daisyrack/internal/sched"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:      "status",
		Usage:     "show instances, owners, jobs and workers",
		UsageText: "daisyrack status --entry http://10.0.0.1:7070 [--capacity]",
		Flags: clientFlags(
			&cli.BoolFlag{Name: "capacity", Usage: "show what is idle, why, and what is missing"},
			&cli.FloatFlag{Name: "core-hour", Usage: "price of an idle core in one hour, to show what idle hardware costs"},
			&cli.BoolFlag{Name: "workers", Usage: "show every worker"},
		),
		Action: runStatus,
		Commands: []*cli.Command{{
			Name:      "job",
			Usage:     "show one job and why its tasks wait",
			UsageText: "daisyrack status job --entry http://10.0.0.1:7070 NAME",
			ArgsUsage: "NAME",
			Flags:     clientFlags(),
			Action:    runJobStatus,
		}},
	}
}

func runStatus(ctx context.Context, cmd *cli.Command) error {
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	var text []byte
	if _, err := c.call(ctx, http.MethodGet, "/v1/status", nil, &text); err != nil {
		return err
	}
	if cmd.String("output") == "json" {
		return printRaw(text)
	}
	var s entry.Status
	if err := json.Unmarshal(text, &s); err != nil {
		return errors.Wrap(err, "unable to decode status")
	}
	switch {
	case cmd.Bool("capacity"):
		return printCapacity(s, cmd.Float("core-hour"))
	case cmd.Bool("workers"):
		return printWorkers(s)
	default:
		return printStatus(s)
	}
}

func newTable(header string) *tabwriter.Writer {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, header)
	return w
}

func printStatus(s entry.Status) error {
	w := newTable("INSTANCE\tDOMAIN\tSTATE\tREVISION\tEPOCH\tSTORE\tRECEIVED\tANSWERED\tREFUSED\tFAILED\tUNKNOWN")
	for _, i := range s.Instances {
		store := "up"
		if i.StoreDown {
			store = "down"
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\t%d\t%d\t%d\t%d\t%d\n", i.Name, i.FailureDomain, i.State,
			i.ConfigRevision, i.OwnedEpoch, store, i.Requests.Received, i.Requests.Answered,
			i.Requests.Refused, i.Requests.Failed, i.Requests.Unknown)
	}
	for _, name := range s.Unreachable {
		_, _ = fmt.Fprintf(w, "%s\t-\tunreachable\n", name)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Println()
	return printJobs(s)
}

// ownerStatuses returns the status of each reported owner of a failure domain.
func ownerStatuses(s entry.Status) []*sched.Status {
	var list []*sched.Status
	for _, i := range s.Instances {
		if i.Owner != nil {
			list = append(list, i.Owner)
		}
	}
	return list
}

func printJobs(s entry.Status) error {
	w := newTable("JOB\tKIND\tUSER\tCLASS\tDOMAIN\tSTATE\tRUNNING\tWAITING\tDONE\tREASON")
	for _, o := range ownerStatuses(s) {
		for _, j := range o.Jobs {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\n", j.Name, j.Kind, j.User, j.Class,
				o.FailureDomain, j.State, j.Tasks["running"], countWaiting(j), j.Done, j.Reason)
		}
	}
	return w.Flush()
}

// countWaiting returns the number of the job's tasks that do not run yet.
func countWaiting(j sched.JobStatus) int {
	return j.Tasks["uncertain"] + j.Tasks["pending"] + j.Tasks["waiting"] + j.Tasks["starting"]
}

func printWorkers(s entry.Status) error {
	w := newTable("WORKER\tDOMAIN\tRACK\tSTATE\tTASKS\tQUARANTINED")
	for _, o := range ownerStatuses(s) {
		for _, worker := range o.Workers {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%t\n", worker.Name, o.FailureDomain, worker.Rack,
				worker.State, worker.Tasks, worker.Quarantined)
		}
	}
	return w.Flush()
}

func runJobStatus(ctx context.Context, cmd *cli.Command) error {
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	var r sched.Reply
	path := "/v1/jobs/" + url.PathEscape(cmd.Args().First())
	if _, err := c.call(ctx, http.MethodGet, path, nil, &r); err != nil {
		return err
	}
	if r.Job == nil {
		return &statusError{status: exitRejected, text: r.Reason}
	}
	if cmd.String("output") == "json" {
		return printJSON(r.Job)
	}
	fmt.Printf("%s %s (%s of %s, class %s): %s\n", r.Job.Name, r.Job.State, r.Job.Kind, r.Job.User, r.Job.Class, r.Job.Reason)
	w := newTable("TASK\tSTATE\tWORKER\tREASON")
	for _, t := range r.Job.Waiting {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", t.ID, t.State, t.Worker, t.Reason)
	}
	return w.Flush()
}
