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

// start returns a start that requests 400 of the worker's 1,000 cpu_millis.
func start(id string, onCutOff lease.CutOffPolicy, runMs int64, payload string) work.Start {
	return work.Start{
		ID: id, Attempt: 1, Job: "j", Class: "normal", OnCutOff: onCutOff, RunMs: runMs, Payload: json.RawMessage(payload),
		Resources: work.Resources{CPUMillis: 400, MemoryMB: 10},
	}
}

// owner sends calls as the owner of epoch 1. Its syncs renew the lease from renewFrom.
type owner struct {
	t         *testing.T
	s         *work.Server
	renewFrom int64
}

// claim claims the worker. Later syncs renew the lease from the clock reading in the reply.
func claim(t *testing.T, s *work.Server) *owner {
	t.Helper()
	var res work.ClaimReply
	assert.Equal(t, call(t, s, "/v1/claim", work.Claim{Owner: "o", Epoch: 1}, &res), 200)
	return &owner{t: t, s: s, renewFrom: res.ClockMs}
}

func (o *owner) sync(req work.Sync) work.SyncReply {
	o.t.Helper()
	req.Owner, req.Epoch, req.RenewFromMs = "o", 1, o.renewFrom
	var res work.SyncReply
	assert.Equal(o.t, call(o.t, o.s, "/v1/sync", req, &res), 200)
	return res
}

// start starts tasks and returns the concatenated ids of the accepted ones.
func (o *owner) start(starts ...work.Start) (accepted string) {
	o.t.Helper()
	for _, st := range o.sync(work.Sync{Starts: starts}).Starts {
		if st.Accepted {
			accepted += st.ID
		}
	}
	return accepted
}

// states returns the states of the reported tasks in the order of their ids.
func (o *owner) states() (states []work.State) {
	o.t.Helper()
	for _, task := range o.sync(work.Sync{}).Tasks {
		states = append(states, task.State)
	}
	return states
}

// Guards against a simulated task that ends too early or too late.
func TestTaskRunTime(t *testing.T) {
	for _, c := range []struct {
		name     string
		runMs    int64
		payload  string
		cpuLimit int64 // CPU limit of the throttle
		endsMs   int64 // 0 if the task does not end
		state    work.State
	}{
		{"declared run time", 500, ``, 0, 500, work.Succeeded},
		{"actual run time", 500, `{"true_run_ms":3000}`, 0, 3000, work.Succeeded},
		{"failure", 500, `{"true_run_ms":3000,"fail":true}`, 0, 3000, work.Failed},
		{"service", 0, ``, 0, 0, work.Running},
		{"service that ends", 0, `{"true_run_ms":10}`, 0, 10, work.Succeeded},
		{"throttled", 500, `{"true_cpu_millis":200}`, 50, 2000, work.Succeeded},
		{"limit above actual usage", 500, `{"true_cpu_millis":200}`, 300, 500, work.Succeeded},
		{"payload as base64", 500, `"eyJ0cnVlX3J1bl9tcyI6NX0="`, 0, 5, work.Succeeded},
		{"payload without simulation values", 500, `["x"]`, 0, 500, work.Succeeded},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := claim(t, newWorker())
				assert.Equal(t, o.start(start("t", lease.StayOnCutOff, c.runMs, c.payload)), "t")
				o.sync(work.Sync{Throttles: []work.Throttle{{ID: "t", CPUMillis: c.cpuLimit}}})
				time.Sleep(time.Duration(c.endsMs-1) * time.Millisecond)
				assert.DeepEqual(t, o.states(), []work.State{work.Running})
				time.Sleep(time.Minute)
				task := o.sync(work.Sync{}).Tasks[0]
				assert.Equal(t, task.State, c.state)
				assert.Equal(t, task.EndedMs-o.renewFrom, map[bool]int64{true: -o.renewFrom, false: c.endsMs}[c.endsMs == 0])
			})
		})
	}
}

// Guards against a worker that is cut off from its owner and still runs tasks that the owner may have
// restarted on another worker.
func TestTasksStopWhenLeaseExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := claim(t, newWorker())
		o.renewFrom += 1 << 58 // overflows to the current time when converted to nanoseconds
		assert.Equal(t, o.start(start("m", lease.MoveOnCutOff, 0, ""), start("s", lease.StayOnCutOff, 0, "")), "")
		o.renewFrom -= 1 << 58
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
			assert.Equal(t, task.EndedMs-o.renewFrom, limit.Milliseconds())
			assert.Equal(t, task.CheckpointMs, task.EndedMs, "stopped without a checkpoint")
		}
	})
}

