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

// Guards against an answer with the wrong status or outcome, and against a refused request that ran (I4).
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
		{"deadline no number", "r", "", []string{front.HeaderDeadline, "1s"}, back.Faults{}, 400, route.Refused},
		{"longest deadline", "r", "", []string{front.HeaderDeadline, "9223372036854775807"}, back.Faults{}, 200, route.Answered},
		{"bad mark", "r", "", []string{front.HeaderNonIdempotent, "yes"}, back.Faults{}, 400, route.Refused},
		{"no key", "r", "", []string{front.HeaderNonIdempotent, "true"}, back.Faults{}, 400, route.Refused},
		{"no key, marked by the route", "once", "", nil, back.Faults{}, 400, route.Refused},
		{"long key", "once", "", []string{front.HeaderIdempotencyKey, long}, back.Faults{}, 400, route.Refused},
		{"backend server fails", "r", "", nil, back.Faults{Fail: 1}, 502, route.Failed},
		{"backend server leaves", "r", "", nil, back.Faults{Leaving: true}, 503, route.Refused},
		{"backend server leaves, non-idempotent", "once", "", []string{front.HeaderIdempotencyKey, "k"}, back.Faults{Leaving: true}, 503, route.Refused},
		{"truncated answer", "r", "", nil, back.Faults{HalfAnswers: 1}, 504, route.Unknown},
		{"truncated answer, non-idempotent", "once", "", []string{front.HeaderIdempotencyKey, "k"}, back.Faults{HalfAnswers: 1}, 504, route.Unknown},
		{"late answer", "r", "", []string{front.HeaderDeadline, "100"}, back.Faults{Late: true}, 504, route.Unknown},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, queue.Limits{})
			r.backend.SetFaults(tc.faults)
			rec := r.post(t.Context(), tc.path, tc.body, tc.headers...)
			check(t, rec, tc.status, tc.outcome)
			if tc.outcome == route.Answered {
				assert.Equal(t, rec.Body.String(), string(back.Body(rec.Header().Get(front.HeaderRequestID), []byte(tc.body))))
			}
			r.idle()
			assert.Assert(t, tc.outcome != route.Refused || r.runs() == 0, "a refused request ran")
			_, claimed := r.store.Get("once/u/k")
			assert.Assert(t, tc.outcome != route.Refused || !claimed, "the key of a refused request stays taken")
			assert.Assert(t, tc.path != "once" || r.runs() <= 1, "a non-idempotent request ran twice")
		})
	}
}

// Guards against work that runs after its deadline, and against a bounded queue that takes more.
func TestRefusalsInTheQueue(t *testing.T) {
	r := newRig(t, queue.Limits{DefaultTeam: queue.TeamLimits{MaxItems: 1}})
	running := r.fill("r")
	late := r.send(t.Context(), "once", "x", front.HeaderDeadline, "60000", front.HeaderIdempotencyKey, "k")
	r.waiting(1)
	check(t, r.post(t.Context(), "r", "x"), http.StatusTooManyRequests, route.Refused)
	r.ahead.Store(int64(2 * time.Minute))
	check(t, r.answerOf(late), http.StatusServiceUnavailable, route.Refused)
	r.open()
	for _, p := range running {
		check(t, r.answerOf(p), http.StatusOK, route.Answered)
	}
	r.idle()
	assert.Equal(t, r.runs(), slots)
	_, claimed := r.store.Get("once/u/k")
	assert.Assert(t, !claimed, "the key of a refused request stays taken")
	c := r.front.Counters()
	assert.Equal(t, c.Received.Load(), int64(slots+2))
	assert.Equal(t, c.Answered.Load(), int64(slots))
	assert.Equal(t, c.Refused.Load(), int64(2))
}

// Guards against a slot that is lost with its caller, and against a non-idempotent request whose
// answer is lost with it.
func TestCallerGoesAway(t *testing.T) {
	r := newRig(t, queue.Limits{})
	r.gated.Store(true)
	ctx, cancel := context.WithCancel(t.Context())
	running := []pending{r.send(ctx, "r", "x"), r.send(ctx, "once", "x", front.HeaderIdempotencyKey, "k")}
	<-r.entered
	<-r.entered
	early, leave := context.WithCancel(t.Context())
	waiting := r.send(early, "r", "waiting")
	r.waiting(1)
	leave()
	check(t, r.answerOf(waiting), http.StatusServiceUnavailable, route.Refused)
	cancel()
	check(t, r.answerOf(running[0]), http.StatusGatewayTimeout, route.Unknown)
	r.open()
	check(t, r.answerOf(running[1]), http.StatusOK, route.Answered)
	r.idle()
	repeat := r.post(t.Context(), "once", "x", front.HeaderIdempotencyKey, "k")
	check(t, repeat, http.StatusOK, route.Answered)
	assert.Equal(t, r.backend.Runs().Keys["k"], 1)
}

// Guards against slots that are lost when callers go at any moment.
func TestCallersGoAtAnyMoment(t *testing.T) {
	const seed, callers = 1, 300
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, seed))
	r := newRig(t, queue.Limits{})
	var wg sync.WaitGroup
	for i := range callers {
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(rng.Int64N(int64(5*time.Millisecond))))
		defer cancel()
		path, key := "r", ""
		if i%3 == 0 {
			path, key = "once", string(rune('a'+i%20))
		}
		wg.Go(func() { r.post(ctx, path, "x", front.HeaderIdempotencyKey, key, front.HeaderDeadline, "5000") })
	}
	wg.Wait()
	r.idle()
	for key, n := range r.backend.Runs().Keys {
		assert.Equal(t, n, 1, "key %q", key)
	}
	check(t, r.post(t.Context(), "r", "x"), http.StatusOK, route.Answered)
}

