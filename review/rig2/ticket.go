package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// cutTime is just below the 5.5 s for which the site file cuts a share of 0.17 of the executors off; here that is
	// 1 of 6.
	cutTime = 5400 * time.Millisecond

	// finishTime is bounds.finish_s; idleTime is how long a job may have nothing running then.
	finishTime = 14 * time.Second
	idleTime   = 3 * time.Second
)

// ordinaryJob has one task for each executor, so that the owner keeps connections to all of them.
const ordinaryJob = `{"spec":"200","steps":[{"count":6,"cpu":1300,"mem_mb":500,"estimate_ms":200,"anti_affinity":1}]}`

// playTicket cuts an executor off while a job is handed in whose step the policy service allows only there. When the
// executor is back, the start that had no answer is repeated with a ticket that has run out.
func playTicket(rec *record, trouble bool) (verdict, error) {
	size := smallSetup(6)
	size.tickets = true
	r, err := newRack(rec, size)
	defer r.close()
	if err != nil {
		return verdict{}, err
	}
	target := jobID(0)
	const allowed = "i-02"
	r.policy.allows = func(step, executor string) bool { return step != target+".0.0" || executor == allowed }
	r.configure(1, route{name: "q", prefix: "/q/", advice: true})
	if err := r.waitReady(); err != nil {
		return verdict{}, err
	}
	n := 1
	traffic := func(d time.Duration) {
		for start := time.Now(); time.Since(start) < d; time.Sleep(500 * time.Millisecond) {
			r.submit("/q/"+jobID(n), ordinaryJob)
			n++
		}
	}
	traffic(4 * time.Second)
	began := time.Now()
	p := r.executorProxies[2]
	if trouble {
		if err := p.cut(); err != nil {
			return verdict{}, err
		}
		rec.log("%s is cut off from all instances; it runs on", allowed)
	}
	if !r.submit("/q/"+target, `{"spec":"500","steps":[{"count":1,"cpu":1300,"mem_mb":500,"estimate_ms":500}]}`) {
		return verdict{}, errors.New("the job was not accepted")
	}
	traffic(cutTime - time.Since(began) - time.Second)
	time.Sleep(cutTime - time.Since(began))
	if trouble {
		if err := p.heal(); err != nil {
			return verdict{}, err
		}
		rec.log("the cut has ended after %s", time.Since(began).Round(time.Millisecond))
	}
	traffic(4 * time.Second)
	rec.log("end of the traffic")
	time.Sleep(finishTime)
	return r.judgeIdle(target, target+".", allowed)
}

// judgeIdle tells whether a job that is not completed has nothing running for idleTime, although the executors on
// which it may run are idle.
func (r *rack) judgeIdle(job, tasks string, allowed ...string) (verdict, error) {
	_, text := r.ask(r.instances[0], http.MethodGet, "/q/"+job, "")
	busy := 0
	for start := time.Now(); time.Since(start) < idleTime; time.Sleep(10 * time.Millisecond) {
		for _, x := range r.executors {
			if x.isRunning(job) {
				return verdict{text: "a task of the job runs"}, nil
			}
			busy = max(busy, x.runCount())
		}
	}
	starts := 0
	for _, x := range r.executors {
		starts += x.startCount(tasks)
	}
	_, last := r.ask(r.instances[1], http.MethodGet, "/q/"+job, "")
	if starts > 0 {
		return verdict{text: fmt.Sprintf("%d runs of %s were started; state %s", starts, tasks, last)}, nil
	}
	return verdict{broken: true, text: fmt.Sprintf(
		"LOST: %s after the end of the traffic the accepted job %s (%s, then %s) has had nothing running for %s and no run of %s was ever started; "+
			"%s may run it and have %d thousandths of a core each, with at most %d runs on any executor", finishTime, job, text, last, idleTime, tasks, names(allowed), executorCPU, busy,
	)}, nil
}

// names lists executors; none means all.
func names(executors []string) string {
	if len(executors) == 0 {
		return "all executors"
	}
	return strings.Join(executors, ", ")
}
