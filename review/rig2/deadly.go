package main

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// deadlyDownTime is how long an executor is down that a task has crashed: "back after some seconds".
	deadlyDownTime = 3 * time.Second

	// maxCrashes is the number of executors that may crash under a task, and maxMoreStarts the number of starts after
	// that from which the rule is broken.
	maxCrashes    = 3
	maxMoreStarts = 3

	deadlyTime = 60 * time.Second
)

// playDeadly hands in a job whose only task crashes each executor that starts it, before the start is answered.
func playDeadly(rec *record, trouble bool) (verdict, error) {
	r, err := newRack(rec, smallSetup(8))
	defer r.close()
	if err != nil {
		return verdict{}, err
	}
	target, n := jobID(0), 1
	var mu sync.Mutex
	crashes, more := 0, 0
	for _, x := range r.executors {
		x.downTime = deadlyDownTime
		x.crashes = func(task string) bool {
			if !trouble || !strings.HasPrefix(task, target) {
				return false
			}
			mu.Lock()
			defer mu.Unlock()
			if crashes >= maxCrashes {
				more++
			}
			crashes++
			rec.log("crash %d under the task; started %d times after %d crashes", crashes, more, maxCrashes)
			return true
		}
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
	if !r.submit("/q/"+target, `{"spec":"500","steps":[{"count":1,"cpu":1300,"mem_mb":500,"estimate_ms":500}]}`) {
		return verdict{}, errors.New("the job was not accepted")
	}
	for start := time.Now(); time.Since(start) < deadlyTime; {
		traffic(time.Second)
		_, text := r.ask(r.instances[0], "GET", "/q/"+target, "")
		if strings.Contains(text, "failed") || strings.Contains(text, "completed") {
			break
		}
	}
	mu.Lock()
	defer mu.Unlock()
	text := fmt.Sprintf("%d executors crashed under the task; it was started %d times more after %d had", crashes, more, maxCrashes)
	return verdict{broken: more >= maxMoreStarts, text: "BUDGET: " + text}, nil
}
