// Command daisyrack runs the instances of the cluster scheduler, the stand-ins
// for its environment and the operators' commands.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// Exit statuses: exitFailed is a general error, exitInvalid stands for invalid
// arguments, documents or settings, and exitRejected for a request that was not
// carried out or not confirmed, or a verdict that did not pass.
const (
	exitFailed   = 1
	exitInvalid  = 2
	exitRejected = 3
)

// statusError is an error with its own exit status.
type statusError struct {
	status int
	text   string
}

// Error returns the message for the operator; if empty, nothing is printed.
func (e *statusError) Error() string {
	return e.text
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args))
}

// run runs one command and returns the exit status.
func run(ctx context.Context, args []string) int {
	err := newCommand().Run(ctx, args)
	if err == nil {
		return 0
	}
	if text := err.Error(); text != "" {
		fmt.Fprintln(os.Stderr, "daisyrack: "+text)
	}
	var status *statusError
	if errors.As(err, &status) {
		return status.status
	}
	return exitFailed
}

func newCommand() *cli.Command {
	return &cli.Command{
		Name:                  "daisyrack",
		Usage:                 "cluster scheduler for unlike workloads",
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			entryCommand(),
			instanceCommand(),
			devCommand(),
			standinCommand(),
			checkCommand(),
			configCommand(),
			publishCommand(),
			submitCommand(),
			cancelCommand(),
			statusCommand(),
			timelineCommand(),
			schemaCommand(),
			versionCommand(),
		},
	}
}
