package front_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/back"
	"github.com/daisyrack/daisyrack/internal/front"
	"github.com/daisyrack/daisyrack/internal/sched"
	"github.com/daisyrack/daisyrack/pkg/config"
	"github.com/daisyrack/daisyrack/pkg/once"
	"github.com/daisyrack/daisyrack/pkg/queue"
	"github.com/daisyrack/daisyrack/pkg/route"
	"github.com/daisyrack/daisyrack/pkg/table/fake"
)

// Guards against a response with the wrong status or outcome, and against a request that runs
// although it was refused (I4).
func TestOutcomes(t *testing.T) {
	long := strings.Repeat("x", 256)
	cases := []struct {
		name    string
		path    string
		body    string
		headers []string
		faults  back.Faults
		status  int
		outcome route.Outcome
	}{
		{"answered", "r", "x", nil, back.Faults{}, 200, route.Answered},
		{"largest body", "small", "1234", nil, back.Faults{}, 200, route.Answered},
		{"body too large", "small", "12345", nil, back.Faults{}, 413, route.Refused},
		{"body above 1 MiB", "r", strings.Repeat("x", 1<<20+1), nil, back.Faults{}, 413, route.Refused},
		{"no route", "none", "", nil, back.Faults{}, 404, route.Refused},
		{"no user", "r", "", []string{front.HeaderUser, ""}, back.Faults{}, 400, route.Refused},
		{"long user", "r", "", []string{front.HeaderUser, long}, back.Faults{}, 400, route.Refused},
		{"long team", "r", "", []string{front.HeaderTeam, long}, back.Faults{}, 400, route.Refused},
		{"bad class", "r", "", []string{front.HeaderClass, "high"}, back.Faults{}, 400, route.Refused},
		{"deadline 0", "r", "", []string{front.HeaderDeadline, "0"}, back.Faults{}, 400, route.Refused},
		{"deadline not a number", "r", "", []string{front.HeaderDeadline, "1s"}, back.Faults{}, 400, route.Refused},
		{"longest deadline", "r", "", []string{front.HeaderDeadline, "9223372036854775807"}, back.Faults{}, 200, route.Answered},
		{"invalid non-idempotent header", "r", "", []string{front.HeaderNonIdempotent, "yes"}, back.Faults{}, 400, route.Refused},
		{"no key", "r", "", []string{front.HeaderNonIdempotent, "true"}, back.Faults{}, 400, route.Refused},
		{"no key, non-idempotent route", "once", "", nil, back.Faults{}, 400, route.Refused},
		{"long key", "once", "", []string{front.HeaderIdempotencyKey, long}, back.Faults{}, 400, route.Refused},
		{"backend server fails", "r", "", nil, back.Faults{ErrorRate: 1}, 502, route.Failed},
		{"backend server is leaving", "r", "", nil, back.Faults{Leaving: true}, 503, route.Refused},
		{"backend server is leaving, non-idempotent", "once", "", []string{front.HeaderIdempotencyKey, "k"}, back.Faults{Leaving: true}, 503, route.Refused},
		{"truncated answer", "r", "", nil, back.Faults{TruncationRate: 1}, 504, route.Unknown},
		{"truncated answer, non-idempotent", "once", "", []string{front.HeaderIdempotencyKey, "k"}, back.Faults{TruncationRate: 1}, 504, route.Unknown},
		{"late answer", "r", "", []string{front.HeaderDeadline, "100"}, back.Faults{RespondLate: true}, 504, route.Unknown},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, queue.Limits{})
			h.backend.SetFaults(tc.faults)
			rec := h.post(t.Context(), tc.path, tc.body, tc.headers...)
			checkResponse(t, rec, tc.status, tc.outcome)
			if tc.outcome == route.Answered {
				assert.Equal(t, rec.Body.String(), string(back.ResponseBody(rec.Header().Get(front.HeaderRequestID), []byte(tc.body))))
			}
			h.awaitIdle()
			assert.Assert(t, tc.outcome != route.Refused || h.runCount() == 0, "a refused request ran")
			_, claimed := h.store.Get("once/u/k")
			assert.Assert(t, tc.outcome != route.Refused || !claimed, "the key of a refused request stays claimed")
			assert.Assert(t, tc.path != "once" || h.runCount() <= 1, "a non-idempotent request ran twice")
		})
	}
}

