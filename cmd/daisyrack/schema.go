package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/daisyrack/daisyrack/internal/setup"
	"github.com/daisyrack/daisyrack/pkg/config"
)

var documentKinds = []string{config.KindService, config.KindBatch, config.KindGang, config.KindRoute, config.KindLimits}

func schemaCommand() *cli.Command {
	kinds := strings.Join(append(append([]string{}, documentKinds...), setup.Kinds()...), ", ")
	return &cli.Command{
		Name:        "schema",
		Usage:       "print the JSON Schema of a document or settings file",
		UsageText:   "daisyrack schema service",
		Description: "Kinds: " + kinds + ".",
		ArgsUsage:   "KIND",
		Action: func(_ context.Context, cmd *cli.Command) error {
			kind := cmd.Args().First()
			text, ok := config.Schema(kind)
			if !ok {
				text, ok = setup.Schema(kind)
			}
			if !ok {
				return &statusError{status: exitInvalid, text: fmt.Sprintf("no schema %q; the kinds are %s", kind, kinds)}
			}
			fmt.Print(string(text))
			return nil
		},
	}
}
