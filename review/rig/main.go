package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE PROGRAM FOLDER")
		os.Exit(unable)
	}
	cases := map[string]func(*rig) int{"route-removed": routeRemoved, "silent-store": silentStore, "large-progress": largeProgress, "periodic": periodic}
	play := cases[os.Args[1]]
	out, err := os.Create(filepath.Join(os.Args[3], "record.txt"))
	if play == nil || err != nil {
		fmt.Fprintln(os.Stderr, "no such case, or no folder for its record:", err)
		os.Exit(unable)
	}
	dir, err := os.MkdirTemp("", "review-rig-")
	if err != nil {
		os.Exit(unable)
	}
	r := &rig{dir: dir, program: os.Args[2], trouble: os.Getenv("TROUBLE") != "0", begin: time.Now(), out: out, noted: make(map[string]time.Time)}
	state := play(r)
	r.stopAll()
	r.record("exit state %d", state)
	time.Sleep(300 * time.Millisecond)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	os.Exit(state)
}
