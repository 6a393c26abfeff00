package route_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/net/http2"
	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/pkg/route"
)

// Guards I6: each source of the leaving state stops new work within 5 s, and a list
// that lags, in either direction, does not overrule the server's own newer word.
func TestNewestKnowledgeOfLeavingWins(t *testing.T) {
	listed := func(state route.State, incarnation int64) func(*fixture) {
		return func(x *fixture) {
			b := x.list[0]
			b.State, b.Incarnation = state, incarnation
			x.UpdateBackends([]route.Backend{b})
		}
	}
	mark := func(code int, headers ...string) func(*fixture) {
		return func(x *fixture) {
			x.fakes[0].set(func() { x.fakes[0].handle = status(code, headers...) })
			slot, _ := x.Acquire("r")
			_ = x.Do(context.Background(), slot, request("q"))
		}
	}
	health := func(state string, incarnation int64) func(*fixture) {
		return func(x *fixture) {
			x.fakes[0].set(func() { x.fakes[0].state, x.fakes[0].incarnation = state, incarnation })
			time.Sleep(2 * time.Second)
		}
	}
	wait := func(*fixture) { time.Sleep(5 * time.Second) }
	cases := map[string]struct {
		steps []func(*fixture)
		takes bool
	}{
		"mark in answer":              {[]func(*fixture){mark(200, "Server-State", "leaving")}, false},
		"mark in refusal":             {[]func(*fixture){mark(503, "Run-State", "not-run", "Server-State", "leaving")}, false},
		"health poll":                 {[]func(*fixture){health("leaving", 1)}, false},
		"list":                        {[]func(*fixture){listed(route.Leaving, 1)}, false},
		"gone from list":              {[]func(*fixture){func(x *fixture) { x.UpdateBackends(nil) }}, false},
		"stale list after mark":       {[]func(*fixture){mark(200, "Server-State", "leaving"), listed(route.Live, 1), wait}, false},
		"stale list after gone":       {[]func(*fixture){health("leaving", 1), listed(route.Gone, 1), wait, listed(route.Live, 1)}, false},
		"new incarnation in list":     {[]func(*fixture){mark(200, "Server-State", "leaving"), listed(route.Live, 2)}, true},
		"restart before list":         {[]func(*fixture){health("leaving", 1), health("live", 2), listed(route.Leaving, 1)}, true},
		"list takes leaving back":     {[]func(*fixture){listed(route.Leaving, 1), listed(route.Live, 1)}, true},
		"old health after new list":   {[]func(*fixture){listed(route.Live, 2), health("leaving", 1)}, true},
		"list without an incarnation": {[]func(*fixture){health("live", 3), listed(route.Leaving, 0)}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := setup(t, 1)
				state := ""
				x.OnStateChange = func(c route.StateChange) { state = c.State }
				x.watch(t)
				for _, step := range c.steps {
					step(x)
				}
				time.Sleep(2 * time.Second)
				synctest.Wait()
				assert.Equal(t, state == "live", c.takes, state)
				slot, ok := x.Acquire("r")
				assert.Equal(t, ok, c.takes)
				if ok {
					x.Release(slot)
				}
			})
		})
	}
}

// Guards I6 when a slot is held for a while before it is used, as for a claim in the table.
func TestSlotOfALeavingServerIsNotUsed(t *testing.T) {
	for n, want := range map[int]route.Outcome{1: route.Refused, 2: route.Answered} {
		synctest.Test(t, func(t *testing.T) {
			x := setup(t, n)
			slot, _ := x.Acquire("r")
			x.list[0].State = route.Leaving
			x.UpdateBackends(x.list)
			assert.Equal(t, x.Do(t.Context(), slot, request("q")).Outcome, want)
			assert.Equal(t, x.fakes[0].ran("q"), 0)
			assert.Equal(t, x.FreeSlots(), 8*(n-1))
		})
	}
}

// Guards against an idle connection that went silent and is found by the next request.
func TestIdleSilentConnectionIsReplacedAndItsServerKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := setup(t, 1)
		assert.Equal(t, x.send(t, request("q1")).Outcome, route.Answered)
		x.fakes[0].freeze()
		time.Sleep(2100 * time.Millisecond)
		assert.Equal(t, x.Stats().SilentConnections, uint64(1))
		start := time.Now()
		assert.Equal(t, x.send(t, request("q2")).Outcome, route.Answered)
		assert.Equal(t, time.Since(start), time.Duration(0))
		assert.Equal(t, x.Snapshot()[0].Failures, 0)
		assert.Equal(t, x.Snapshot()[0].OpenConnections, 1)
	})
}

// Guards against ejections that leave no server, or less than half of the pool.
func TestEjectionKeepsHalfOfThePool(t *testing.T) {
	for n := 1; n <= 5; n++ {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := setup(t, n)
				next := 0
				x.Random = func(n int) int { next++; return next % n }
				for _, f := range x.fakes {
					f.handle = status(500)
				}
				for i := range 200 {
					req := request(fmt.Sprint(i))
					req.NonIdempotent = true
					assert.Equal(t, x.send(t, req).Outcome, route.Failed)
					ejected := 0
					for _, s := range x.Snapshot() {
						if s.Ejected {
							ejected++
						}
					}
					assert.Check(t, ejected <= n/2)
				}
				assert.Check(t, n == 1 || x.Stats().Ejections > 0)
			})
		})
	}
}

