package route_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/pkg/route"
)

type handler = func(f *fakeBackend, w http.ResponseWriter, r *http.Request)

func withHandler(handle handler) func(*fakeBackend) {
	return func(f *fakeBackend) { f.handle = handle }
}

func abort(*fakeBackend, http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func wrongID(_ *fakeBackend, w http.ResponseWriter, r *http.Request) {
	r.Header.Set("Request-Id", "other")
	reply(w, r, http.StatusOK)
}

// fixedBody responds with n bytes and the given Content-Length, which may be wrong; "" means none.
func fixedBody(length string, n int) handler {
	return func(_ *fakeBackend, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		if length != "" {
			w.Header().Set("Content-Length", length)
		}
		_, _ = w.Write(make([]byte, n))
		_ = http.NewResponseController(w).Flush()
	}
}

// Invariants I3, I4 and I5 must hold for each fault of a backend server: a request that ran must not
// be reported as refused, a non-idempotent request must not run twice, and a partial response or the
// response to another request must not be used. The first server chosen is faulty and the second
// one works.
func TestOutcomeOfEachFault(t *testing.T) {
	cases := map[string]struct {
		fault                     func(*fakeBackend)
		idempotent, nonIdempotent route.Outcome
		firstRuns                 int // runs of a non-idempotent request at the faulty server
	}{
		"none":                  {func(*fakeBackend) {}, route.Answered, route.Answered, 1},
		"down before the write": {func(f *fakeBackend) { f.down = true }, route.Answered, route.Answered, 0},
		// The server reads the whole body, because it could otherwise respond before the connection
		// is closed.
		"closed during write":   {func(f *fakeBackend) { f.closeAfter = 8192; withHandler(readAll)(f) }, route.Answered, route.Unknown, 1},
		"reset after the write": {withHandler(abort), route.Answered, route.Unknown, 1},
		"closed after write": {
			withHandler(func(f *fakeBackend, _ http.ResponseWriter, _ *http.Request) { f.closeConns() }), route.Answered, route.Unknown, 1,
		},
		"unresponsive after write": {
			withHandler(func(f *fakeBackend, _ http.ResponseWriter, _ *http.Request) {
				time.Sleep(time.Millisecond) // let the connection work before it becomes unresponsive
				f.silenceConns()
			}), route.Answered, route.Unknown, 1,
		},
		"503 not run":    {withHandler(status(503, "Run-State", "not-run")), route.Answered, route.Answered, 0},
		"plain 503":      {withHandler(status(503)), route.Answered, route.Failed, 1},
		"plain 500":      {withHandler(status(500)), route.Answered, route.Failed, 1},
		"not found":      {withHandler(status(404)), route.Answered, route.Answered, 1},
		"truncated":      {withHandler(fixedBody("100", 4)), route.Answered, route.Unknown, 1},
		"wrong id":       {withHandler(wrongID), route.Answered, route.Unknown, 1},
		"no length":      {withHandler(fixedBody("", 4)), route.Answered, route.Unknown, 1},
		"above 4 MiB":    {withHandler(fixedBody("4194305", route.MaxResponseBytes+1)), route.Failed, route.Failed, 1},
		"not run, wrong": {withHandler(status(500, "Run-State", "not-run")), route.Answered, route.Failed, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				for _, id := range []string{"idempotent", "once"} {
					x := setup(t, 2)
					c.fault(x.backends[0])
					req := request(id)
					req.NonIdempotent = id == "once"
					req.Body = make([]byte, 32<<10)
					resp := x.send(t, req)
					synctest.Wait()
					want := c.idempotent
					if req.NonIdempotent {
						want = c.nonIdempotent
						assert.Equal(t, x.backends[0].runCount(id), c.firstRuns)
						if resp.Outcome != route.Answered || resp.Backend == "a" {
							assert.Equal(t, x.backends[1].runCount(id), 0)
						}
					}
					assert.Equal(t, resp.Outcome, want, resp.Reason)
					if want == route.Answered {
						assert.Equal(t, string(resp.Body), id)
					}
					if name == "unresponsive after write" {
						assert.Equal(t, x.Snapshot()[0].Failures, 0, "the server itself is not at fault")
					}
					st := x.Stats()
					assert.Equal(t, st.Answered+st.Refused+st.Failed+st.Unknown, uint64(1))
					time.Sleep(time.Minute)
					assert.Equal(t, x.FreeSlots(), 16, "slots must be released exactly once")
				}
			})
		})
	}
}

// After the deadline of a request, its slot must stay taken while the server is still busy, and its
// late response must not be used. A server that does not respond at all must count as failed.
func TestLateResponseIsDroppedAndHoldsItsSlot(t *testing.T) {
	for handlingTime, failures := range map[time.Duration]int{3 * time.Second: 0, 5 * time.Second: 1} {
		synctest.Test(t, func(t *testing.T) {
			x := setup(t, 1)
			x.backends[0].handle = func(_ *fakeBackend, w http.ResponseWriter, r *http.Request) {
				time.Sleep(handlingTime)
				reply(w, r, http.StatusOK)
			}
			req := request("q")
			start := time.Now()
			req.Deadline = start.Add(time.Second)
			assert.Equal(t, x.send(t, req).Outcome, route.Unknown)
			assert.Equal(t, time.Since(start), time.Second)
			time.Sleep(handlingTime - 1001*time.Millisecond)
			assert.Equal(t, x.FreeSlots(), 7)
			assert.Equal(t, x.Snapshot()[0].Failures, failures)
			time.Sleep(2 * time.Millisecond)
			assert.Equal(t, x.FreeSlots(), 8)
			assert.Equal(t, x.Stats().LateAnswers, uint64(1))
			assert.Equal(t, x.runCount("q"), 1)
		})
	}
}

// Invariant I7: a drain must not interrupt a request in progress, not even between two attempts.
func TestDrainWaitsForRequestsInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := setup(t, 2)
		for _, f := range x.backends {
			f.handle = func(f *fakeBackend, w http.ResponseWriter, r *http.Request) {
				time.Sleep(time.Second)
				if f.name == "a" {
					panic(http.ErrAbortHandler)
				}
				reply(w, r, http.StatusOK)
			}
		}
		done := make(chan route.Response)
		go func() { done <- x.send(t, request("q")) }()
		time.Sleep(time.Millisecond)
		start := time.Now()
		assert.NilError(t, x.Drain(t.Context()))
		assert.Equal(t, time.Since(start), 1999*time.Millisecond)
		assert.Equal(t, (<-done).Outcome, route.Answered)
	})
}

// A server must get work even if the instance list does not contain its number of slots.
func TestSlotsAreTakenFromHealthReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := setup(t, 1)
		x.UpdateBackends([]route.Backend{{Name: "b", Address: x.list[0].Address}})
		x.startPolling(t)
		assert.Equal(t, x.FreeSlots(), 8)
	})
}
