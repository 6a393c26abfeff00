package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat   = 1500 * time.Millisecond
	maxHold     = 10 * time.Second
	tick        = 5 * time.Millisecond
	executorCPU = 16000

	holdWait = 600 * time.Millisecond

	// drainLeft is the minimum time that a draining executor says is left.
	drainLeft = 2 * time.Second
)

// executor is a stand-in of an executor. It runs tasks under leases for the time that the text of their job gives for
// their step, "MS,MS,...".
type executor struct {
	rec     *record
	store   *store
	policy  *policy
	id      string
	zone    string
	rack    string
	address string
	// tickets is set if a start has to carry a ticket.
	tickets bool
	// kind is the first of its labels.
	kind  string
	proxy *proxy
	// crashes tells whether the start of a task crashes the executor before it has answered; nil means that none does.
	// It is back after downTime, under its ID, and of another kind if nextKind is set.
	crashes  func(task string) bool
	downTime time.Duration
	nextKind string
	// started is called when a task begins; it may be nil.
	started func(x *executor, task string)

	mu sync.Mutex
	// heldAt is when it last got a call that it may hold for holdWait or longer.
	heldAt time.Time
	born   time.Time
	down   bool
	// isolated is set while it does not reach the store.
	isolated bool
	draining bool
	fence    int64
	leaseEnd int64
	running  map[string]*run
	// highest holds, by task, the highest number of a run that was stopped or has ended here.
	highest  map[string]int64
	ended    []end
	sequence int64
	wake     chan struct{}
	// starts counts the runs that were started, by task.
	starts map[string]int
}

type run struct {
	task   string
	number int64
	begin  time.Time
	work   time.Duration
}

type end struct {
	sequence, number int64
	task, how        string
}

// init begins a life of the executor, which knows nothing of those before.
func (x *executor) init() {
	x.born = time.Now()
	x.fence, x.leaseEnd, x.sequence, x.ended = 0, 0, 0, nil
	x.running, x.highest = make(map[string]*run), make(map[string]int64)
	if x.starts == nil {
		x.starts = make(map[string]int)
	}
	x.wake = make(chan struct{})
}

// crash ends the life of the executor; the next one begins after downTime. The caller holds mu.
func (x *executor) crash() {
	x.down = true
	x.running = make(map[string]*run)
	x.rec.log("executor %s crashes", x.id)
	x.proxy.crash()
	time.AfterFunc(x.downTime, func() {
		x.mu.Lock()
		x.init()
		x.down = false
		if x.nextKind != "" {
			x.kind = x.nextKind
		}
		x.rec.log("executor %s is back, born %d, kind %s", x.id, x.born.UnixMilli(), x.kind)
		x.mu.Unlock()
		x.write(1)
		if err := x.proxy.restart(); err != nil {
			x.rec.log("executor %s: %v", x.id, err)
		}
	})
}

func (x *executor) clock() int64 { return time.Since(x.born).Milliseconds() }

// beat writes the entry of the executor until stop is closed.
func (x *executor) beat(stop <-chan struct{}) {
	for seq := 1; ; seq++ {
		x.write(seq)
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

// write writes the entry of the executor, unless it is down.
func (x *executor) write(seq int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.down || x.isolated {
		return
	}
	state := `"ready"`
	if x.draining {
		state = fmt.Sprintf(`"draining","remaining_ms":%d`, drainLeft.Milliseconds())
	}
	x.store.put("servers", x.id, []byte(fmt.Sprintf(
		`{"service":"pool","address":%q,"zone":%q,"version":"v1","slots":8,"state":%s,"cold_left_ms":0,"capacity":{"cpu":%d,"mem_mb":32768,"gpu":0},"labels":[%q,%q],"seq":%d,"born":%d}`,
		x.address, x.zone, state, executorCPU, x.kind, x.rack, seq, x.born.UnixMilli())))
}

// work ends runs that are done or whose lease has expired.
func (x *executor) work(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(tick):
		}
		x.mu.Lock()
		for _, r := range x.running {
			switch {
			case x.clock() >= x.leaseEnd:
				x.end(r, "lapsed")
			case time.Since(r.begin) >= r.work:
				x.end(r, "done")
			}
		}
		x.mu.Unlock()
	}
}

// end ends a run. The caller holds mu.
func (x *executor) end(r *run, how string) {
	delete(x.running, r.task)
	x.highest[r.task] = max(x.highest[r.task], r.number)
	x.sequence++
	x.ended = append(x.ended, end{x.sequence, r.number, r.task, how})
	close(x.wake)
	x.wake = make(chan struct{})
	x.rec.log("executor %s: run %d of task %s ended: %s", x.id, r.number, r.task, how)
}

type command struct {
	Task     string
	Run      int64
	Spec     string
	Fence    int64
	Ticket   string
	UntilMs  int64 `json:"until_ms"`
	SeenUpto int64 `json:"seen_upto"`
	WaitMs   int64 `json:"wait_ms"`
}

