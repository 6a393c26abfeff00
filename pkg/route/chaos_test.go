package route_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/pkg/route"
)

// Invariants I3, I4 and I5 must hold when faults coincide: many concurrent requests with random
// faults, callers that disconnect, and connections that are closed or become unresponsive.
func TestRandomFaultsKeepTheInvariants(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { randomFaults(t, rand.New(rand.NewPCG(seed, 0))) })
		})
	}
}

func randomFaults(t *testing.T, rnd *rand.Rand) {
	x := setup(t, 3)
	x.startPolling(t)
	var mu sync.Mutex // guards rnd
	randomIntN := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return rnd.IntN(n)
	}
	x.Random = randomIntN
	faults := []handler{
		abort, fixedBody("100", 4), wrongID, fixedBody("", 4), status(500), status(503), status(503, "Run-State", "not-run"),
		func(f *fakeBackend, _ http.ResponseWriter, _ *http.Request) { f.closeConns() },
		func(f *fakeBackend, _ http.ResponseWriter, _ *http.Request) { f.silenceConns() },
	}
	for _, f := range x.backends {
		f.handle = func(f *fakeBackend, w http.ResponseWriter, r *http.Request) {
			time.Sleep(time.Duration(randomIntN(300)) * time.Millisecond)
			if i := randomIntN(3 * len(faults)); i < len(faults) {
				faults[i](f, w, r)
				return
			}
			reply(w, r, http.StatusOK)
		}
	}
	const requests = 300
	responses := make([]route.Response, requests)
	sent := uint64(0)
	var wg sync.WaitGroup
	for i := range requests {
		time.Sleep(time.Duration(randomIntN(20)) * time.Millisecond)
		slot, ok := x.Acquire("r")
		if !ok {
			continue
		}
		sent++
		wg.Go(func() {
			req := request(fmt.Sprint(i))
			req.NonIdempotent = i%2 == 0
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(randomIntN(3000))*time.Millisecond)
			defer cancel()
			responses[i] = x.Do(ctx, slot, req)
		})
	}
	wg.Wait()
	time.Sleep(time.Minute)
	for i, resp := range responses {
		id := fmt.Sprint(i)
		runs := x.runCount(id)
		assert.Check(t, i%2 != 0 || runs <= 1, "%s ran %d times", id, runs)
		switch resp.Outcome {
		case route.Answered:
			assert.Check(t, runs >= 1 && string(resp.Body) == id, "%s answered %q", id, resp.Body)
		case route.Failed:
			assert.Check(t, runs >= 1, "%s failed without a run", id)
		case route.Refused:
			assert.Check(t, runs == 0, "%s refused after %d runs", id, runs)
		}
	}
	st := x.Stats()
	assert.Equal(t, st.Answered+st.Refused+st.Failed+st.Unknown, sent)
	assert.Check(t, st.Answered > 0 && st.Unknown > 0, "%+v", st)
	for _, s := range x.Snapshot() {
		assert.Equal(t, s.Used, 0)
	}
}
