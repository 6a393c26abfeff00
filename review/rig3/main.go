package main

import (
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

func main() {
	plays := map[string]func(f *fleet, trouble bool) (bool, error){"pools": playPools}
	play := plays[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "there is no case", os.Args[1])
		os.Exit(exitFailed)
	}
	os.Exit(run(play, os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(play func(f *fleet, trouble bool) (bool, error), folder string, trouble bool) int {
	w, err := os.Create(folder + "/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = w.Close() }()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println(dir)
	}
	f := &fleet{
		dir: dir, record: &record{began: time.Now(), w: w},
		client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 100}},
	}
	defer f.stop()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		f.stop()
		os.Exit(exitFailed)
	}()
	broken, err := play(f, trouble)
	switch {
	case err != nil:
		f.record.printf("the case could not run: %v", err)
		return exitFailed
	case broken:
		f.record.printf("the rule was broken")
		return exitBroken
	}
	f.record.printf("the rule held")
	return exitHeld
}
