package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat   = 1500 * time.Millisecond
	maxHold     = 10 * time.Second
	executorCPU = 16000
	runTick     = 5 * time.Millisecond
)

type taskRun struct {
	task     string
	number   int64
	begun    time.Time
	duration time.Duration
	// fails is set if the run fails by the task's own fault.
	fails bool
}

type taskEnd struct {
	sequence int64
	task     string
	number   int64
	kind     string
	at       time.Time
}

// executor stands in for one executor; it keeps to the page on running tasks.
type executor struct {
	rig     *rig
	id      string
	address string

	mu       sync.Mutex
	begin    time.Time
	down     bool
	fence    int64
	leaseEnd int64
	runs     map[string]*taskRun
	ended    map[string]int64
	ends     []taskEnd
	last     int64
	news     chan struct{}
	// lapsed is when the lease was last seen to be over.
	lapsed time.Time
}

func runKey(task string, number int64) string { return fmt.Sprintf("%s#%d", task, number) }

func (r *rig) addExecutor(i int) *executor {
	l, err := net.Listen("tcp", r.ip(100+i)+":0")
	r.must(err)
	x := &executor{rig: r, id: fmt.Sprintf("x%d", i), address: l.Addr().String()}
	x.reset()
	go func() { _ = http.Serve(l, x) }()
	go x.work()
	go x.beat()
	r.executors = append(r.executors, x)
	return x
}

// reset begins a new life, which knows nothing of the one before.
func (x *executor) reset() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.begin, x.down = time.Now(), false
	x.fence, x.leaseEnd, x.last, x.ends = 0, 0, 0, nil
	x.runs, x.ended, x.news = make(map[string]*taskRun), make(map[string]int64), make(chan struct{})
}

func (x *executor) clock() int64 { return time.Since(x.begin).Milliseconds() }

func (x *executor) beat() {
	for seq := 1; ; seq++ {
		x.mu.Lock()
		down, born := x.down, x.begin.UnixMilli()
		x.mu.Unlock()
		if !down {
			x.rig.store.put("servers", x.id, fmt.Sprintf(`{"service":"pool","address":%q,"zone":"z1","version":"1","slots":8,"state":"ready",`+
				`"capacity":{"cpu":%d,"mem_mb":65536,"gpu":0},"labels":["a","r1-1"],"cold_left_ms":0,"seq":%d,"born":%d}`,
				x.address, executorCPU, seq, born))
		}
		time.Sleep(heartbeat)
	}
}

// work ends the runs that are done or whose lease has expired.
func (x *executor) work() {
	for {
		time.Sleep(runTick)
		x.mu.Lock()
		if x.clock() >= x.leaseEnd {
			x.lapsed = time.Now()
		}
		for _, t := range x.runs {
			switch {
			case x.clock() >= x.leaseEnd:
				x.end(t, "lapsed")
			case time.Since(t.begun) >= t.duration && t.fails:
				x.end(t, "failed")
			case time.Since(t.begun) >= t.duration:
				x.end(t, "done")
			}
		}
		x.mu.Unlock()
	}
}

// end ends a run. The caller holds mu.
func (x *executor) end(t *taskRun, kind string) {
	delete(x.runs, runKey(t.task, t.number))
	x.ended[t.task] = max(x.ended[t.task], t.number)
	x.last++
	x.ends = append(x.ends, taskEnd{x.last, t.task, t.number, kind, time.Now()})
	if !x.rig.isQuiet(t.task) {
		x.rig.record("executor %s: run %d of %s ended %s", x.id, t.number, t.task, kind)
	}
	x.rig.runEnded(x.id, t, kind)
	close(x.news)
	x.news = make(chan struct{})
}

type order struct {
	Task     string `json:"task"`
	Run      int64  `json:"run"`
	Spec     string `json:"spec"`
	Fence    int64  `json:"fence"`
	UntilMs  int64  `json:"until_ms"`
	SeenUpto int64  `json:"seen_upto"`
	WaitMs   int64  `json:"wait_ms"`
}

