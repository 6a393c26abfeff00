package route_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/pkg/route"
)

type handler = func(f *fake, w http.ResponseWriter, r *http.Request)

func on(handle handler) func(*fake) {
	return func(f *fake) { f.handle = handle }
}

func abort(*fake, http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func wrongID(_ *fake, w http.ResponseWriter, r *http.Request) {
	r.Header.Set("Request-Id", "other")
	reply(w, r, http.StatusOK)
}

// raw answers with n bytes and a Content-Length that need not fit them; "" means none.
func raw(length string, n int) handler {
	return func(_ *fake, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		if length != "" {
			w.Header().Set("Content-Length", length)
		}
		_, _ = w.Write(make([]byte, n))
		_ = http.NewResponseController(w).Flush()
	}
}

// Guards I3, I4 and I5 against each fault of a backend server: a refusal of a request that
// ran, a second run of a non-idempotent one, and an answer that is partial or another's.
// The first choice is faulty and the second works.
func TestOutcomeOfEachFault(t *testing.T) {
	cases := map[string]struct {
		fault                     func(*fake)
		idempotent, nonIdempotent route.Outcome
		firstRuns                 int // runs of a non-idempotent request at the faulty server
	}{
		"none":                  {func(*fake) {}, route.Answered, route.Answered, 1},
		"down before the write": {func(f *fake) { f.down = true }, route.Answered, route.Answered, 0},
		// The server reads the whole body, or its answer could overtake the cut.
		"closed during write":   {func(f *fake) { f.cutAfter = 8192; on(readAll)(f) }, route.Answered, route.Unknown, 1},
		"reset after the write": {on(abort), route.Answered, route.Unknown, 1},
		"closed after write": {
			on(func(f *fake, _ http.ResponseWriter, _ *http.Request) { f.cut() }), route.Answered, route.Unknown, 1,
		},
		"silent after write": {
			on(func(f *fake, _ http.ResponseWriter, _ *http.Request) {
				time.Sleep(time.Millisecond) // the connection has worked before it goes silent
				f.freeze()
			}), route.Answered, route.Unknown, 1,
		},
		"503 not run":    {on(status(503, "Run-State", "not-run")), route.Answered, route.Answered, 0},
		"plain 503":      {on(status(503)), route.Answered, route.Failed, 1},
		"plain 500":      {on(status(500)), route.Answered, route.Failed, 1},
		"not found":      {on(status(404)), route.Answered, route.Answered, 1},
		"truncated":      {on(raw("100", 4)), route.Answered, route.Unknown, 1},
		"wrong id":       {on(wrongID), route.Answered, route.Unknown, 1},
		"no length":      {on(raw("", 4)), route.Answered, route.Unknown, 1},
		"above 4 MiB":    {on(raw("4194305", route.MaxResponseBytes+1)), route.Failed, route.Failed, 1},
		"not run, wrong": {on(status(500, "Run-State", "not-run")), route.Answered, route.Failed, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				for _, id := range []string{"idempotent", "once"} {
					x := setup(t, 2)
					c.fault(x.fakes[0])
					req := request(id)
					req.NonIdempotent = id == "once"
					req.Body = make([]byte, 32<<10)
					ans := x.send(t, req)
					synctest.Wait()
					want := c.idempotent
					if req.NonIdempotent {
						want = c.nonIdempotent
						assert.Equal(t, x.fakes[0].ran(id), c.firstRuns)
						if ans.Outcome != route.Answered || ans.Backend == "a" {
							assert.Equal(t, x.fakes[1].ran(id), 0)
						}
					}
					assert.Equal(t, ans.Outcome, want, ans.Reason)
					if want == route.Answered {
						assert.Equal(t, string(ans.Body), id)
					}
					if name == "silent after write" {
						assert.Equal(t, x.Snapshot()[0].Failures, 0, "the server itself is not at fault")
					}
					st := x.Stats()
					assert.Equal(t, st.Answered+st.Refused+st.Failed+st.Unknown, uint64(1))
					time.Sleep(time.Minute)
					assert.Equal(t, x.FreeSlots(), 16, "slots must be given back exactly once")
				}
			})
		})
	}
}

// Guards against a slot that is given back, or an answer that is used, after its time, while
// the server is still busy, and against a server that never answers and is not counted as failed.
func TestLateAnswerIsDroppedAndHoldsItsSlot(t *testing.T) {
	for took, failures := range map[time.Duration]int{3 * time.Second: 0, 5 * time.Second: 1} {
		synctest.Test(t, func(t *testing.T) {
			x := setup(t, 1)
			x.fakes[0].handle = func(_ *fake, w http.ResponseWriter, r *http.Request) {
				time.Sleep(took)
				reply(w, r, http.StatusOK)
			}
			req := request("q")
			start := time.Now()
			req.Deadline = start.Add(time.Second)
			assert.Equal(t, x.send(t, req).Outcome, route.Unknown)
			assert.Equal(t, time.Since(start), time.Second)
			time.Sleep(took - 1001*time.Millisecond)
			assert.Equal(t, x.FreeSlots(), 7)
			assert.Equal(t, x.Snapshot()[0].Failures, failures)
			time.Sleep(2 * time.Millisecond)
			assert.Equal(t, x.FreeSlots(), 8)
			assert.Equal(t, x.Stats().LateAnswers, uint64(1))
			assert.Equal(t, x.ran("q"), 1)
		})
	}
}

// Guards I7: a drain interrupts no request in progress, also not one between two attempts.
func TestDrainWaitsForRequestsInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := setup(t, 2)
		for _, f := range x.fakes {
			f.handle = func(f *fake, w http.ResponseWriter, r *http.Request) {
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

// Guards against servers without work because the list does not say how many slots they have.
func TestSlotsComeFromHealthWhenTheListHasNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := setup(t, 1)
		x.UpdateBackends([]route.Backend{{Name: "b", Address: x.list[0].Address}})
		x.watch(t)
		assert.Equal(t, x.FreeSlots(), 8)
	})
}
