package work_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/plat"
	"github.com/daisyrack/daisyrack/internal/work"
	"github.com/daisyrack/daisyrack/pkg/lease"
)

func post(s *work.Server, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest("POST", path, strings.NewReader(body)))
	return w
}

func call(t *testing.T, s *work.Server, path string, req, res any) (status int) {
	t.Helper()
	body, err := json.Marshal(req)
	assert.NilError(t, err)
	w := post(s, path, string(body))
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), res))
	return w.Code
}

func newWorker() *work.Server {
	return &work.Server{
		Name: "w1", Address: "127.0.0.1:1", FailureDomain: "a", Seed: 1,
		Capacity: work.Resources{CPUMillis: 1000, MemoryMB: 100},
	}
}

// start asks for 400 of the worker's 1,000 cpu_millis.
func start(id string, kind lease.CutOffPolicy, runMs int64, truth string) work.Start {
	return work.Start{
		ID: id, Attempt: 1, Job: "j", Class: "normal", OnCutOff: kind, RunMs: runMs, Payload: json.RawMessage(truth),
		Resources: work.Resources{CPUMillis: 400, MemoryMB: 10},
	}
}

// owner is the owner of epoch 1, whose base is taken as proven.
type owner struct {
	t    *testing.T
	s    *work.Server
	base int64
}

// claim claims the worker; its answer's clock is the base of later syncs.
func claim(t *testing.T, s *work.Server) *owner {
	t.Helper()
	var res work.ClaimReply
	assert.Equal(t, call(t, s, "/v1/claim", work.Claim{Owner: "o", Epoch: 1}, &res), 200)
	return &owner{t: t, s: s, base: res.ClockMs}
}

func (o *owner) sync(req work.Sync) work.SyncReply {
	o.t.Helper()
	req.Owner, req.Epoch, req.RenewFromMs = "o", 1, o.base
	var res work.SyncReply
	assert.Equal(o.t, call(o.t, o.s, "/v1/sync", req, &res), 200)
	return res
}

// start starts tasks and returns which ones were accepted.
func (o *owner) start(starts ...work.Start) (accepted string) {
	o.t.Helper()
	for _, st := range o.sync(work.Sync{Starts: starts}).Starts {
		if st.Accepted {
			accepted += st.ID
		}
	}
	return accepted
}

// states returns the states of the tasks held, in the order of their ids.
func (o *owner) states() (states []work.State) {
	o.t.Helper()
	for _, task := range o.sync(work.Sync{}).Tasks {
		states = append(states, task.State)
	}
	return states
}

// Guards against a task that ends early or late.
func TestTaskRunsForItsTrueTime(t *testing.T) {
	for _, c := range []struct {
		name  string
		runMs int64
		truth string
		limit int64 // processors allowed by a throttle
		ends  int64 // 0 for never
		state work.State
	}{
		{"declared time", 500, ``, 0, 500, work.Succeeded},
		{"true time", 500, `{"true_run_ms":3000}`, 0, 3000, work.Succeeded},
		{"failure", 500, `{"true_run_ms":3000,"fail":true}`, 0, 3000, work.Failed},
		{"service", 0, ``, 0, 0, work.Running},
		{"service that ends", 0, `{"true_run_ms":10}`, 0, 10, work.Succeeded},
		{"throttled", 500, `{"true_cpu_millis":200}`, 50, 2000, work.Succeeded},
		{"limit above the need", 500, `{"true_cpu_millis":200}`, 300, 500, work.Succeeded},
		{"payload as base64", 500, `"eyJ0cnVlX3J1bl9tcyI6NX0="`, 0, 5, work.Succeeded},
		{"payload of another kind", 500, `["x"]`, 0, 500, work.Succeeded},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := claim(t, newWorker())
				assert.Equal(t, o.start(start("t", lease.StayOnCutOff, c.runMs, c.truth)), "t")
				o.sync(work.Sync{Throttles: []work.Throttle{{ID: "t", CPUMillis: c.limit}}})
				time.Sleep(time.Duration(c.ends-1) * time.Millisecond)
				assert.DeepEqual(t, o.states(), []work.State{work.Running})
				time.Sleep(time.Minute)
				task := o.sync(work.Sync{}).Tasks[0]
				assert.Equal(t, task.State, c.state)
				assert.Equal(t, task.EndedMs-o.base, map[bool]int64{true: -o.base, false: c.ends}[c.ends == 0])
			})
		})
	}
}