// ServeHTTP serves one order.
func (x *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var cmd command
	if err := json.NewDecoder(r.Body).Decode(&cmd); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get("X-Target-Instance") != x.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.down {
		panic(http.ErrAbortHandler)
	}
	if cmd.Fence < x.fence {
		x.respond(w, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	x.fence = cmd.Fence
	switch r.URL.Path {
	case "/v1/run-start":
		reason := x.start(cmd)
		x.rec.log("executor %s, kind %s: start of run %d of task %s, ticket %q: %s", x.id, x.kind, cmd.Run, cmd.Task, cmd.Ticket, orText(reason, "begun"))
		if reason == "" && x.crashes != nil && x.crashes(cmd.Task) {
			x.crash()
			panic(http.ErrAbortHandler)
		}
		if reason != "" {
			x.respond(w, http.StatusConflict, map[string]any{"reason": reason})
			return
		}
		x.respond(w, http.StatusOK, map[string]any{})
	case "/v1/run-stop":
		x.rec.log("executor %s: stop of run %d of task %s", x.id, cmd.Run, cmd.Task)
		if have := x.running[cmd.Task]; have != nil && have.number == cmd.Run {
			x.end(have, "stopped")
		}
		x.highest[cmd.Task] = max(x.highest[cmd.Task], cmd.Run)
		x.respond(w, http.StatusOK, map[string]any{})
	case "/v1/hold":
		x.hold(w, r, cmd)
	case "/v1/pace":
		x.respond(w, http.StatusOK, map[string]any{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func orText(s, other string) string {
	if s == "" {
		return other
	}
	return "409 " + s
}

func (x *executor) renew(until int64) {
	x.leaseEnd = max(x.leaseEnd, min(until, x.clock()+maxHold.Milliseconds()))
}

// start starts a run and returns why it does not.
func (x *executor) start(cmd command) string {
	if have := x.running[cmd.Task]; have != nil && have.number == cmd.Run {
		return ""
	}
	if cmd.Run <= x.highest[cmd.Task] {
		x.renew(cmd.UntilMs)
		return "old"
	}
	if cmd.UntilMs <= x.clock() {
		return "late"
	}
	step := cmd.Task[:strings.LastIndex(cmd.Task, ".")]
	if x.tickets && !x.policy.valid(cmd.Ticket, step, x.id) {
		return "ticket"
	}
	x.renew(cmd.UntilMs)
	x.starts[cmd.Task]++
	if x.started != nil {
		x.started(x, cmd.Task)
	}
	x.running[cmd.Task] = &run{task: cmd.Task, number: cmd.Run, begin: time.Now(), work: workOf(cmd.Spec, step)}
	return ""
}

// workOf returns how long a task of a step runs.
func workOf(spec, step string) time.Duration {
	parts := strings.Split(spec, ",")
	i, err := strconv.Atoi(step[strings.LastIndex(step, ".")+1:])
	if err != nil || i >= len(parts) {
		return time.Second
	}
	ms, err := strconv.Atoi(parts[i])
	if err != nil {
		return time.Second
	}
	return time.Duration(ms) * time.Millisecond
}

// hold returns the lists of runs, after a run has ended or the wait is over. The caller holds mu.
func (x *executor) hold(w http.ResponseWriter, r *http.Request, cmd command) {
	x.renew(cmd.UntilMs)
	for len(x.ended) > 0 && x.ended[0].sequence <= cmd.SeenUpto {
		x.ended = x.ended[1:]
	}
	if cmd.WaitMs >= holdWait.Milliseconds() {
		x.heldAt = time.Now()
	}
	if len(x.ended) == 0 && cmd.WaitMs > 0 {
		wake := x.wake
		x.mu.Unlock()
		select {
		case <-wake:
		case <-time.After(time.Duration(cmd.WaitMs) * time.Millisecond):
		case <-r.Context().Done():
		}
		x.mu.Lock()
		if x.down {
			panic(http.ErrAbortHandler)
		}
	}
	running, ended := [][]any{}, [][]any{}
	for _, have := range x.running {
		percent := min(100, int(100*time.Since(have.begin)/have.work))
		running = append(running, []any{have.task, have.number, "", percent, 1300})
	}
	for _, e := range x.ended {
		ended = append(ended, []any{e.sequence, e.task, e.number, e.how, ""})
	}
	x.respond(w, http.StatusOK, map[string]any{"num_running": running, "ended": ended})
}

func (x *executor) respond(w http.ResponseWriter, status int, body map[string]any) {
	body["clock_ms"] = x.clock()
	body["born"] = x.born.UnixMilli()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// isRunning reports whether a task whose name has the prefix runs here.
func (x *executor) isRunning(prefix string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	for task := range x.running {
		if strings.HasPrefix(task, prefix) {
			return true
		}
	}
	return false
}

func (x *executor) runCount() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.running)
}

func (x *executor) startCount(prefix string) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := 0
	for task, count := range x.starts {
		if strings.HasPrefix(task, prefix) {
			n += count
		}
	}
	return n
}
