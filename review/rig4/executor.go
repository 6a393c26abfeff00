package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// executor is a sound executor: it runs tasks under a lease, rejects lower fences and earlier runs, and lists ends
// until they are taken note of.
type executor struct {
	rig     *rig
	id      string
	zone    string
	rack    string
	address string
	born    time.Time

	mu       sync.Mutex
	fence    int64
	lease    int64
	runs     map[string]*work
	highest  map[string]int64
	ends     [][]any
	sequence int64
	ended    chan struct{}
}

// otherPace returns the highest pace of runs of other jobs; the caller holds mu.
func (x *executor) otherPace(job string) int {
	most := 0
	for task, w := range x.runs {
		if !strings.HasPrefix(task, job) {
			most = max(most, w.percent)
		}
	}
	return most
}

// each calls a function for all runs of a job, in any order.
func (x *executor) each(job string, f func(w *work)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for task, w := range x.runs {
		if strings.HasPrefix(task, job) {
			f(w)
		}
	}
}

// work is one run.
type work struct {
	task   string
	number int64
	// length is how long the run works at full pace, 0 without an end; worked is how much of that it has done.
	length, worked time.Duration
	// percent is its pace.
	percent int
}

// capacity of each executor.
const (
	executorCPU = 16000
	executorMem = 65536
)

const heartbeat = 1500 * time.Millisecond

func startExecutor(r *rig, id, zone, rack string) (*executor, error) {
	l, err := net.Listen("tcp", r.subnet+".1:0")
	if err != nil {
		return nil, err
	}
	x := &executor{
		rig: r, id: id, zone: zone, rack: rack, address: l.Addr().String(), born: time.Now(), runs: make(map[string]*work),
		highest: make(map[string]int64), ended: make(chan struct{}),
	}
	go func() { _ = http.Serve(l, x) }()
	go x.work()
	go x.beat()
	return x, nil
}

// beat writes the entry of the executor.
func (x *executor) beat() {
	for seq := 1; ; seq++ {
		entry := fmt.Sprintf(`{"service":"pool","address":%q,"zone":%q,"version":"v1","slots":64,"state":"ready","cold_left_ms":0,"seq":%d,"born":%d,`+
			`"capacity":{"cpu":%d,"mem_mb":%d,"gpu":0},"labels":["a",%q]}`, x.address, x.zone, seq, x.born.UnixMilli(), executorCPU, executorMem, x.rack)
		x.rig.store.put("servers", x.id, []byte(entry))
		time.Sleep(heartbeat)
	}
}

func (x *executor) clock() int64 { return time.Since(x.born).Milliseconds() }

// work ends runs that are done or whose lease is over.
func (x *executor) work() {
	for last := time.Now(); ; {
		time.Sleep(workTick)
		passed := time.Since(last)
		last = last.Add(passed)
		x.mu.Lock()
		for _, w := range x.runs {
			w.worked += passed * time.Duration(w.percent) / fullPace
			switch {
			case x.clock() >= x.lease:
				x.end(w, "lapsed")
			case w.length > 0 && w.worked >= w.length:
				x.end(w, "done")
			}
		}
		x.mu.Unlock()
	}
}

const (
	workTick = 5 * time.Millisecond
	// minLate and maxLate limit how much later a late order is carried out.
	minLate, maxLate = 2 * time.Second, 12 * time.Second
	// fullPace is the pace of a run at its start, in percent.
	fullPace = 100
)

// finishOne makes a task of a job end done, if one runs here.
func (x *executor) finishOne(job string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	for task, w := range x.runs {
		if strings.HasPrefix(task, job) {
			x.end(w, "done")
			return true
		}
	}
	return false
}

func (x *executor) end(w *work, how string) {
	delete(x.runs, w.task)
	x.highest[w.task] = max(x.highest[w.task], w.number)
	x.sequence++
	x.ends = append(x.ends, []any{x.sequence, w.task, w.number, how, ""})
	close(x.ended)
	x.ended = make(chan struct{})
	x.rig.note("executor %s: %s run %d ends %s", x.id, w.task, w.number, how)
}

