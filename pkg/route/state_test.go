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

// Invariant I6: each source of the leaving state must stop new work within 5 s, and a stale instance
// list must not override what the server itself reported later, in either direction.
func TestLatestLeavingStateWins(t *testing.T) {
	listed := func(state route.State, incarnation int64) func(*fixture) {
		return func(x *fixture) {
			b := x.list[0]
			b.State, b.Incarnation = state, incarnation
			x.UpdateBackends([]route.Backend{b})
		}
	}
	respondWith := func(code int, headers ...string) func(*fixture) {
		return func(x *fixture) {
			x.backends[0].update(func() { x.backends[0].handle = status(code, headers...) })
			slot, _ := x.Acquire("r")
			_ = x.Do(context.Background(), slot, request("q"))
		}
	}
	health := func(state string, incarnation int64) func(*fixture) {
		return func(x *fixture) {
			x.backends[0].update(func() { x.backends[0].state, x.backends[0].incarnation = state, incarnation })
			time.Sleep(2 * time.Second)
		}
	}
	wait := func(*fixture) { time.Sleep(5 * time.Second) }
	cases := map[string]struct {
		steps       []func(*fixture)
		acceptsWork bool
	}{
		"header in response":          {[]func(*fixture){respondWith(200, "Server-State", "leaving")}, false},
		"header in refusal":           {[]func(*fixture){respondWith(503, "Run-State", "not-run", "Server-State", "leaving")}, false},
		"health poll":                 {[]func(*fixture){health("leaving", 1)}, false},
		"list":                        {[]func(*fixture){listed(route.Leaving, 1)}, false},
		"gone from list":              {[]func(*fixture){func(x *fixture) { x.UpdateBackends(nil) }}, false},
		"stale list after header":     {[]func(*fixture){respondWith(200, "Server-State", "leaving"), listed(route.Live, 1), wait}, false},
		"stale list after gone":       {[]func(*fixture){health("leaving", 1), listed(route.Gone, 1), wait, listed(route.Live, 1)}, false},
		"new incarnation in list":     {[]func(*fixture){respondWith(200, "Server-State", "leaving"), listed(route.Live, 2)}, true},
		"restart before list":         {[]func(*fixture){health("leaving", 1), health("live", 2), listed(route.Leaving, 1)}, true},
		"list revokes leaving":        {[]func(*fixture){listed(route.Leaving, 1), listed(route.Live, 1)}, true},
		"old health after new list":   {[]func(*fixture){listed(route.Live, 2), health("leaving", 1)}, true},
		"list without an incarnation": {[]func(*fixture){health("live", 3), listed(route.Leaving, 0)}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := setup(t, 1)
				state := ""
				x.OnStateChange = func(c route.StateChange) { state = c.State }
				x.startPolling(t)
				for _, step := range c.steps {
					step(x)
				}
				time.Sleep(2 * time.Second)
				synctest.Wait()
				assert.Equal(t, state == "live", c.acceptsWork, state)
				slot, ok := x.Acquire("r")
				assert.Equal(t, ok, c.acceptsWork)
				if ok {
					x.Release(slot)
				}
			})
		})
	}
}

// Invariant I6 must also hold if a slot is held for a while before it is used, for example during a
// claim in the table.
func TestSlotOfLeavingServerIsNotUsed(t *testing.T) {
	for n, want := range map[int]route.Outcome{1: route.Refused, 2: route.Answered} {
		synctest.Test(t, func(t *testing.T) {
			x := setup(t, n)
			slot, _ := x.Acquire("r")
			x.list[0].State = route.Leaving
			x.UpdateBackends(x.list)
			assert.Equal(t, x.Do(t.Context(), slot, request("q")).Outcome, want)
			assert.Equal(t, x.backends[0].runCount("q"), 0)
			assert.Equal(t, x.FreeSlots(), 8*(n-1))
		})
	}
}

// An idle connection that became unresponsive must be replaced before the next request uses it, and
// must not count as a failure of the server.
func TestIdleUnresponsiveConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := setup(t, 1)
		assert.Equal(t, x.send(t, request("q1")).Outcome, route.Answered)
		x.backends[0].silenceConns()
		time.Sleep(2100 * time.Millisecond)
		assert.Equal(t, x.Stats().SilentConnections, uint64(1))
		start := time.Now()
		assert.Equal(t, x.send(t, request("q2")).Outcome, route.Answered)
		assert.Equal(t, time.Since(start), time.Duration(0))
		assert.Equal(t, x.Snapshot()[0].Failures, 0)
		assert.Equal(t, x.Snapshot()[0].OpenConnections, 1)
	})
}

// Ejections must leave at least half of the pool, and at least one server.
func TestEjectionKeepsHalfOfThePool(t *testing.T) {
	for n := 1; n <= 5; n++ {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := setup(t, n)
				next := 0
				x.Random = func(n int) int { next++; return next % n }
				for _, f := range x.backends {
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

// A server that keeps failing must be tried less and less often: the ejection time doubles up to 60 s.
func TestEjectionTimeDoubles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := setup(t, 2)
		x.MaxRetries = -1
		x.backends[0].handle = status(500)
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

// Retries must not multiply the load while every server fails.
func TestRetryStormStaysWithinTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := setup(t, 4)
		for _, f := range x.backends {
			f.handle = status(500)
		}
		const seconds, perSecond = 20, 200
		for i := range seconds * perSecond {
			assert.Equal(t, x.send(t, request(fmt.Sprint(i))).Outcome, route.Failed)
			time.Sleep(time.Second / perSecond)
		}
		st := x.Stats()
		// A tenth of the requests, plus a burst of one second.
		assert.Check(t, st.Retries <= seconds*perSecond/10+perSecond/10, "%d retries", st.Retries)
		assert.Check(t, st.Retries > seconds*perSecond/20 && st.RetriesOverBudget > 0)
		assert.Equal(t, st.Attempts, st.Retries+seconds*perSecond)
	})
}

// Slots must be released neither too early nor never when many callers disconnect.
func TestDisconnectingCallersDoNotOverloadServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := setup(t, 2)
		for _, f := range x.backends {
			f.handle = func(_ *fakeBackend, w http.ResponseWriter, r *http.Request) {
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
				resp := x.Do(ctx, slot, request(fmt.Sprint(i)))
				synctest.Wait()
				assert.Check(t, resp.MayHaveRun || x.runCount(fmt.Sprint(i)) == 0)
			})
		}
		wg.Wait()
		time.Sleep(time.Minute)
		assert.Equal(t, x.FreeSlots(), 16)
		for _, f := range x.backends {
			assert.Equal(t, f.peakBusy, 8)
		}
	})
}

// Invariant I5 must hold if HTTP/2 itself indicates whether the request was processed: the first
// server responds to a request with frames that end the stream.
func TestHTTP2RefusalsAreNotRun(t *testing.T) {
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
				resp := x.send(t, req)
				opened := x.Stats().ConnectionsOpened
				for range 3 { // a connection that only waits for its end must not block new ones
					time.Sleep(2 * time.Millisecond)
					_ = x.send(t, request("more"))
				}
				if name == "goaway when idle" {
					assert.Equal(t, x.Stats().ConnectionsOpened, opened+3)
				}
				time.Sleep(2 * time.Second) // the end of serveFrames
				assert.Equal(t, resp.Outcome, c.want, resp.Reason)
				assert.Equal(t, x.backends[1].runCount("q") == 1, c.want == route.Answered)
			})
		})
	}
}

// serveFrames ends each request with the frames that end writes, and then closes the connection.
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