// Guards against a worker whose owner is cut off and that still runs what may run elsewhere by now.
func TestTasksStopWhenTheClaimLapses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := claim(t, newWorker())
		o.base += 1 << 58 // in nanoseconds this overflows to the present
		assert.Equal(t, o.start(start("m", lease.MoveOnCutOff, 0, ""), start("s", lease.StayOnCutOff, 0, "")), "")
		o.base -= 1 << 58
		assert.Equal(t, o.start(start("m", lease.MoveOnCutOff, 0, ""), start("s", lease.StayOnCutOff, 0, "")), "ms")
		time.Sleep(lease.MoveTimeout - 1)
		assert.DeepEqual(t, o.states(), []work.State{work.Running, work.Running})
		time.Sleep(time.Minute)
		assert.DeepEqual(t, o.states(), []work.State{work.Stopped, work.Running})
		assert.Equal(t, o.start(start("n", lease.MoveOnCutOff, 0, ""), start("u", lease.StayOnCutOff, 0, "")), "u")
		time.Sleep(2 * time.Hour)
		assert.DeepEqual(t, o.states(), []work.State{work.Stopped, work.Stopped, work.Stopped})
		for i, limit := range []time.Duration{lease.MoveTimeout, lease.StayTimeout} {
			task := o.sync(work.Sync{}).Tasks[i]
			assert.Equal(t, task.EndedMs-o.base, limit.Milliseconds())
			assert.Equal(t, task.CheckpointMs, task.EndedMs, "stopped without a checkpoint")
		}
	})
}

// Guards against more grants than capacity, and against a record that would hide them.
func TestCapacityIsNeverExceeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newWorker()
		o := claim(t, s)
		assert.Equal(t, o.start(start("a", lease.StayOnCutOff, 0, ""), start("b", lease.StayOnCutOff, 1000, ""), start("c", lease.StayOnCutOff, 0, "")), "ab")
		time.Sleep(time.Second)
		assert.Equal(t, o.start(start("c", lease.StayOnCutOff, 0, "")), "c")
		res := o.sync(work.Sync{Stops: []string{"a"}, Starts: []work.Start{start("d", lease.StayOnCutOff, 0, "")}})
		assert.Assert(t, res.Starts[0].Accepted, "a stop makes room for a start of the same sync")
		o.sync(work.Sync{Stops: []string{"c", "d"}})
		assert.Equal(t, o.start(start("e", lease.StayOnCutOff, 0, "")), "e")
		record := s.History()
		assert.Equal(t, record.PeakGranted, work.Resources{CPUMillis: 800, MemoryMB: 20})
		assert.DeepEqual(t, record.Runs[1], work.Run{ID: "b", Attempt: 1, Job: "j", StartMs: o.base, EndMs: o.base + 1000, EndState: "succeeded"})
		assert.Equal(t, len(record.Runs), 5)
	})
}

// Guards against usage that is known at once or does not follow its factor and throttle.
func TestUsageIsReportedLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newWorker()
		o := claim(t, s)
		o.start(start("t", lease.StayOnCutOff, 0, `{"true_cpu_millis":100,"true_memory_mb":50}`))
		time.Sleep(1999 * time.Millisecond)
		assert.Equal(t, o.sync(work.Sync{}).Tasks[0].Usage, work.Usage{})
		time.Sleep(time.Millisecond)
		usage := o.sync(work.Sync{}).Tasks[0].Usage
		assert.Assert(t, usage.CPUMillis >= 95 && usage.CPUMillis <= 105, "seed 1: %v", usage)
		s.SetFaults(work.Faults{UsageFactor: 10})
		usage = o.sync(work.Sync{Throttles: []work.Throttle{{ID: "t", CPUMillis: 70}}}).Tasks[0].Usage
		assert.Assert(t, usage.CPUMillis == 70 && usage.MemoryMB >= 475, "seed 1: %v", usage)
	})
}