func (x *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o order
	err := json.NewDecoder(r.Body).Decode(&o)
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case x.down:
		panic(http.ErrAbortHandler)
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
		return
	case r.Header.Get("X-Target-Instance") != x.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	life := x.begin
	status, reason := x.execute(r.URL.Path, o)
	body := map[string]any{}
	if reason != "" {
		body["reason"] = reason
	}
	if status == http.StatusOK && r.URL.Path == "/v1/hold" {
		x.list(o, body)
	}
	if x.down || !x.begin.Equal(life) {
		panic(http.ErrAbortHandler)
	}
	body["clock_ms"], body["born"] = x.clock(), x.begin.UnixMilli()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// execute carries out an order. The caller holds mu.
func (x *executor) execute(path string, o order) (status int, reason string) {
	if o.Fence < x.fence {
		return http.StatusConflict, "fence"
	}
	x.fence = o.Fence
	switch path {
	case "/v1/run-start":
		return x.start(o)
	case "/v1/run-stop":
		if t := x.runs[runKey(o.Task, o.Run)]; t != nil {
			x.end(t, "stopped")
		}
		x.ended[o.Task] = max(x.ended[o.Task], o.Run)
	case "/v1/hold":
		x.renew(o.UntilMs)
	case "/v1/pace":
	default:
		return http.StatusBadRequest, ""
	}
	return http.StatusOK, ""
}

func (x *executor) renew(until int64) {
	x.leaseEnd = max(x.leaseEnd, min(until, x.clock()+maxHold.Milliseconds()))
}

func (x *executor) start(o order) (status int, reason string) {
	key := runKey(o.Task, o.Run)
	switch {
	case x.runs[key] != nil:
		return http.StatusOK, ""
	case o.Run <= x.ended[o.Task]:
		x.renew(o.UntilMs)
		return http.StatusConflict, "old"
	case o.UntilMs <= x.clock():
		return http.StatusConflict, "late"
	}
	x.renew(o.UntilMs)
	duration, fails := x.rig.durationOf(o)
	t := &taskRun{task: o.Task, number: o.Run, begun: time.Now(), duration: duration, fails: fails}
	x.runs[key] = t
	if !x.rig.isQuiet(o.Task) {
		x.rig.record("executor %s: run %d of %s begins", x.id, o.Run, o.Task)
	}
	x.rig.runBegun(x.id, t)
	return http.StatusOK, ""
}

// list adds the runs and the ends to a response, which it holds until there is an end. The caller holds mu.
func (x *executor) list(o order, body map[string]any) {
	for len(x.ends) > 0 && x.ends[0].sequence <= o.SeenUpto {
		if x.lapsed.Before(x.ends[0].at) { // otherwise the end does not count as taken note of
			x.rig.endNoted(x.ends[0])
		}
		x.ends = x.ends[1:]
	}
	if len(x.ends) == 0 && o.WaitMs > 0 {
		news := x.news
		x.mu.Unlock()
		select {
		case <-news:
		case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
		}
		x.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for _, t := range x.runs {
		percent := min(100*time.Since(t.begun).Seconds()/t.duration.Seconds(), 99)
		running = append(running, []any{t.task, t.number, "", int(percent), 1000})
	}
	for _, e := range x.ends[:min(len(x.ends), maxRows)] {
		ended = append(ended, []any{e.sequence, e.task, e.number, e.kind, ""})
	}
	body["num_running"], body["ended"] = running, ended
}

// durationOf reads how long the tasks of a step take from the text of the job, such as "4000,1000", and whether they
// fail, which a minus sign says. A case may vary them by half from task to task.
func (r *rig) durationOf(o order) (d time.Duration, fails bool) {
	var step, ms int
	parts := strings.Split(o.Task, ".")
	_, err := fmt.Sscan(parts[2], &step)
	r.must(err)
	_, err = fmt.Sscan(strings.Split(o.Spec, ",")[step], &ms)
	r.must(err)
	if ms < 0 {
		return time.Duration(-ms) * time.Millisecond, true
	}
	d = time.Duration(ms) * time.Millisecond
	if r.varied {
		h := fnv.New32a()
		_, _ = h.Write([]byte(o.Task))
		d = d * time.Duration(50+h.Sum32()%100) / 100
	}
	return d, false
}
