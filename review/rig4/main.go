package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit states of a case.
const (
	held        = 0
	broken      = 1
	couldNotRun = 2
)

// longest is how long a play may take.
const longest = 115 * time.Second

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig4 CASE PROGRAM FOLDER")
		os.Exit(couldNotRun)
	}
	r, err := newRig(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNotRun)
	}
	cases := map[string]func(*rig) (int, error){"large-jobs": largeJobs, "paced-work": pacedWork, "late-pace": latePace, "due-tomorrow": dueTomorrow}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(couldNotRun)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(longest):
		}
		r.note("the play is ended")
		r.stop()
		os.Exit(couldNotRun)
	}()
	state, err := play(r)
	r.stop()
	if err != nil {
		r.note("%v", err)
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(state)
}
