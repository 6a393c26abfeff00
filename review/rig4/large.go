package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const largeConfig = `{"version":1,"routes":[
{"name":"watch","host":"h.example","path_prefix":"/w/","kind":"non_idempotent","timeout_ms":3000,"slo_ms":2500,"priority":1,
"service":"pool","max_attempts":4,"stretch":2.2},
{"name":"batch","host":"h.example","path_prefix":"/b/","kind":"non_idempotent","timeout_ms":3000,"slo_ms":1200,"priority":2,
"service":"pool","max_attempts":4,"stretch":2.2}],
"services":[{"name":"pool","max_conns":64}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144}}`

const (
	largeExecutors = 24
	largeClients   = 120
	largePhases    = 6
	// slowFactor and slowTime are those of platform_slow in the site file.
	slowFactor = 60
	slowTime   = 4500 * time.Millisecond
	// lastingStarts is the number of tasks of the lasting job that have started one after another before that.
	lastingStarts = 16
	// clientPause is how long a client waits after an answer, finishPause the time between two ends of tasks.
	clientPause = 800 * time.Millisecond
	finishPause = 400 * time.Millisecond
	// The rule counts three ends on each of two machines.
	maxEnds     = 3
	minMachines = 2
)

type step struct {
	Count      int    `json:"count"`
	CPU        int    `json:"cpu"`
	MemMB      int    `json:"mem_mb"`
	EstimateMs int    `json:"estimate_ms"`
	After      []int  `json:"after,omitempty"`
	Perpetual  bool   `json:"perpetual,omitempty"`
	Image      string `json:"image,omitempty"`
	Fills      bool   `json:"fills,omitempty"`
	TargetMs   int    `json:"target_ms,omitempty"`

	AntiAffinity int `json:"anti_affinity,omitempty"`
}

