package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	waitingJobs = 4

	// waitingTime is bounds.visible_ms and 2 s more, after which a job that has not begun has to be counted.
	waitingTime = 5 * time.Second
)

// playWaiting loses the only executor with a label right before jobs are handed in that require it.
func playWaiting(rec *record, trouble bool) (verdict, error) {
	r, err := newRack(rec, smallSetup(8))
	defer r.close()
	if err != nil {
		return verdict{}, err
	}
	lost := r.executors[2]
	for _, x := range r.executors {
		x.kind = "b"
	}
	lost.kind = "a"
	for _, x := range r.executors {
		x.write(1)
	}
	r.configure(3, route{name: "q", prefix: "/q/"}, route{name: "other", prefix: "/other/", priority: 1})
	if err := r.waitReady(); err != nil {
		return verdict{}, err
	}
	n := 100
	traffic := func(d time.Duration) {
		for start := time.Now(); time.Since(start) < d; time.Sleep(500 * time.Millisecond) {
			r.submit("/other/"+jobID(n), `{"spec":"200","steps":[{"count":8,"cpu":1300,"mem_mb":500,"estimate_ms":200,"anti_affinity":1}]}`)
			n++
		}
	}
	traffic(4 * time.Second)
	if trouble {
		lost.mu.Lock()
		lost.down = true
		lost.mu.Unlock()
		if err := lost.proxy.cut(); err != nil {
			return verdict{}, err
		}
		rec.log("%s, the only executor with the label a, is lost for good; it answers nothing", lost.id)
		time.AfterFunc(3*heartbeat, func() { r.store.drop("servers", lost.id) })
	}
	accepted := 0
	for i := range waitingJobs {
		if r.submit("/q/"+jobID(i), `{"spec":"500","steps":[{"count":1,"cpu":1300,"mem_mb":500,"estimate_ms":500,"requires":"a"}]}`) {
			accepted++
		}
	}
	last := time.Now()
	traffic(waitingTime + 3*time.Second)
	rec.log("the jobs were accepted %s ago", time.Since(last).Round(time.Millisecond))
	begun := 0
	for i := range waitingJobs {
		for _, x := range r.executors {
			if x.startCount(jobID(i)) > 0 {
				begun++
			}
		}
		r.ask(r.instances[0], http.MethodGet, "/q/"+jobID(i), "")
	}
	var v verdict
	for _, in := range r.instances {
		status, text := r.ask(in, http.MethodGet, "/q/", "")
		var waiting int
		if _, err := fmt.Sscanf(text[strings.Index(text, ":")+1:], "%d", &waiting); status != http.StatusOK || err != nil {
			continue
		}
		if 2*waiting < accepted-begun {
			v = verdict{broken: true, text: fmt.Sprintf("MIXED: %s says that %d jobs wait; %d were accepted and %d of these have begun", in.name, waiting, accepted, begun)}
		}
	}
	if !v.broken {
		v.text = fmt.Sprintf("of %d accepted jobs %d have begun, and the others are counted", accepted, begun)
	}
	return v, nil
}
