package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// Two pools of executors: a large one for batch work and a small one for reports, each with a queue of its own.
const (
	largePool, smallPool = "nightly", "reports"
	largeSize, smallSize = 45, 3
	host                 = "case.example"

	// The base load of the large pool, jobs a second of 16 tasks of about 6 s on 2.7 cores, uses three quarters of it.
	baseRate = 2.1
	// A burst has the dose of the site: 2.5 times the traffic of a class for 6.3 s.
	burstFactor = 2.5
	burstTime   = 6300 * time.Millisecond
	burstGap    = 700 * time.Millisecond
	bursts      = 6
	warmUp      = 3 * time.Second

	reportInterval = 2 * time.Second
	// finishTime is finish_s of the site: the wait of a report counts from then on, after the end of the traffic.
	finishTime  = 14 * time.Second
	maxWait     = 3 * time.Second
	observeTime = 26 * time.Second
)

// report is a job of the small pool, as its client and the executors have seen it.
type report struct {
	id          string
	accepted    time.Time
	begun, done time.Time
}

func playPools(f *fleet, trouble bool) (bool, error) {
	if err := f.startStore(); err != nil {
		return false, err
	}
	var mu sync.Mutex
	reports := make(map[string]*report)
	counts := make(map[string]int) // of the runs in the large pool
	observe := func(e *executor, task string, run int64, how string) {
		if e.service != smallPool {
			mu.Lock()
			counts[how]++
			mu.Unlock()
			return
		}
		f.record.printf("%s: %s run %d %s", e.id, task, run, how)
		id, _, _ := strings.Cut(task, ".")
		mu.Lock()
		defer mu.Unlock()
		if r := reports[id]; r != nil {
			if how == "begun" && r.begun.IsZero() {
				r.begun = time.Now()
			}
			if how == "done" {
				r.done = time.Now()
			}
		}
	}
	for pool, n := range map[string]int{largePool: largeSize, smallPool: smallSize} {
		if err := f.addExecutors(pool, n, observe); err != nil {
			return false, err
		}
	}
	route := func(name, prefix, service string, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "timeout_ms": 30000, "slo_ms": 1200, "priority": priority,
			"service": service, "max_attempts": 4, "stretch": 2.2,
		}
	}
	f.configure(1, []map[string]any{route("a", "/nightly/", largePool, 2), route("b", "/reports/", smallPool, 3)}, largePool, smallPool)
	if err := f.startInstances(); err != nil {
		return false, err
	}
	time.Sleep(warmUp)
	began := time.Now()
	trafficTime := bursts * (burstTime + burstGap)
	var wg sync.WaitGroup
	for _, at := range arrivals(trafficTime, trouble) {
		wg.Go(func() {
			time.Sleep(time.Until(began.Add(at)))
			f.submit(host, fmt.Sprintf("/nightly/%016x", rand.Uint64()), nightlyJob())
		})
	}
	for at := time.Second; at < trafficTime; at += reportInterval {
		wg.Go(func() {
			time.Sleep(time.Until(began.Add(at)))
			r := &report{id: fmt.Sprintf("%016x", rand.Uint64())}
			mu.Lock()
			reports[r.id] = r
			mu.Unlock()
			step := map[string]any{"count": 2, "cpu": 8000, "mem_mb": 8000, "estimate_ms": 1000}
			if f.submit(host, "/reports/"+r.id, map[string]any{"spec": "1000 8000", "steps": []any{step}}) {
				mu.Lock()
				r.accepted = time.Now()
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	end := latest(time.Now(), began.Add(trafficTime))
	f.record.printf("end of the traffic; the last burst is over")
	broken := false
	free := time.Time{} // since when less than half of the small pool is in use
	for time.Since(end) < observeTime {
		time.Sleep(100 * time.Millisecond)
		used := map[string]int64{}
		for _, e := range f.executors {
			used[e.service] += e.used()
		}
		if used[smallPool]*2 >= smallSize*16000 {
			free = time.Time{}
		} else if free.IsZero() {
			free = time.Now()
		}
		calm := end.Add(finishTime)
		if !free.IsZero() && free.After(calm) {
			calm = free
		}
		mu.Lock()
		waiting, first := 0, ""
		for _, r := range reports {
			if since := latest(calm, r.accepted); !free.IsZero() && !r.accepted.IsZero() && r.begun.IsZero() && time.Since(since) > maxWait {
				waiting++
				first = r.id
			}
		}
		mu.Unlock()
		if time.Since(end)%time.Second < 100*time.Millisecond {
			mu.Lock()
			f.record.printf("%.1f s after the traffic: %s uses %d of %d millicores (runs %v), %s %d of %d; reports that wait for over 3 s: %d %s",
				time.Since(end).Seconds(), largePool, used[largePool], largeSize*16000, counts, smallPool, used[smallPool], smallSize*16000, waiting, first)
			mu.Unlock()
		}
		if waiting > 0 && !broken {
			f.record.printf("LOST: for 3 s report %s has nothing running, %.1f s after the end of the traffic", first, time.Since(end).Seconds())
			broken = true
		}
	}
	late := 0
	for _, r := range reports {
		if !r.accepted.IsZero() && (r.begun.IsZero() || r.begun.Sub(r.accepted) > maxWait) {
			late++
		}
		if !r.begun.IsZero() {
			f.record.printf("report %s began %.1f s after its acceptance", r.id, r.begun.Sub(r.accepted).Seconds())
		}
	}
	f.record.printf("%d of %d reports began later than 3 s after their acceptance", late, len(reports))
	return broken, nil
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// arrivals returns when jobs of the large pool arrive.
func arrivals(length time.Duration, trouble bool) []time.Duration {
	var out []time.Duration
	for at := time.Duration(0); at < length; {
		rate := baseRate
		if trouble && at%(burstTime+burstGap) >= burstGap {
			rate *= burstFactor
		}
		at += time.Duration(rand.ExpFloat64() / rate * float64(time.Second))
		out = append(out, at)
	}
	return out
}

// nightlyJob returns a job of two steps of eight tasks.
func nightlyJob() map[string]any {
	cpu := 1000 + rand.IntN(3400)
	work := 3000 + rand.IntN(6000)
	step := map[string]any{"count": 8, "cpu": cpu, "mem_mb": 3000, "estimate_ms": work}
	second := map[string]any{"count": 8, "cpu": cpu, "mem_mb": 3000, "estimate_ms": work, "after": []int{0}}
	return map[string]any{"spec": fmt.Sprintf("%d %d", work, cpu), "steps": []any{step, second}}
}