// Guards against a request that runs after its deadline passed in the queue, and against a queue
// that admits more requests than its limit.
func TestQueueRefusals(t *testing.T) {
	h := newHarness(t, queue.Limits{DefaultTeam: queue.TeamLimits{MaxItems: 1}})
	running := h.occupySlots("r")
	late := h.send(t.Context(), "once", "x", front.HeaderDeadline, "60000", front.HeaderIdempotencyKey, "k")
	h.awaitQueueLength(1)
	checkResponse(t, h.post(t.Context(), "r", "x"), http.StatusTooManyRequests, route.Refused)
	h.clockOffset.Store(int64(2 * time.Minute))
	checkResponse(t, h.await(late), http.StatusServiceUnavailable, route.Refused)
	h.releaseHeld()
	for _, p := range running {
		checkResponse(t, h.await(p), http.StatusOK, route.Answered)
	}
	h.awaitIdle()
	assert.Equal(t, h.runCount(), slots)
	_, claimed := h.store.Get("once/u/k")
	assert.Assert(t, !claimed, "the key of a refused request stays claimed")
	c := h.server.Counters()
	assert.Equal(t, c.Received.Load(), int64(slots+2))
	assert.Equal(t, c.Answered.Load(), int64(slots))
	assert.Equal(t, c.Refused.Load(), int64(2))
}

// Guards against a slot that leaks when the client disconnects, and against a non-idempotent
// request whose response is not recorded in that case.
func TestClientDisconnects(t *testing.T) {
	h := newHarness(t, queue.Limits{})
	h.holdRequests.Store(true)
	ctx, cancel := context.WithCancel(t.Context())
	running := []pendingResponse{h.send(ctx, "r", "x"), h.send(ctx, "once", "x", front.HeaderIdempotencyKey, "k")}
	<-h.held
	<-h.held
	waitingCtx, cancelWaiting := context.WithCancel(t.Context())
	waiting := h.send(waitingCtx, "r", "waiting")
	h.awaitQueueLength(1)
	cancelWaiting()
	checkResponse(t, h.await(waiting), http.StatusServiceUnavailable, route.Refused)
	cancel()
	checkResponse(t, h.await(running[0]), http.StatusGatewayTimeout, route.Unknown)
	h.releaseHeld()
	checkResponse(t, h.await(running[1]), http.StatusOK, route.Answered)
	h.awaitIdle()
	retry := h.post(t.Context(), "once", "x", front.HeaderIdempotencyKey, "k")
	checkResponse(t, retry, http.StatusOK, route.Answered)
	assert.Equal(t, h.backend.RunCounts().Keys["k"], 1)
}

// Guards against slots that leak when clients disconnect at arbitrary moments of their request.
func TestClientsDisconnectAtAnyMoment(t *testing.T) {
	const seed, clients = 1, 300
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, seed))
	h := newHarness(t, queue.Limits{})
	var wg sync.WaitGroup
	for i := range clients {
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(rng.Int64N(int64(5*time.Millisecond))))
		defer cancel()
		path, key := "r", ""
		if i%3 == 0 {
			path, key = "once", string(rune('a'+i%20))
		}
		wg.Go(func() { h.post(ctx, path, "x", front.HeaderIdempotencyKey, key, front.HeaderDeadline, "5000") })
	}
	wg.Wait()
	h.awaitIdle()
	for key, n := range h.backend.RunCounts().Keys {
		assert.Equal(t, n, 1, "key %q", key)
	}
	checkResponse(t, h.post(t.Context(), "r", "x"), http.StatusOK, route.Answered)
}

// Guards against a second run of a non-idempotent request (I5), and against a wrong response to
// its retries.
func TestNonIdempotentRequests(t *testing.T) {
	h := newHarness(t, queue.Limits{})
	post := func(key, body string) pendingResponse {
		return h.send(t.Context(), "once", body, front.HeaderIdempotencyKey, key)
	}
	h.holdRequests.Store(true)
	first := post("k", "x")
	<-h.held
	second := post("k", "x")
	checkResponse(t, h.await(post("k", "y")), http.StatusBadRequest, route.Refused)
	h.releaseHeld()
	want := h.await(first)
	checkResponse(t, want, http.StatusOK, route.Answered)
	for _, p := range []pendingResponse{second, post("k", "x")} {
		rec := h.await(p)
		checkResponse(t, rec, http.StatusOK, route.Answered)
		assert.Equal(t, rec.Body.String(), want.Body.String())
	}
	group, other := h.newDeduplicator("e2")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = group.Run(ctx) }()
	_, claimResult := other.Claim(ctx, "u", "theirs", xxhash.Sum64String("once\x00x"))
	assert.Equal(t, claimResult, once.Run)
	checkResponse(t, h.await(post("theirs", "x")), http.StatusGatewayTimeout, route.Unknown)
	h.backend.SetFaults(back.Faults{ErrorRate: 1})
	checkResponse(t, h.await(post("fails", "x")), http.StatusBadGateway, route.Failed)
	checkResponse(t, h.await(post("fails", "x")), http.StatusBadGateway, route.Failed)
	h.store.SetFault(func(fake.Call) fake.Fault { return fake.Fault{Status: http.StatusServiceUnavailable} })
	checkResponse(t, h.await(post("new", "x")), http.StatusServiceUnavailable, route.Refused)
	checkResponse(t, h.await(post("k", "x")), http.StatusOK, route.Answered)
	h.awaitIdle()
	assert.DeepEqual(t, h.backend.RunCounts().Keys, map[string]int{"k": 1, "fails": 1})
}

