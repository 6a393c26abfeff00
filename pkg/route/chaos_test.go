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

// Guards I3, I4 and I5 when faults coincide: many requests at once, each run with a random
// fault, callers that go away, and connections that close or go silent under all of them.
func TestRandomFaultsKeepTheInvariants(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { randomFaults(t, rand.New(rand.NewPCG(seed, 0))) })
		})
	}
}

func randomFaults(t *testing.T, rnd *rand.Rand) {
	x := setup(t, 3)
	x.watch(t)
	var mu sync.Mutex // guards rnd
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return rnd.IntN(n)
	}
	x.Random = draw
	faults := []handler{
		abort, raw("100", 4), wrongID, raw("", 4), status(500), status(503), status(503, "Run-State", "not-run"),
		func(f *fake, _ http.ResponseWriter, _ *http.Request) { f.cut() },
		func(f *fake, _ http.ResponseWriter, _ *http.Request) { f.freeze() },
	}
	for _, f := range x.fakes {
		f.handle = func(f *fake, w http.ResponseWriter, r *http.Request) {
			time.Sleep(time.Duration(draw(300)) * time.Millisecond)
			if i := draw(3 * len(faults)); i < len(faults) {
				faults[i](f, w, r)
				return
			}
			reply(w, r, http.StatusOK)
		}
	}
	const requests = 300
	answers := make([]route.Response, requests)
	sent := uint64(0)
	var wg sync.WaitGroup
	for i := range requests {
		time.Sleep(time.Duration(draw(20)) * time.Millisecond)
		slot, ok := x.Acquire("r")
		if !ok {
			continue
		}
		sent++
		wg.Go(func() {
			req := request(fmt.Sprint(i))
			req.NonIdempotent = i%2 == 0
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(draw(3000))*time.Millisecond)
			defer cancel()
			answers[i] = x.Do(ctx, slot, req)
		})
	}
	wg.Wait()
	time.Sleep(time.Minute)
	for i, ans := range answers {
		id := fmt.Sprint(i)
		runs := x.ran(id)
		assert.Check(t, i%2 != 0 || runs <= 1, "%s ran %d times", id, runs)
		switch ans.Outcome {
		case route.Answered:
			assert.Check(t, runs >= 1 && string(ans.Body) == id, "%s answered %q", id, ans.Body)
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
