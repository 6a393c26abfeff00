package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// lateJobs is the number of jobs whose tasks crash their executors some time after the start.
const lateJobs = 3

// playLate hands in jobs whose only task crashes each executor 0.2 to 1.5 s after it has answered the start.
func playLate(rec *record, trouble bool) (verdict, error) {
	r, err := newRack(rec, smallSetup(12))
	defer r.close()
	if err != nil {
		return verdict{}, err
	}
	n := 100
	var mu sync.Mutex
	crashes, more := make(map[string]int), make(map[string]int)
	for _, x := range r.executors {
		x.downTime = deadlyDownTime
		x.started = func(x *executor, task string) {
			id := task[:strings.Index(task, ".")]
			if id >= jobID(n-100+lateJobs) || !trouble {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if crashes[id] >= maxCrashes {
				more[id]++
			}
			time.AfterFunc(200*time.Millisecond+time.Duration(rand.IntN(1300))*time.Millisecond, func() {
				x.mu.Lock()
				defer x.mu.Unlock()
				if x.down || x.running[task] == nil {
					return
				}
				mu.Lock()
				crashes[id]++
				rec.log("crash %d under %s; started %d times after %d crashes", crashes[id], task, more[id], maxCrashes)
				mu.Unlock()
				x.crash()
			})
		}
	}
	r.configure(3, route{name: "q", prefix: "/q/"}, route{name: "other", prefix: "/other/", priority: 1})
	if err := r.waitReady(); err != nil {
		return verdict{}, err
	}
	first := n
	traffic := func(d time.Duration) {
		for start := time.Now(); time.Since(start) < d; time.Sleep(500 * time.Millisecond) {
			r.submit("/other/"+jobID(first), `{"spec":"200","steps":[{"count":4,"cpu":1300,"mem_mb":500,"estimate_ms":200}]}`)
			first++
		}
	}
	traffic(3 * time.Second)
	// Those jobs are three of some 50 within three seconds.
	for range 45 {
		r.submit("/other/"+jobID(first), `{"spec":"100","steps":[{"count":1,"cpu":1300,"mem_mb":500,"estimate_ms":100}]}`)
		first++
		time.Sleep(50 * time.Millisecond)
	}
	for i := range lateJobs {
		if !r.submit("/q/"+jobID(i), `{"spec":"4000","steps":[{"count":1,"cpu":1300,"mem_mb":500,"estimate_ms":4000}]}`) {
			return verdict{}, errors.New("a job was not accepted")
		}
	}
	for start := time.Now(); time.Since(start) < 90*time.Second; {
		traffic(time.Second)
		ended := 0
		for i := range lateJobs {
			if _, text := r.call(r.instances[0], "GET", "/q/"+jobID(i), ""); strings.Contains(text, "failed") || strings.Contains(text, "completed") {
				ended++
			}
		}
		if ended == lateJobs {
			break
		}
	}
	mu.Lock()
	defer mu.Unlock()
	v := verdict{text: fmt.Sprintf("BUDGET: crashes %v, starts after %d crashes %v", crashes, maxCrashes, more)}
	for _, m := range more {
		v.broken = v.broken || m >= maxMoreStarts
	}
	return v, nil
}