type order struct {
	Task     string `json:"task"`
	Run      int64  `json:"run"`
	Spec     string `json:"spec"`
	Fence    int64  `json:"fence"`
	UntilMs  int64  `json:"until_ms"`
	SeenUpto int64  `json:"seen_upto"`
	WaitMs   int64  `json:"wait_ms"`
	Percent  int    `json:"percent"`
}

func (x *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.URL.Path != "/v1/hold" && x.rig.comesLate() {
		x.executeLate(r, o)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	body := map[string]any{}
	status := http.StatusOK
	switch {
	case r.Header.Get("X-Target-Instance") != x.id:
		status = http.StatusMisdirectedRequest
	case o.Fence < x.fence:
		status, body["reason"] = http.StatusConflict, "fence"
	case r.URL.Path == "/v1/hold":
		x.take(o)
		x.hold(r, o, body)
	default:
		status = x.execute(r.URL.Path, o, body)
	}
	body["clock_ms"], body["born"] = x.clock(), x.born.UnixMilli()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// take takes note of the fence and the lease of an order; the caller holds mu.
func (x *executor) take(o order) {
	x.fence = o.Fence
	x.lease = max(x.lease, min(o.UntilMs, x.clock()+x.rig.maxHold.Milliseconds()))
}

// execute carries an order out; the caller holds mu.
func (x *executor) execute(path string, o order, body map[string]any) int {
	x.take(o)
	run := x.runs[o.Task]
	if run != nil && run.number != o.Run {
		run = nil
	}
	switch path {
	case "/v1/run-start":
		return x.start(o, body)
	case "/v1/run-stop":
		if run != nil {
			x.end(run, "stopped")
		}
		x.highest[o.Task] = max(x.highest[o.Task], o.Run)
	case "/v1/pace":
		if run != nil {
			run.percent = o.Percent
			x.rig.note("executor %s: %s run %d has a pace of %d percent, fence %d", x.id, o.Task, o.Run, o.Percent, o.Fence)
		}
	}
	return http.StatusOK
}

// executeLate carries an order out 2 to 12 s later and gives no answer.
func (x *executor) executeLate(r *http.Request, o order) {
	path, wait := r.URL.Path, minLate+rand.N(maxLate-minLate)
	x.rig.note("executor %s: %s %s run %d (percent %d) gets no answer and is carried out %d ms later", x.id, path, o.Task, o.Run, o.Percent, wait.Milliseconds())
	time.AfterFunc(wait, func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		if o.Fence >= x.fence {
			x.execute(path, o, map[string]any{})
		}
	})
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// start begins a run; the caller holds mu.
func (x *executor) start(o order, body map[string]any) int {
	if run := x.runs[o.Task]; run != nil && run.number == o.Run {
		return http.StatusOK
	}
	if o.Run <= x.highest[o.Task] || x.runs[o.Task] != nil {
		body["reason"] = "old"
		return http.StatusConflict
	}
	id, _, _ := strings.Cut(o.Task, ".")
	x.runs[o.Task] = &work{task: o.Task, number: o.Run, length: x.rig.started(x, id, o), percent: fullPace}
	return http.StatusOK
}

// hold lists what runs and what has ended; the caller holds mu.
func (x *executor) hold(r *http.Request, o order, body map[string]any) {
	for len(x.ends) > 0 && x.ends[0][0].(int64) <= o.SeenUpto {
		x.ends = x.ends[1:]
	}
	if len(x.ends) == 0 && o.WaitMs > 0 {
		ended := x.ended
		x.mu.Unlock()
		select {
		case <-ended:
		case <-r.Context().Done():
		case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
		}
		x.mu.Lock()
	}
	running := [][]any{}
	for _, w := range x.runs {
		percent := 100
		if w.length > 0 {
			percent = int(min(99, 100*w.worked/w.length))
		}
		figure := 1000 * w.percent / fullPace
		if job, _, _ := strings.Cut(w.task, "."); x.rig.tailOf != nil {
			if tail := x.rig.tailOf(job, x.otherPace(job)); tail > 0 {
				figure = tail
			}
		}
		running = append(running, []any{w.task, w.number, "", percent, figure})
	}
	ends := x.ends
	if ends == nil {
		ends = [][]any{}
	}
	body["num_running"], body["ended"] = running, ends[:min(len(ends), maxRows)]
}