// Guards against a drain that interrupts requests in progress (I7) or accepts new ones.
func TestDrain(t *testing.T) {
	h := newHarness(t, queue.Limits{})
	running := h.occupySlots("r")
	h.setNotReady("draining")
	checkResponse(t, h.post(t.Context(), "r", "x"), http.StatusServiceUnavailable, route.Refused)
	assert.Equal(t, h.do(t.Context(), http.MethodGet, "/readyz", nil).Code, http.StatusServiceUnavailable)
	assert.Equal(t, h.do(t.Context(), http.MethodGet, "/healthz", nil).Code, http.StatusOK)
	drained := make(chan error, 1)
	go func() { drained <- h.server.Router.Drain(context.Background()) }()
	h.releaseHeld()
	for _, p := range running {
		checkResponse(t, h.await(p), http.StatusOK, route.Answered)
	}
	assert.NilError(t, <-drained)
}

// Guards against changes without the operators' token, and against a wrong status for the outcome
// of a change.
func TestOperatorToken(t *testing.T) {
	h := newHarness(t, queue.Limits{})
	token, tokenErr := "secret", error(nil)
	result := config.PublishResult{Outcome: config.Published}
	h.server.OperatorToken = func() (string, error) { return token, tokenErr }
	h.server.Publish = func(context.Context, config.Publication) config.PublishResult { return result }
	accept := func(context.Context, string, string) sched.Reply { return sched.Reply{Outcome: sched.ReplyAccepted} }
	h.server.CancelJob = accept
	h.server.SubmitJob = func(context.Context, config.Job, string) sched.Reply { return sched.Reply{Outcome: sched.ReplyUnknown} }
	const job = `{"kind":"batch","name":"j","user":"u","tasks":1,"resources":{"cpu_millis":1,"memory_mb":1}}`
	call := func(method, path, body, authorization string) int {
		return h.do(t.Context(), method, path, strings.NewReader(body), "Authorization", authorization).Code
	}
	for _, authorization := range []string{"", "Bearer ", "Bearer wrong", "Bearer secret2"} {
		assert.Equal(t, call("POST", "/v1/publish", "{}", authorization), http.StatusUnauthorized)
		assert.Equal(t, call("POST", "/v1/jobs", job, authorization), http.StatusUnauthorized)
		assert.Equal(t, call("DELETE", "/v1/jobs/j", "", authorization), http.StatusUnauthorized)
	}
	assert.Equal(t, call("GET", "/v1/config", "", ""), http.StatusOK)
	assert.Equal(t, call("DELETE", "/v1/jobs/j", "", "Bearer secret"), http.StatusOK)
	assert.Equal(t, call("POST", "/v1/jobs", job, "Bearer secret"), http.StatusGatewayTimeout)
	assert.Equal(t, call("POST", "/v1/jobs", `{"kind":"route","name":"r"}`, "Bearer secret"), http.StatusBadRequest)
	assert.Equal(t, call("POST", "/v1/publish", `{"x":1}`, "Bearer secret"), http.StatusBadRequest)
	for outcome, status := range map[config.PublishOutcome]int{
		config.Published: 200, config.Unchanged: 200, config.Invalid: 400,
		config.Conflicting: 409, config.Unavailable: 503, config.Unknown: 504,
	} {
		result.Outcome = outcome
		assert.Equal(t, call("POST", "/v1/publish", "{}", "Bearer secret"), status, string(outcome))
	}
	tokenErr = errors.New("unreadable")
	assert.Equal(t, call("DELETE", "/v1/jobs/j", "", "Bearer secret"), http.StatusServiceUnavailable)
	token, tokenErr = "", nil
	assert.Equal(t, call("DELETE", "/v1/jobs/j", "", ""), http.StatusOK)
}

// Guards against a key that stays claimed by a request whose deadline passed after its claim and
// before it got a slot.
func TestClaimedRequestExpiresWithoutSlot(t *testing.T) {
	h := newHarness(t, queue.Limits{})
	claiming, resume := make(chan struct{}), make(chan struct{})
	var firstWrite sync.Once
	h.store.SetFault(func(call fake.Call) fake.Fault {
		if call.IsWrite() {
			firstWrite.Do(func() { close(claiming) })
			<-resume
		}
		return fake.Fault{}
	})
	late := h.send(t.Context(), "once", "x", front.HeaderDeadline, "60000", front.HeaderIdempotencyKey, "k")
	<-claiming
	running := h.occupySlots("r")
	close(resume)
	claimed := func() bool {
		_, ok := h.store.Get("once/u/k")
		return ok
	}
	h.eventually("no claim", claimed)
	h.clockOffset.Store(int64(2 * time.Minute))
	checkResponse(t, h.await(late), http.StatusServiceUnavailable, route.Refused)
	assert.Assert(t, !claimed(), "the key of a refused request stays claimed")
	h.releaseHeld()
	for _, p := range running {
		checkResponse(t, h.await(p), http.StatusOK, route.Answered)
	}
	h.awaitIdle()
}