// Guards against granting more than the capacity, and against a history that does not show it.
func TestCapacityIsNotExceeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newWorker()
		o := claim(t, s)
		assert.Equal(t, o.start(start("a", lease.StayOnCutOff, 0, ""), start("b", lease.StayOnCutOff, 1000, ""), start("c", lease.StayOnCutOff, 0, "")), "ab")
		time.Sleep(time.Second)
		assert.Equal(t, o.start(start("c", lease.StayOnCutOff, 0, "")), "c")
		res := o.sync(work.Sync{Stops: []string{"a"}, Starts: []work.Start{start("d", lease.StayOnCutOff, 0, "")}})
		assert.Assert(t, res.Starts[0].Accepted, "a stop frees capacity for a start in the same sync")
		o.sync(work.Sync{Stops: []string{"c", "d"}})
		assert.Equal(t, o.start(start("e", lease.StayOnCutOff, 0, "")), "e")
		history := s.History()
		assert.Equal(t, history.PeakGranted, work.Resources{CPUMillis: 800, MemoryMB: 20})
		assert.DeepEqual(t, history.Runs[1], work.Run{ID: "b", Attempt: 1, Job: "j", StartMs: o.renewFrom, EndMs: o.renewFrom + 1000, EndState: "succeeded"})
		assert.Equal(t, len(history.Runs), 5)
	})
}

// Guards against usage that is reported without delay or ignores the usage factor or the throttle.
func TestUsageReportIsDelayed(t *testing.T) {
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

// Guards against a delayed call that is checked against the owner and lease at the time when it was
// sent, instead of when it is executed.
func TestDelayedCallsAreCheckedOnExecution(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults work.Faults
		claim  string // sent while the sync is delayed
		status int
	}{
		{"slow, newer owner", work.Faults{DelayMs: 60000}, `{"owner":"p","epoch":2}`, 409},
		{"slow, lease expired", work.Faults{DelayMs: 60000}, `{}`, 200},
		{"frozen, lease expired", work.Faults{Frozen: true}, ``, 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newWorker()
				o := claim(t, s)
				s.SetFaults(c.faults)
				body, _ := json.Marshal(work.Sync{Owner: "o", Epoch: 1, RenewFromMs: o.renewFrom, Starts: []work.Start{start("t", lease.MoveOnCutOff, 0, "")}})
				status := make(chan int)
				go func() { status <- post(s, "/v1/sync", string(body)).Code }()
				time.Sleep(time.Minute - 1)
				select {
				case <-status:
					t.Fatal("replied during the delay")
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

// Guards against a frozen worker that accumulates blocked calls without limit.
func TestBlockedCallsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newWorker()
		client := http.Client{Transport: plat.HandlerTransport{Handler: s.Handler()}}
		s.SetFaults(work.Faults{Frozen: true})
		sendClaim := func() error {
			res, err := client.Post("http://w1/v1/claim", "", strings.NewReader(`{"owner":"o","epoch":1}`))
			assert.Check(t, err != nil || res.StatusCode == 200)
			return err
		}
		for range 64 {
			go func() { assert.Check(t, sendClaim()) }()
		}
		synctest.Wait()
		assert.ErrorContains(t, sendClaim(), "connection was closed without a response")
		s.SetFaults(work.Faults{})
		synctest.Wait()
		assert.NilError(t, sendClaim())
	})
}

// Guards against an instance list that still shows a stopped worker as live, or the incarnation before a
// crash.
func TestRunUpdatesInstanceList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var platform plat.Server
		w := newWorker()
		w.PlatformURL = "http://platform"
		w.Client = &http.Client{Transport: plat.HandlerTransport{Handler: platform.Handler()}}
		listedInstance := func() (in plat.Instance) {
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
		first := listedInstance()
		assert.Equal(t, first.State, "live")
		claim(t, w).start(start("t", lease.StayOnCutOff, 0, ""))
		w.SetFaults(work.Faults{Crash: true})
		time.Sleep(time.Second)
		assert.Assert(t, listedInstance().Incarnation > first.Incarnation)
		claim(t, w).start(start("u", lease.StayOnCutOff, 0, ""))
		cancel()
		assert.NilError(t, <-done)
		assert.Equal(t, listedInstance().State, "gone")
		assert.Equal(t, w.History().Runs[0].EndState, "crashed")
		assert.Equal(t, w.History().Runs[1].EndState, "stopped")
		assert.Equal(t, claim(t, w).start(start("v", lease.StayOnCutOff, 0, "")), "")
	})
}

// Guards against malformed syncs that crash the worker or make it grant more than its capacity.
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
		history := s.History()
		assert.Assert(t, history.PeakGranted.CPUMillis <= 1000 && history.PeakGranted.MemoryMB <= 100, "%v", history.PeakGranted)
		for _, run := range history.Runs {
			assert.Assert(t, run.EndMs >= run.StartMs, "did not end, or ended before its start: %v", run)
		}
	})
}