// Guards against a second run of a non-idempotent request (I5) and a wrong answer to its repeats.
func TestNonIdempotentRequests(t *testing.T) {
	r := newRig(t, queue.Limits{})
	post := func(key, body string) pending {
		return r.send(t.Context(), "once", body, front.HeaderIdempotencyKey, key)
	}
	r.gated.Store(true)
	first := post("k", "x")
	<-r.entered
	second := post("k", "x")
	check(t, r.answerOf(post("k", "y")), http.StatusBadRequest, route.Refused)
	r.open()
	want := r.answerOf(first)
	check(t, want, http.StatusOK, route.Answered)
	for _, p := range []pending{second, post("k", "x")} {
		rec := r.answerOf(p)
		check(t, rec, http.StatusOK, route.Answered)
		assert.Equal(t, rec.Body.String(), want.Body.String())
	}
	group, other := r.register("e2")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = group.Run(ctx) }()
	_, verdict := other.Claim(ctx, "u", "theirs", xxhash.Sum64String("once\x00x"))
	assert.Equal(t, verdict, once.Run)
	check(t, r.answerOf(post("theirs", "x")), http.StatusGatewayTimeout, route.Unknown)
	r.backend.SetFaults(back.Faults{Fail: 1})
	check(t, r.answerOf(post("fails", "x")), http.StatusBadGateway, route.Failed)
	check(t, r.answerOf(post("fails", "x")), http.StatusBadGateway, route.Failed)
	r.store.SetFault(func(fake.Call) fake.Fault { return fake.Fault{Status: http.StatusServiceUnavailable} })
	check(t, r.answerOf(post("new", "x")), http.StatusServiceUnavailable, route.Refused)
	check(t, r.answerOf(post("k", "x")), http.StatusOK, route.Answered)
	r.idle()
	assert.DeepEqual(t, r.backend.Runs().Keys, map[string]int{"k": 1, "fails": 1})
}

// Guards against a drain that interrupts requests in progress (I7) or takes new ones.
func TestDrain(t *testing.T) {
	r := newRig(t, queue.Limits{})
	running := r.fill("r")
	r.setReady("draining")
	check(t, r.post(t.Context(), "r", "x"), http.StatusServiceUnavailable, route.Refused)
	assert.Equal(t, r.call(t.Context(), http.MethodGet, "/readyz", nil).Code, http.StatusServiceUnavailable)
	assert.Equal(t, r.call(t.Context(), http.MethodGet, "/healthz", nil).Code, http.StatusOK)
	drained := make(chan error, 1)
	go func() { drained <- r.front.Router.Drain(context.Background()) }()
	r.open()
	for _, p := range running {
		check(t, r.answerOf(p), http.StatusOK, route.Answered)
	}
	assert.NilError(t, <-drained)
}

// Guards against changes without the operators' token and against a wrong status for their outcome.
func TestOperatorsToken(t *testing.T) {
	r := newRig(t, queue.Limits{})
	token, tokenErr := "secret", error(nil)
	result := config.PublishResult{Outcome: config.Published}
	r.front.OperatorToken = func() (string, error) { return token, tokenErr }
	r.front.Publish = func(context.Context, config.Publication) config.PublishResult { return result }
	accepted := func(context.Context, string, string) sched.Reply { return sched.Reply{Outcome: sched.ReplyAccepted} }
	r.front.CancelJob = accepted
	r.front.SubmitJob = func(context.Context, config.Job, string) sched.Reply { return sched.Reply{Outcome: sched.ReplyUnknown} }
	const job = `{"kind":"batch","name":"j","user":"u","tasks":1,"resources":{"cpu_millis":1,"memory_mb":1}}`
	call := func(method, path, body, given string) int {
		return r.call(t.Context(), method, path, strings.NewReader(body), "Authorization", given).Code
	}
	for _, given := range []string{"", "Bearer ", "Bearer wrong", "Bearer secret2"} {
		assert.Equal(t, call("POST", "/v1/publish", "{}", given), http.StatusUnauthorized)
		assert.Equal(t, call("POST", "/v1/jobs", job, given), http.StatusUnauthorized)
		assert.Equal(t, call("DELETE", "/v1/jobs/j", "", given), http.StatusUnauthorized)
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

// Guards against a key that stays taken by a request that was refused between its claim and its slot.
func TestClaimedRequestExpiresWithoutSlot(t *testing.T) {
	r := newRig(t, queue.Limits{})
	claiming, goOn := make(chan struct{}), make(chan struct{})
	var first sync.Once
	r.store.SetFault(func(call fake.Call) fake.Fault {
		if call.Write() {
			first.Do(func() { close(claiming) })
			<-goOn
		}
		return fake.Fault{}
	})
	late := r.send(t.Context(), "once", "x", front.HeaderDeadline, "60000", front.HeaderIdempotencyKey, "k")
	<-claiming
	running := r.fill("r")
	close(goOn)
	claimed := func() bool {
		_, ok := r.store.Get("once/u/k")
		return ok
	}
	r.eventually("no claim", claimed)
	r.ahead.Store(int64(2 * time.Minute))
	check(t, r.answerOf(late), http.StatusServiceUnavailable, route.Refused)
	assert.Assert(t, !claimed(), "the key of a refused request stays taken")
	r.open()
	for _, p := range running {
		check(t, r.answerOf(p), http.StatusOK, route.Answered)
	}
	r.idle()
}
