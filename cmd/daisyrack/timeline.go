package main

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/daisyrack/daisyrack/pkg/event"
)

var timelineFilters = []string{"job", "request", "worker", "instance", "backend", "kind"}

func timelineCommand() *cli.Command {
	var flags []cli.Flag
	for _, name := range timelineFilters {
		flags = append(flags, &cli.StringFlag{Name: name, Usage: "only events of this " + name})
	}
	flags = append(flags, &cli.BoolFlag{Name: "chrome", Usage: "print Chrome trace JSON"})
	return &cli.Command{
		Name:      "timeline",
		Usage:     "show the events of all instances in order",
		UsageText: "daisyrack timeline --entry http://10.0.0.1:7070 --job trials",
		Flags:     clientFlags(flags...),
		Action:    runTimeline,
	}
}

func runTimeline(ctx context.Context, cmd *cli.Command) error {
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	query := url.Values{}
	for _, name := range timelineFilters {
		if v := cmd.String(name); v != "" {
			query.Set(name, v)
		}
	}
	if cmd.Bool("chrome") {
		query.Set("format", "chrome")
		var text []byte
		if _, err := c.call(ctx, http.MethodGet, "/v1/events?"+query.Encode(), nil, &text); err != nil {
			return err
		}
		_, err = os.Stdout.Write(text)
		return err
	}
	var response struct {
		Events []event.Event `json:"events"`
	}
	if _, err := c.call(ctx, http.MethodGet, "/v1/events?"+query.Encode(), nil, &response); err != nil {
		return err
	}
	if cmd.String("output") == "json" {
		return printJSON(response.Events)
	}
	return printEvents(response.Events)
}

func printEvents(events []event.Event) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	for _, e := range events {
		at := event.WallTime(e.Time).UTC().Format("15:04:05.000")
		duration := ""
		if e.DurationUS > 0 {
			duration = (time.Duration(e.DurationUS) * time.Microsecond).String()
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s%s%s\t%s%s\t%s\t%s\n", at, e.Instance, e.Kind,
			e.Request, e.Job, taskSuffix(e), e.Worker, e.Backend, duration, e.Detail)
	}
	return w.Flush()
}

func taskSuffix(e event.Event) string {
	if e.Task == "" {
		return ""
	}
	return " " + e.Task
}