// Guards against a delayed command that is judged by what was true when it was sent.
func TestHeldCallsAreJudgedWhenTheyAreCarriedOut(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults work.Faults
		claim  string // sent while the command is held
		status int
	}{
		{"slow, newer owner", work.Faults{DelayMs: 60000}, `{"owner":"p","epoch":2}`, 409},
		{"slow, claim lapsed", work.Faults{DelayMs: 60000}, `{}`, 200},
		{"frozen, claim lapsed", work.Faults{Frozen: true}, ``, 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newWorker()
				o := claim(t, s)
				s.SetFaults(c.faults)
				body, _ := json.Marshal(work.Sync{Owner: "o", Epoch: 1, RenewFromMs: o.base, Starts: []work.Start{start("t", lease.MoveOnCutOff, 0, "")}})
				status := make(chan int)
				go func() { status <- post(s, "/v1/sync", string(body)).Code }()
				time.Sleep(time.Minute - 1)
				select {
				case <-status:
					t.Fatal("answered while held")
				default:
				}
				s.SetFaults(work.Faults{})
				if c.claim != "" {
					post(s, "/v1/claim", c.claim)
				}
				assert.Equal(t, <-status, c.status)
				assert.Equal(t, len(s.History().Runs), 0)
			})
		})
	}
}

// Guards against a frozen worker on which calls pile up without bound.
func TestHeldCallsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newWorker()
		client := http.Client{Transport: plat.HandlerTransport{Handler: s.Handler()}}
		s.SetFaults(work.Faults{Frozen: true})
		claims := func() error {
			res, err := client.Post("http://w1/v1/claim", "", strings.NewReader(`{"owner":"o","epoch":1}`))
			assert.Check(t, err != nil || res.StatusCode == 200)
			return err
		}
		for range 64 {
			go func() { assert.Check(t, claims()) }()
		}
		synctest.Wait()
		assert.ErrorContains(t, claims(), "cut")
		s.SetFaults(work.Faults{})
		synctest.Wait()
		assert.NilError(t, claims())
	})
}

// Guards against a list that still shows a worker that has stopped, or its incarnation before a crash.
func TestRunKeepsTheListUpToDate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var platform plat.Server
		w := newWorker()
		w.PlatformURL = "http://platform"
		w.Client = &http.Client{Transport: plat.HandlerTransport{Handler: platform.Handler()}}
		listed := func() (in plat.Instance) {
			var list plat.InstanceList
			res, err := w.Client.Get("http://platform/v1/instances")
			assert.NilError(t, err)
			assert.NilError(t, json.NewDecoder(res.Body).Decode(&list))
			return list.Instances[0]
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- w.Run(ctx) }()
		time.Sleep(time.Second)
		first := listed()
		assert.Equal(t, first.State, "live")
		claim(t, w).start(start("t", lease.StayOnCutOff, 0, ""))
		w.SetFaults(work.Faults{Crash: true})
		time.Sleep(time.Second)
		assert.Assert(t, listed().Incarnation > first.Incarnation)
		claim(t, w).start(start("u", lease.StayOnCutOff, 0, ""))
		cancel()
		assert.NilError(t, <-done)
		assert.Equal(t, listed().State, "gone")
		assert.Equal(t, w.History().Runs[0].EndState, "crashed")
		assert.Equal(t, w.History().Runs[1].EndState, "stopped")
		assert.Equal(t, claim(t, w).start(start("v", lease.StayOnCutOff, 0, "")), "")
	})
}

// Guards against a sync from outside that breaks the worker: whatever it says, grants stay within capacity.
func FuzzSync(f *testing.F) {
	f.Fuzz(func(t *testing.T, body string) {
		now := 946684800 * time.Second
		s := newWorker()
		s.Clock = func() time.Duration { return now }
		o := claim(t, s)
		o.start(start("held", lease.StayOnCutOff, 1000, ""))
		post(s, "/v1/sync", body)
		w := post(s, "/v1/sync", body)
		assert.Assert(t, w.Code == 200 || w.Code == 400 || w.Code == 409, "status %d", w.Code)
		now += 24 * time.Hour
		record := s.History()
		assert.Assert(t, record.PeakGranted.CPUMillis <= 1000 && record.PeakGranted.MemoryMB <= 100, "%v", record.PeakGranted)
		for _, run := range record.Runs {
			assert.Assert(t, run.EndMs >= run.StartMs, "outlived every limit or ended before its start: %v", run)
		}
	})
}
