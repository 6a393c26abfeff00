package main

import (
	"context"
	"fmt"
	"runtime"

	"github.com/urfave/cli/v3"
)

// version is set by the release build.
var version = "0.1.0-dev"

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:      "version",
		Usage:     "print the version",
		UsageText: "daisyrack version",
		Action: func(context.Context, *cli.Command) error {
			fmt.Println("daisyrack", version, runtime.Version())
			return nil
		},
	}
}
