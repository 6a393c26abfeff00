package main

import (
	"errors"
	"time"
)

// playRoute hands in a job of two steps and removes its route while the first step runs.
func playRoute(rec *record, trouble bool) (verdict, error) {
	r, err := newRack(rec, smallSetup(6))
	defer r.close()
	if err != nil {
		return verdict{}, err
	}
	q, other := route{name: "q", prefix: "/q/"}, route{name: "other", prefix: "/other/", priority: 1}
	r.configure(3, q, other)
	if err := r.waitReady(); err != nil {
		return verdict{}, err
	}
	target, n := jobID(0), 1
	traffic := func(d time.Duration) {
		for start := time.Now(); time.Since(start) < d; time.Sleep(500 * time.Millisecond) {
			r.submit("/other/"+jobID(n), `{"spec":"200","steps":[{"count":3,"cpu":1300,"mem_mb":500,"estimate_ms":200}]}`)
			n++
		}
	}
	traffic(2 * time.Second)
	job := `{"spec":"1500,500","steps":[{"count":4,"cpu":1300,"mem_mb":500,"estimate_ms":1500},{"count":4,"cpu":1300,"mem_mb":500,"estimate_ms":500,"after":[0]}]}`
	if !r.submit("/q/"+target, job) {
		return verdict{}, errors.New("the job was not accepted")
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		r.configure(7, other)
	} else {
		r.configure(7, q, other)
	}
	traffic(6 * time.Second)
	rec.log("end of the traffic")
	time.Sleep(finishTime)
	v, err := r.judgeIdle(target, target+".0.1.")
	if err != nil || !trouble {
		return v, err
	}
	r.configure(12, q, other)
	time.Sleep(3 * time.Second)
	for _, x := range r.executors {
		if c := x.startCount(target + ".0.1."); c > 0 {
			rec.log("after the route was added again: %d runs of the second step on %s", c, x.id)
		}
	}
	r.ask(r.instances[0], "GET", "/q/"+target, "")
	return v, nil
}
