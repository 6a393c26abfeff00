package main

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// drainCutTime is just below the 5.5 s for which the site file cuts a share of 0.17 of the executors off; here
	// that is 1 of 16.
	drainCutTime = 5400 * time.Millisecond

	// handoverTime is the time from the SIGTERM of the owner to the cut.
	handoverTime = time.Second
)

// playDrain lets an executor drain and the owner shut down, as planned work, and then cuts the executor off.
func playDrain(rec *record, trouble bool) (verdict, error) {
	r, err := newRack(rec, smallSetup(16))
	defer r.close()
	if err != nil {
		return verdict{}, err
	}
	target, n := jobID(0), 1
	var mu sync.Mutex
	var first *executor
	twice := ""
	for _, x := range r.executors {
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
			r.submit("/other/"+jobID(n), `{"spec":"200","steps":[{"count":2,"cpu":1300,"mem_mb":500,"estimate_ms":200}]}`)
			n++
		}
	}
	traffic(3 * time.Second)
	if !r.submit("/q/"+target, `{"spec":"15000","steps":[{"count":1,"cpu":1300,"mem_mb":500,"estimate_ms":15000}]}`) {
		return verdict{}, errors.New("the job was not accepted")
	}
	traffic(2 * time.Second)
	x := r.runningOn(target)
	if x == nil {
		return verdict{}, errors.New("the task does not run")
	}
	x.drain()
	time.Sleep(500 * time.Millisecond)
	owner := r.owner()
	if owner == nil {
		return verdict{}, errors.New("the owner is not known")
	}
	r.terminate(owner)
	time.Sleep(handoverTime)
	if trouble {
		rec.log("%s is cut off from all instances; it runs on", x.id)
		x.proxy.crash()
	}
	time.Sleep(drainCutTime)
	if trouble {
		rec.log("the cut has ended")
		if err := x.proxy.restart(); err != nil {
			return verdict{}, err
		}
	}
	traffic(12 * time.Second)
	r.ask(r.instances[0], "GET", "/q/"+target, "")
	mu.Lock()
	defer mu.Unlock()
	if twice != "" {
		return verdict{broken: true, text: "TWICE: " + twice}, nil
	}
	return verdict{text: "no task ran twice at the same time"}, nil
}

// drain makes the executor report that it is draining.
func (x *executor) drain() {
	x.mu.Lock()
	x.draining = true
	x.mu.Unlock()
	x.rec.log("executor %s is draining", x.id)
	x.write(1)
}

// owner returns the instance that the owner's row names.
func (r *rack) owner() *instance {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	for _, n := range r.instances {
		if bytes.Contains(r.store.rows[[3]string{"cell", "cell", "owner"}].Value, []byte(n.name)) {
			return n
		}
	}
	return nil
}

// terminate sends SIGTERM to an instance and starts it again when its process has ended.
func (r *rack) terminate(n *instance) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r.rec.log("SIGTERM to %s, which owns the cell", n.name)
	_ = n.cmd.Process.Signal(syscall.SIGTERM)
	gone := n.gone
	go func() {
		<-gone
		select {
		case <-r.stop:
		default:
			_ = r.startInstance(n)
		}
	}()
}
