package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// dueJobs is the number of jobs that are due tomorrow, handInClients that of the clients that hand them in.
	dueJobs       = 28_000
	handInClients = 40
	// sampleJobs is the number of them that clients ask for.
	sampleJobs = 60
	// memoryMB is memory_mb of the settings.
	memoryMB     = 284
	memoryPeriod = 20 * time.Millisecond
	// retries is the number of repetitions of a request, as in the site file.
	retries = 4
)

// limitMemory kills processes that exceed memory_mb, as the users' platform does. It counts only memory that is not
// backed by a file.
func (r *rig) limitMemory() {
	for !r.isEnding() {
		time.Sleep(memoryPeriod)
		for _, i := range r.instances {
			i.mu.Lock()
			if i.cmd != nil && i.cmd.ProcessState == nil {
				kb := anonymousKB(i.cmd.Process.Pid)
				i.mostKB = max(i.mostKB, kb)
				if kb > memoryMB<<10 {
					r.note("%s has %d MB of memory and is killed: memory_mb is %d", i.name, kb>>10, memoryMB)
					_ = i.cmd.Process.Signal(syscall.SIGKILL)
				}
			}
			i.mu.Unlock()
		}
	}
}

// anonymousKB returns the resident memory of a process that is not backed by a file.
func anonymousKB(pid int) int {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(text) {
		var kb int
		if n, _ := fmt.Sscanf(string(line), "RssAnon: %d kB", &kb); n == 1 {
			return kb
		}
	}
	return 0
}

// noteMemory records the most memory that the processes had since the last time.
func (r *rig) noteMemory() {
	for _, i := range r.instances {
		i.mu.Lock()
		r.note("%s had %d MB of memory at most; %d processes ended by themselves or by their memory", i.name, i.mostKB>>10, len(i.ends))
		i.mostKB = 0
		i.mu.Unlock()
	}
}

// dueJob is a job of ordinary size that is due tomorrow: its spec has 4,000 bytes, and it has two steps.
func dueJob() []byte {
	j := jobBody{Spec: strings.Repeat("spec", 1000), MaxRuns: 1, StartAtMs: time.Now().Add(24 * time.Hour).UnixMilli(), PeriodMs: 1000}
	for i := range 2 {
		s := step{Count: 8, CPU: 500, MemMB: 256, EstimateMs: 900}
		if i > 0 {
			s.After = []int{i - 1}
		}
		j.Steps = append(j.Steps, s)
	}
	body, _ := json.Marshal(j)
	return body
}

// dueTomorrow hands in many jobs that are due tomorrow. Then the owner is stopped as planned, and another takes over.
func dueTomorrow(r *rig) (int, error) {
	r.workOf = func(string, order) time.Duration { return 0 }
	r.store.put("op", "config", []byte(largeConfig))
	zones := []string{"a", "b", "c"}
	for i := range 6 {
		if err := r.addExecutor(fmt.Sprintf("i-%02d", i), zones[i%3], fmt.Sprintf("r%d-0", i%3+1)); err != nil {
			return couldNotRun, err
		}
	}
	for _, zone := range zones {
		r.addInstance(zone)
	}
	if err := r.startAll(); err != nil {
		return couldNotRun, err
	}
	go r.limitMemory()
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	var accepted []string
	var clients sync.WaitGroup
	for range handInClients {
		clients.Go(func() {
			for range dueJobs / handInClients {
				path := "/b/" + newID()
				if status, _ := r.submit(path, dueJob()); status == http.StatusOK {
					mu.Lock()
					accepted = append(accepted, path)
					mu.Unlock()
				}
			}
		})
	}
	clients.Wait()
	r.note("%d jobs are accepted", len(accepted))
	time.Sleep(3 * time.Second)
	r.noteMemory()
	if r.trouble {
		owner := r.owner()
		if owner == nil {
			return couldNotRun, fmt.Errorf("no instance owns the cell")
		}
		owner.restart()
	}
	time.Sleep(finishTime)
	r.noteMemory()
	rand.Shuffle(len(accepted), func(i, k int) { accepted[i], accepted[k] = accepted[k], accepted[i] })
	unanswered := r.askAll(accepted[:min(len(accepted), sampleJobs)])
	r.noteMemory()
	r.note("%d of %d accepted jobs have no answer", unanswered, min(len(accepted), sampleJobs))
	if unanswered > 0 {
		return broken, nil
	}
	return held, nil
}

// askAll asks for the state of jobs and returns how many are not known or get no answer in time.
func (r *rig) askAll(paths []string) int {
	unanswered := 0
	var mu sync.Mutex
	var clients sync.WaitGroup
	for _, path := range paths {
		clients.Go(func() {
			for range 1 + retries {
				if status, _ := r.ask(http.MethodGet, path, nil); status == http.StatusOK {
					return
				}
				time.Sleep(clientPause)
			}
			mu.Lock()
			defer mu.Unlock()
			unanswered++
		})
	}
	clients.Wait()
	return unanswered
}