// Guards against a failing server that is tried as often as before: the pause doubles to 60 s.
func TestEjectionDoubles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := setup(t, 2)
		x.MaxRetries = -1
		x.fakes[0].handle = status(500)
		var pauses []int
		last := time.Now()
		for seen := uint64(0); len(pauses) < 8; time.Sleep(50 * time.Millisecond) {
			_ = x.send(t, request("q"))
			if now := x.Stats().Ejections; now > seen {
				pauses = append(pauses, int(time.Since(last).Round(time.Second).Seconds()))
				seen, last = now, time.Now()
			}
		}
		assert.DeepEqual(t, pauses[1:], []int{1, 2, 4, 8, 16, 32, 60})
	})
}

// Guards against retries that multiply the load while every server fails.
func TestRetryStormStaysWithinTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := setup(t, 4)
		for _, f := range x.fakes {
			f.handle = status(500)
		}
		const seconds, perSecond = 20, 200
		for i := range seconds * perSecond {
			assert.Equal(t, x.send(t, request(fmt.Sprint(i))).Outcome, route.Failed)
			time.Sleep(time.Second / perSecond)
		}
		st := x.Stats()
		// A tenth of the requests, and the burst of one second.
		assert.Check(t, st.Retries <= seconds*perSecond/10+perSecond/10, "%d retries", st.Retries)
		assert.Check(t, st.Retries > seconds*perSecond/20 && st.RetriesOverBudget > 0)
		assert.Equal(t, st.Attempts, st.Retries+seconds*perSecond)
	})
}

// Guards against slots that a flood of callers who go away frees too early or never.
func TestCallersThatGoAwayDoNotOverloadTheServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := setup(t, 2)
		for _, f := range x.fakes {
			f.handle = func(_ *fake, w http.ResponseWriter, r *http.Request) {
				time.Sleep(500 * time.Millisecond)
				reply(w, r, http.StatusOK)
			}
		}
		var wg sync.WaitGroup
		for i := range 400 {
			time.Sleep(10 * time.Millisecond)
			slot, ok := x.Acquire("r")
			if !ok {
				continue
			}
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i%4)*20*time.Millisecond)
				defer cancel()
				ans := x.Do(ctx, slot, request(fmt.Sprint(i)))
				synctest.Wait()
				assert.Check(t, ans.MayHaveRun || x.ran(fmt.Sprint(i)) == 0)
			})
		}
		wg.Wait()
		time.Sleep(time.Minute)
		assert.Equal(t, x.FreeSlots(), 16)
		for _, f := range x.fakes {
			assert.Equal(t, f.peak, 8)
		}
	})
}

// Guards I5 where HTTP/2 itself says whether the request was processed: the first server
// answers its request with frames that end the stream.
func TestProtocolRefusalsAreNotRun(t *testing.T) {
	cases := map[string]struct {
		end  func(*http2.Framer, uint32) error
		want route.Outcome
	}{
		"refused stream": {func(f *http2.Framer, id uint32) error {
			return f.WriteRSTStream(id, http2.ErrCodeRefusedStream)
		}, route.Answered},
		"goaway below": {func(f *http2.Framer, _ uint32) error { return f.WriteGoAway(0, http2.ErrCodeNo, nil) }, route.Answered},
		"goaway when idle": {func(f *http2.Framer, id uint32) error {
			_ = f.WriteRSTStream(id, http2.ErrCodeRefusedStream)
			time.Sleep(time.Millisecond)
			return f.WriteGoAway(id, http2.ErrCodeNo, nil)
		}, route.Answered},
		"cancelled":     {func(f *http2.Framer, id uint32) error { return f.WriteRSTStream(id, http2.ErrCodeCancel) }, route.Unknown},
		"goaway at end": {func(f *http2.Framer, id uint32) error { return f.WriteGoAway(id, http2.ErrCodeNo, nil) }, route.Unknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := setup(t, 2)
				inner := x.Dial
				x.Dial = func(ctx context.Context, address string) (net.Conn, error) {
					if address != x.list[0].Address {
						return inner(ctx, address)
					}
					near, far := net.Pipe()
					go serveFrames(far, c.end)
					return near, nil
				}
				req := request("q")
				req.NonIdempotent = true
				ans := x.send(t, req)
				opened := x.Stats().ConnectionsOpened
				for range 3 { // one that only waits for its end must not block new ones
					time.Sleep(2 * time.Millisecond)
					_ = x.send(t, request("more"))
				}
				if name == "goaway when idle" {
					assert.Equal(t, x.Stats().ConnectionsOpened, opened+3)
				}
				time.Sleep(2 * time.Second) // the end of serveFrames
				assert.Equal(t, ans.Outcome, c.want, ans.Reason)
				assert.Equal(t, x.fakes[1].ran("q") == 1, c.want == route.Answered)
			})
		})
	}
}

// serveFrames ends each request with the frames of end and then closes the connection.
func serveFrames(conn net.Conn, end func(*http2.Framer, uint32) error) {
	defer func() { _ = conn.Close() }()
	preface := make([]byte, len(http2.ClientPreface))
	if _, err := conn.Read(preface); err != nil {
		return
	}
	framer := http2.NewFramer(conn, conn)
	streams := make(chan uint32, 1)
	defer close(streams)
	go func() {
		_ = framer.WriteSettings()
		for id := range streams {
			_ = end(framer, id)
			time.Sleep(time.Second)
			_ = conn.Close()
		}
	}()
	for {
		frame, err := framer.ReadFrame()
		if err != nil {
			return
		}
		if h, ok := frame.(*http2.HeadersFrame); ok {
			streams <- h.StreamID
		}
	}
}
