package main

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// zoneCutTime is just below the 6.4 s for which the site file cuts a zone off, crashedTime how long an executor is
	// down.
	zoneCutTime = 6300 * time.Millisecond
	crashedTime = 3 * time.Second
)

// playLease crashes an executor of zone c as it gets a start. The start is repeated to its next life, with the end of
// the lease on the clock of the former one. Then zone c is cut off.
func playLease(rec *record, trouble bool) (verdict, error) {
	r, err := newRack(rec, setup{zones: []string{"a", "b", "a"}, executors: 9, contactMs: 4000, applyMs: 3000})
	defer r.close()
	if err != nil {
		return verdict{}, err
	}
	target, n := jobID(0), 1
	var mu sync.Mutex
	var first *executor
	crashed, twice := false, ""
	for _, x := range r.executors {
		x.downTime = crashedTime
		x.crashes = func(task string) bool {
			mu.Lock()
			defer mu.Unlock()
			if crashed || !trouble || !strings.HasPrefix(task, target) || x.zone != "c" {
				return false
			}
			crashed = true
			return true
		}
		x.started = func(x *executor, task string) {
			mu.Lock()
			defer mu.Unlock()
			if !strings.HasPrefix(task, target) {
				return
			}
			if first != nil && first != x && first.isRunning(target) {
				twice = fmt.Sprintf("task %s was started on %s while it runs on %s, which is up", task, x.id, first.id)
				rec.log("%s", twice)
			}
			first = x
		}
	}
	r.configure(3, route{name: "q", prefix: "/q/"}, route{name: "other", prefix: "/other/", priority: 1})
	if err := r.waitReady(); err != nil {
		return verdict{}, err
	}
	traffic := func(d time.Duration) {
		for start := time.Now(); time.Since(start) < d; time.Sleep(500 * time.Millisecond) {
			r.submit("/other/"+jobID(n), `{"spec":"200","steps":[{"count":4,"cpu":1300,"mem_mb":500,"estimate_ms":200,"requires":"r0-1"}]}`)
			n++
		}
	}
	traffic(6 * time.Second)
	job := `{"spec":"14000","steps":[{"count":1,"cpu":1300,"mem_mb":500,"estimate_ms":12000,"affinity":"r2-1"}]}`
	if !r.submit("/q/"+target, job) {
		return verdict{}, errors.New("the job was not accepted")
	}
	traffic(crashedTime + time.Second)
	if trouble {
		x := r.runningOn(target)
		if x == nil || x.zone != "c" {
			return verdict{}, errors.New("the task does not run in zone c")
		}
		x.waitHeld()
		rec.log("zone c is cut off from the others; it runs on")
		r.cutZone("c")
	}
	began := time.Now()
	traffic(zoneCutTime - time.Second)
	time.Sleep(zoneCutTime - time.Since(began))
	if trouble {
		if err := r.healZone("c"); err != nil {
			return verdict{}, err
		}
		rec.log("the cut has ended")
	}
	traffic(10 * time.Second)
	r.ask(r.instances[0], "GET", "/q/"+target, "")
	mu.Lock()
	defer mu.Unlock()
	if twice != "" {
		return verdict{broken: true, text: "TWICE: " + twice}, nil
	}
	return verdict{text: "no task ran twice at the same time"}, nil
}

// runningOn returns the executor on which a task of the job runs.
func (r *rack) runningOn(job string) *executor {
	for _, x := range r.executors {
		if x.isRunning(job) {
			return x
		}
	}
	return nil
}

// waitHeld waits until the executor has held a call for holdWait.
func (x *executor) waitHeld() {
	began := time.Now()
	for time.Since(began) < 10*time.Second {
		x.mu.Lock()
		held := x.heldAt
		x.mu.Unlock()
		if held.After(began) && time.Since(held) >= holdWait {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// cutZone cuts the executors of a zone off from the instances and the store: connections are reset, new ones refused.
func (r *rack) cutZone(zone string) {
	for _, x := range r.executors {
		if x.zone != zone {
			continue
		}
		x.mu.Lock()
		x.isolated = true
		x.mu.Unlock()
		x.proxy.crash()
		time.AfterFunc(3*heartbeat, func() {
			x.mu.Lock()
			defer x.mu.Unlock()
			if x.isolated {
				r.store.drop("servers", x.id)
			}
		})
	}
}

func (r *rack) healZone(zone string) error {
	for _, x := range r.executors {
		if x.zone != zone {
			continue
		}
		if err := x.proxy.restart(); err != nil {
			return err
		}
		x.mu.Lock()
		x.isolated = false
		x.mu.Unlock()
		x.write(1)
	}
	return nil
}
