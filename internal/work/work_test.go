package work_test

import (
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/work"
	"github.com/daisyrack/daisyrack/pkg/lease"
)

func call(t *testing.T, s *work.Server, path string, req, res any) (status int) {
	t.Helper()
	body, err := json.Marshal(req)
	assert.NilError(t, err)
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest("POST", path, strings.NewReader(string(body))))
	if res != nil {
		assert.NilError(t, json.Unmarshal(w.Body.Bytes(), res))
	}
	return w.Code
}

func newWorker() *work.Server {
	return &work.Server{
		Name: "w1", Address: "127.0.0.1:1", FailureDomain: "a", Seed: 1,
		Capacity: work.Resources{CPUMillis: 1000, MemoryMB: 100},
	}
}

func start(id string, kind lease.CutOff, runMs int64) work.Start {
	return work.Start{
		ID: id, Attempt: 1, Job: "j", Class: "normal", OnCutOff: kind, RunMs: runMs,
		Resources: work.Resources{CPUMillis: 400, MemoryMB: 10},
	}
}

// claim claims the worker and returns its clock, which stands for a proven base.
func claim(t *testing.T, s *work.Server, owner string, epoch int64) int64 {
	t.Helper()
	var res work.Claimed
	assert.Equal(t, call(t, s, "/v1/claim", work.Claim{Owner: owner, Epoch: epoch}, &res), 200)
	return res.ClockMs
}

func sync(t *testing.T, s *work.Server, req work.Sync) work.Synced {
	t.Helper()
	var res work.Synced
	assert.Equal(t, call(t, s, "/v1/sync", req, &res), 200)
	return res
}

// Guards against a task that ends early or late, or whose result is lost before it is forgotten.
func TestTaskRunsForItsTrueTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newWorker()
		base := claim(t, s, "o", 1)
		st := start("t", lease.Stay, 500)
		st.Payload = json.RawMessage(`{"true_run_ms":3000,"fail":true}`)
		res := sync(t, s, work.Sync{Owner: "o", Epoch: 1, BaseMs: base, Starts: []work.Start{st}})
		assert.Assert(t, res.Starts[0].Accepted, res.Starts[0].Reason)
		time.Sleep(2999 * time.Millisecond)
		res = sync(t, s, work.Sync{Owner: "o", Epoch: 1, BaseMs: base})
		assert.Equal(t, res.Tasks[0].State, work.Running)
		time.Sleep(time.Hour)
		res = sync(t, s, work.Sync{Owner: "o", Epoch: 1, BaseMs: base})
		assert.Equal(t, res.Tasks[0].State, work.Failed)
		assert.Equal(t, res.Tasks[0].EndedMs, base+3000)
		res = sync(t, s, work.Sync{Owner: "o", Epoch: 1, BaseMs: base, Forgets: []string{"t"}})
		assert.Equal(t, len(res.Tasks), 0)
		assert.Equal(t, len(s.History().Runs), 1)
	})
}
