package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/daisyrack/daisyrack/platform"
)

// configReport is the output of config check in JSON.
type configReport struct {
	Findings []platform.Finding `json:"findings"`
	Changes  []platform.Change  `json:"changes"`
}

func configCommand() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "work with the operator's configuration of the users' platform",
		Commands: []*cli.Command{{
			Name:        "check",
			Usage:       "check a configuration; exit status 1 when there are findings, 2 when it is unreadable",
			UsageText:   "daisyrack config check --against in-force.json next.json",
			Description: "Differences from the configuration in force are told by meaning, and are no findings. Keys are never printed.",
			ArgsUsage:   "FILE",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "against", Usage: "tell the difference from the configuration in `FILE`"},
				&cli.StringFlag{Name: "format", Value: "text", Usage: "`FORMAT` of the output: text, json"},
			},
			Action: runConfigCheck,
		}},
	}
}

func runConfigCheck(_ context.Context, cmd *cli.Command) error {
	file, format := cmd.Args().First(), cmd.String("format")
	if cmd.Args().Len() != 1 || format != "text" && format != "json" {
		return &statusError{status: exitInvalid, text: "name one configuration, and text or json as format, see --help"}
	}
	source, err := readConfig(file)
	if err != nil {
		return err
	}
	report := configReport{Findings: []platform.Finding{}, Changes: []platform.Change{}}
	findings, err := platform.CheckConfig(source)
	if err != nil {
		return unreadable(file, err)
	}
	report.Findings = append(report.Findings, findings...)
	if against := cmd.String("against"); against != "" {
		inForce, err := readConfig(against)
		if err != nil {
			return err
		}
		findings, changes, err := platform.CompareConfigs(inForce, source)
		if err != nil {
			return unreadable(against, err)
		}
		report.Findings, report.Changes = append(report.Findings, findings...), append(report.Changes, changes...)
	}
	if err := report.print(format); err != nil {
		return err
	}
	if n := len(report.Findings); n > 0 {
		return &statusError{status: exitFailed, text: fmt.Sprintf("%d findings", n)}
	}
	return nil
}

func readConfig(file string) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, &statusError{status: exitInvalid, text: err.Error()}
	}
	defer func() { _ = f.Close() }()
	source, err := platform.ReadConfig(f)
	if err != nil {
		return nil, unreadable(file, err)
	}
	return source, nil
}

func unreadable(file string, err error) error {
	return &statusError{status: exitInvalid, text: file + ": " + err.Error()}
}

func (r *configReport) print(format string) error {
	if format == "json" {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(r)
	}
	for _, f := range r.Findings {
		fmt.Printf("%s: %s: %s\n", f.Kind, f.Path, f.Text)
	}
	for _, c := range r.Changes {
		fmt.Printf("change: %s: %s\n", c.Path, c.Text)
	}
	return nil
}
