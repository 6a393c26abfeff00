package main

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"
)

// playKind crashes an executor as it gets a start, and lets it come back under its ID as one of another kind.
func playKind(rec *record, trouble bool) (verdict, error) {
	r, err := newRack(rec, smallSetup(8))
	defer r.close()
	if err != nil {
		return verdict{}, err
	}
	target, n := jobID(0), 1
	var mu sync.Mutex
	crashed, wrong := false, ""
	for i, x := range r.executors {
		x.kind, x.downTime, x.nextKind = "b", deadlyDownTime, "b"
		if i == 2 {
			x.kind = "a"
		}
		x.started = func(x *executor, task string) {
			mu.Lock()
			defer mu.Unlock()
			if strings.HasPrefix(task, target) && x.kind != "a" {
				wrong = fmt.Sprintf("task %s, which requires the label a, was started on %s of kind %s", task, x.id, x.kind)
			}
		}
		x.crashes = func(task string) bool {
			mu.Lock()
			defer mu.Unlock()
			if !trouble || crashed || !strings.HasPrefix(task, target) {
				return false
			}
			crashed = true
			return true
		}
		x.write(1)
	}
	r.configure(3, route{name: "q", prefix: "/q/"})
	if err := r.waitReady(); err != nil {
		return verdict{}, err
	}
	traffic := func(d time.Duration) {
		for start := time.Now(); time.Since(start) < d; time.Sleep(500 * time.Millisecond) {
			r.submit("/q/"+jobID(n), `{"spec":"200","steps":[{"count":4,"cpu":1300,"mem_mb":500,"estimate_ms":200}]}`)
			n++
		}
	}
	traffic(4 * time.Second)
	if !r.submit("/q/"+target, `{"spec":"500","steps":[{"count":1,"cpu":1300,"mem_mb":500,"estimate_ms":500,"requires":"a"}]}`) {
		return verdict{}, errors.New("the job was not accepted")
	}
	traffic(12 * time.Second)
	r.ask(r.instances[0], "GET", "/q/"+target, "")
	mu.Lock()
	defer mu.Unlock()
	if wrong != "" {
		return verdict{broken: true, text: "ROUTE: " + wrong}, nil
	}
	return verdict{text: "the task was started on no executor without its label"}, nil
}