type jobBody struct {
	Spec      string `json:"spec"`
	Steps     []step `json:"steps"`
	MaxRuns   int    `json:"max_runs,omitempty"`
	StartAtMs int64  `json:"start_at_ms,omitempty"`
	PeriodMs  int64  `json:"period_ms,omitempty"`
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// largeJob is a job of 64 steps with a spec of 4,000 bytes that is due tomorrow, so that nothing of it runs.
func largeJob() []byte {
	j := jobBody{Spec: strings.Repeat("spec", 1000), MaxRuns: 1, StartAtMs: time.Now().Add(24 * time.Hour).UnixMilli(), PeriodMs: 1000}
	for i := range 64 {
		s := step{Count: 1, CPU: 500, MemMB: 256, EstimateMs: 900, Image: fmt.Sprintf("images/%02d/", i) + strings.Repeat("0123456789", 18)}
		for k := range i {
			s.After = append(s.After, k)
		}
		j.Steps = append(j.Steps, s)
	}
	body, _ := json.Marshal(j)
	return body
}

// largeJobs hands in large jobs while the store is slow and a lasting job gets one executor after another.
func largeJobs(r *rig) (int, error) {
	r.workOf = func(string, order) time.Duration { return 0 }
	r.store.put("op", "config", []byte(largeConfig))
	zones := []string{"a", "b", "c"}
	for i := range largeExecutors {
		if err := r.addExecutor(fmt.Sprintf("i-%02d", i), zones[i%3], fmt.Sprintf("r%d-%d", i%3+1, i/24)); err != nil {
			return couldNotRun, err
		}
	}
	for _, zone := range zones {
		r.addInstance(zone)
	}
	if err := r.startAll(); err != nil {
		return couldNotRun, err
	}
	time.Sleep(2 * time.Second)
	for phase := range largePhases {
		if err := r.largePhase(phase); err != nil {
			return couldNotRun, err
		}
	}
	r.note("the largest transaction had %d bytes", r.store.largest)
	r.note("the body of a large job has %d bytes", len(largeJob()))
	return r.countEnds(), nil
}

// countEnds returns whether processes ended by themselves three times on each of two machines.
func (r *rig) countEnds() int {
	machines := 0
	for _, i := range r.instances {
		i.mu.Lock()
		r.note("%s: %d processes ended by themselves", i.name, len(i.ends))
		if len(i.ends) >= maxEnds {
			machines++
		}
		i.mu.Unlock()
	}
	if machines >= minMachines {
		return broken
	}
	return held
}

// largePhase fills the executors, hands in a lasting job that gets them one by one, and then large jobs while the store
// is slow.
func (r *rig) largePhase(phase int) error {
	filler, lasting := newID(), newID()
	fill, _ := json.Marshal(jobBody{Spec: "fill", Steps: []step{{Count: largeExecutors, CPU: executorCPU, MemMB: 1024, EstimateMs: 20000}}})
	last, _ := json.Marshal(jobBody{Spec: "last", Steps: []step{{Count: largeExecutors, CPU: executorCPU, MemMB: 1024, EstimateMs: 400, Perpetual: true}}})
	if err := r.handIn("/b/"+filler, fill); err != nil {
		return err
	}
	if !r.await(5*time.Second, func() bool { return r.startsOf(filler) >= largeExecutors }) {
		return fmt.Errorf("only %d tasks of the job that fills the executors have started", r.startsOf(filler))
	}
	if err := r.handIn("/w/"+lasting, last); err != nil {
		return err
	}
	for n := 1; n <= lastingStarts; n++ {
		r.finishOne(filler)
		if !r.await(3*time.Second, func() bool { return r.startsOf(lasting) >= n }) {
			return fmt.Errorf("only %d tasks of the lasting job have started", r.startsOf(lasting))
		}
	}
	r.note("phase %d: %d tasks of the lasting job run", phase, r.startsOf(lasting))
	if r.trouble {
		r.note("the store's answers take %d times as long for %s", slowFactor, slowTime)
		r.store.set(func(s *store) { s.slow = slowFactor })
	}
	end := time.Now().Add(slowTime)
	var clients sync.WaitGroup
	var accepted, unanswered, other atomic.Int64
	for range largeClients {
		clients.Go(func() {
			time.Sleep(rand.N(clientPause)) // they don't come all at once
			for time.Now().Before(end) {
				path, body := "/b/"+newID(), largeJob()
				for status := -1; status != http.StatusOK && time.Now().Before(end); {
					switch status, _ = r.submit(path, body); status {
					case http.StatusOK:
						accepted.Add(1)
					case 0:
						unanswered.Add(1)
					default:
						other.Add(1)
					}
				}
				time.Sleep(clientPause)
			}
		})
	}
	time.Sleep(time.Second)
	for time.Now().Before(end) {
		r.finishOne(filler)
		time.Sleep(finishPause)
	}
	r.store.set(func(s *store) { s.slow = 1 })
	r.note("the store answers as usual")
	clients.Wait()
	r.note("clients: %d accepted, %d attempts without an answer, %d other answers", accepted.Load(), unanswered.Load(), other.Load())
	for _, path := range []string{"/w/" + lasting, "/b/" + filler} {
		if !r.await(8*time.Second, func() bool { return r.cancel(path) }) {
			return fmt.Errorf("%s isn't cancelled", path)
		}
	}
	if !r.await(8*time.Second, func() bool { return r.running() == 0 }) {
		return fmt.Errorf("%d tasks still run", r.running())
	}
	return nil
}

// handIn hands a job in until it is accepted.
func (r *rig) handIn(path string, body []byte) error {
	if !r.await(8*time.Second, func() bool { status, _ := r.submit(path, body); return status == http.StatusOK }) {
		return fmt.Errorf("%s isn't accepted", path)
	}
	return nil
}

func (r *rig) cancel(path string) bool {
	status, _ := r.ask(http.MethodDelete, path, nil)
	return status == http.StatusOK || status == http.StatusGone
}

// await waits until something holds; it returns false if it doesn't in time.
func (r *rig) await(limit time.Duration, holds func() bool) bool {
	for begin := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		if holds() {
			return true
		}
		if time.Since(begin) > limit {
			return false
		}
	}
}

// submit hands a job in at one of the instances.
func (r *rig) submit(path string, body []byte) (int, string) {
	return r.ask(http.MethodPost, path, body)
}

// ask makes a request of a client at one of the instances.
func (r *rig) ask(method, path string, body []byte) (int, string) {
	i, sent := r.instances[rand.IntN(len(r.instances))], time.Now()
	status, text := request(method, "http://"+i.front+path, "h.example", body, 3*time.Second)
	r.note("client: %s %s (%d bytes) at %s: %d %s after %d ms", method, path, len(body), i.name, status, text, time.Since(sent).Milliseconds())
	return status, text
}
