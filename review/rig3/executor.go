package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	beatInterval = 1500 * time.Millisecond
	maxLease     = 10 * time.Second
	stopTime     = 20 * time.Millisecond
	maxEnds      = 500
)

// running is a run of a task on an executor.
type running struct {
	task  string
	run   int64
	began time.Time
	work  time.Duration
	cpu   int64
}

// executor is one executor: it starts whatever it is told to start, and runs it for the time that the spec names.
type executor struct {
	id, service, address string
	cpu, mem             int64
	born                 time.Time
	store                *store
	// observe is called when a run begins and when it ends.
	observe func(e *executor, task string, run int64, how string)

	mu      sync.Mutex
	seq     int64
	fence   int64
	until   time.Duration
	runs    map[string]*running
	highest map[string]int64
	ended   [][]any
	nextEnd int64
	changed chan struct{}
}

func (e *executor) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.address = l.Addr().String()
	e.born = time.Now()
	e.runs, e.highest, e.changed, e.ended = make(map[string]*running), make(map[string]int64), make(chan struct{}), [][]any{}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", e.runStart)
	mux.HandleFunc("POST /v1/run-stop", e.runStop)
	mux.HandleFunc("POST /v1/hold", e.hold)
	mux.HandleFunc("POST /v1/pace", func(w http.ResponseWriter, _ *http.Request) { e.reply(w, http.StatusOK, nil) })
	go func() { _ = http.Serve(l, e.checkTarget(mux)) }()
	go func() {
		for {
			e.beat()
			time.Sleep(beatInterval)
		}
	}()
	go func() {
		for {
			time.Sleep(10 * time.Millisecond)
			e.tick()
		}
	}()
	return nil
}

// beat writes the executor's entry.
func (e *executor) beat() {
	e.mu.Lock()
	e.seq++
	value, _ := json.Marshal(map[string]any{
		"service": e.service, "address": e.address, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"seq": e.seq, "capacity": map[string]any{"cpu": e.cpu, "mem_mb": e.mem, "gpu": 0}, "labels": []string{"a", "r1-1"},
		"born": e.born.UnixMilli(),
	})
	e.mu.Unlock()
	e.store.put(row{Table: "servers", Key: e.id, Value: value})
}

func (e *executor) clock() time.Duration { return time.Since(e.born) }

func (e *executor) checkTarget(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Target-Instance") != e.id {
			e.reply(w, http.StatusMisdirectedRequest, nil)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (e *executor) reply(w http.ResponseWriter, status int, fields map[string]any) {
	out := map[string]any{"clock_ms": e.clock().Milliseconds(), "born": e.born.UnixMilli()}
	for k, v := range fields {
		out[k] = v
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(out)
}

// end records the end of a run; the caller holds e.mu.
func (e *executor) end(r *running, how string) {
	delete(e.runs, r.task)
	e.highest[r.task] = max(e.highest[r.task], r.run)
	e.nextEnd++
	e.ended = append(e.ended, []any{e.nextEnd, r.task, r.run, how, ""})
	close(e.changed)
	e.changed = make(chan struct{})
	e.observe(e, r.task, r.run, how)
}

// tick ends the runs whose work is done or whose lease has expired.
func (e *executor) tick() {
	e.mu.Lock()
	defer e.mu.Unlock()
	lapsed := len(e.runs) > 0 && e.clock() > e.until
	for _, r := range e.runs {
		switch {
		case lapsed:
			e.end(r, "lapsed")
		case r.work > 0 && time.Since(r.began) >= r.work:
			e.end(r, "done")
		}
	}
}

type startCall struct {
	Task    string `json:"task"`
	Run     int64  `json:"run"`
	Spec    string `json:"spec"`
	UntilMs int64  `json:"until_ms"`
	Fence   int64  `json:"fence"`
}

// extend extends the lease; the caller holds e.mu.
func (e *executor) extend(untilMs int64) {
	e.until = max(e.until, min(time.Duration(untilMs)*time.Millisecond, e.clock()+maxLease))
}

func (e *executor) runStart(w http.ResponseWriter, r *http.Request) {
	var c startCall
	_ = json.NewDecoder(r.Body).Decode(&c)
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.Fence < e.fence {
		e.reply(w, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	e.fence = c.Fence
	if time.Duration(c.UntilMs)*time.Millisecond <= e.clock() {
		e.reply(w, http.StatusConflict, map[string]any{"reason": "late"})
		return
	}
	e.extend(c.UntilMs)
	if e.runs[c.Task] != nil {
		e.reply(w, http.StatusOK, nil)
		return
	}
	if c.Run <= e.highest[c.Task] {
		e.reply(w, http.StatusConflict, map[string]any{"reason": "old"})
		return
	}
	work, cpu := parseSpec(c.Spec)
	e.runs[c.Task] = &running{task: c.Task, run: c.Run, began: time.Now(), work: work, cpu: cpu}
	e.observe(e, c.Task, c.Run, "begun")
	e.reply(w, http.StatusOK, nil)
}

// parseSpec returns the work and the CPU of a task from the text of its job, "WORK_MS CPU".
func parseSpec(spec string) (time.Duration, int64) {
	fields := strings.Fields(spec)
	ms, _ := strconv.Atoi(fields[0])
	cpu, _ := strconv.ParseInt(fields[1], 10, 64)
	return time.Duration(ms) * time.Millisecond, cpu
}

func (e *executor) runStop(w http.ResponseWriter, r *http.Request) {
	var c startCall
	_ = json.NewDecoder(r.Body).Decode(&c)
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.Fence < e.fence {
		e.reply(w, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	e.fence = c.Fence
	e.highest[c.Task] = max(e.highest[c.Task], c.Run)
	if run := e.runs[c.Task]; run != nil && run.run <= c.Run {
		time.AfterFunc(stopTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.runs[c.Task] == run {
				e.end(run, "stopped")
			}
		})
	}
	e.reply(w, http.StatusOK, nil)
}

func (e *executor) hold(w http.ResponseWriter, r *http.Request) {
	var c struct {
		Fence    int64 `json:"fence"`
		SeenUpto int64 `json:"seen_upto"`
		UntilMs  int64 `json:"until_ms"`
		WaitMs   int64 `json:"wait_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&c)
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.Fence < e.fence {
		e.reply(w, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	e.fence = c.Fence
	if c.UntilMs > 0 {
		e.extend(c.UntilMs)
	}
	for len(e.ended) > 0 && e.ended[0][0].(int64) <= c.SeenUpto {
		e.ended = e.ended[1:]
	}
	end := time.After(time.Duration(c.WaitMs) * time.Millisecond)
	for waiting := c.WaitMs > 0; waiting && len(e.ended) == 0; {
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		e.mu.Lock()
	}
	list := [][]any{}
	for _, run := range e.runs {
		percent := 100.0
		if run.work > 0 {
			percent = min(100*float64(time.Since(run.began))/float64(run.work), 100)
		}
		list = append(list, []any{run.task, run.run, "", percent, run.cpu})
	}
	e.reply(w, http.StatusOK, map[string]any{"num_running": list, "ended": e.ended[:min(len(e.ended), maxEnds)]})
}

// used returns the CPU that the runs on the executor need.
func (e *executor) used() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := int64(0)
	for _, r := range e.runs {
		n += r.cpu
	}
	return n
}
