package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit statuses of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

// cases are the scripted cases; trouble is false if they are played without the disruption.
var cases = map[string]func(rec *record, trouble bool) (verdict, error){
	"lease":   playLease,
	"late":    playLate,
	"drain":   playDrain,
	"deadly":  playDeadly,
	"kind":    playKind,
	"waiting": playWaiting,
	"ticket":  playTicket,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE RECORD")
		os.Exit(failed)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(c func(rec *record, trouble bool) (verdict, error), path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer rec.close()
	// The processes end with this one, also if it is told to stop.
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan int, 1)
	go func() { done <- result(rec, c) }()
	select {
	case status := <-done:
		return status
	case <-stop:
		return failed
	}
}

func result(rec *record, c func(rec *record, trouble bool) (verdict, error)) int {
	v, err := c(rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.log("the case could not run: %v", err)
		fmt.Println(err)
		return failed
	case v.broken:
		rec.log("BROKEN: %s", v.text)
		fmt.Println("broken:", v.text)
		return broken
	}
	rec.log("HELD: %s", v.text)
	fmt.Println("held:", v.text)
	return held
}
