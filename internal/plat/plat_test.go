package plat_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/daisyrack/daisyrack/internal/plat"
)

// do sends one call from failure domain a. Status 0 means that the connection was closed without a
// response.
func do(s *plat.Server, method, path, body string) (status int, response string) {
	r, _ := http.NewRequest(method, "http://platform"+path, strings.NewReader(body))
	r.Header.Set(plat.FailureDomainHeader, "a")
	res, err := plat.HandlerTransport{Handler: s.Handler()}.RoundTrip(r)
	if err != nil {
		return 0, ""
	}
	text, _ := io.ReadAll(res.Body)
	return res.StatusCode, strings.TrimSpace(string(text))
}

func commit(s *plat.Server, token string) (status int) {
	status, _ = do(s, "POST", "/v1/table/commit", fmt.Sprintf(`{"token":%q,"puts":[{"key":%q,"value":""}]}`, token, token))
	return status
}

func committed(s *plat.Server, token string) bool {
	status, _ := do(s, "GET", "/v1/table/commits/"+token, "")
	return status == 200
}

// Guards against a write that is rejected by the rate limit and applied nevertheless.
func TestRateLimitRejectsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &plat.Server{WritesPerSecond: 2, ReadsPerSecond: 3}
		assert.Equal(t, commit(s, "t1"), 200)
		assert.Equal(t, commit(s, "t2"), 200)
		assert.Equal(t, commit(s, "t3"), 429)
		assert.Assert(t, !committed(s, "t3"))
		assert.Equal(t, s.Counts(), plat.Counts{Writes: 2, Reads: 1})
		time.Sleep(time.Second)
		assert.Equal(t, commit(s, "t3"), 200)
		for range 3 {
			assert.Assert(t, committed(s, "t3"))
		}
		status, _ := do(s, "GET", "/v1/instances", "")
		assert.Equal(t, status, 429)
	})
}

// Guards against accepting a transaction that is too large for a real platform.
func TestTransactionLimits(t *testing.T) {
	for _, c := range []struct {
		rows, bytes, status int
	}{{128, 0, 200}, {129, 0, 413}, {1, 256 << 10, 200}, {1, 256<<10 + 1, 413}} {
		var puts []string
		for i := range c.rows {
			key := fmt.Sprintf("k%03d", i)
			value := strings.Repeat("A", max(0, c.bytes-len(key))/3*4) + []string{"", "AA==", "AAA="}[max(0, c.bytes-len(key))%3]
			puts = append(puts, fmt.Sprintf(`{"key":%q,"value":%q}`, key, value))
		}
		var s plat.Server
		status, response := do(&s, "POST", "/v1/table/commit", `{"token":"t","puts":[`+strings.Join(puts, ",")+`]}`)
		assert.Equal(t, status, c.status, "%d rows, %d bytes: %s", c.rows, c.bytes, response)
		assert.Equal(t, committed(&s, "t"), c.status == 200)
	}
}

// Guards against keeping commit tokens without limit, and against dropping the newest tokens first.
func TestOnlyNewestTokensAreKept(t *testing.T) {
	s := &plat.Server{MaxTokens: 2}
	for _, token := range []string{"t1", "t2", "t3", "t3"} {
		assert.Equal(t, commit(s, token), 200)
	}
	assert.Assert(t, !committed(s, "t1") && committed(s, "t2") && committed(s, "t3"))
}

// Guards against a scan of a large table that misses keys, repeats them or returns them out of order.
func TestScanLargeTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s plat.Server
		want := map[string]bool{}
		for n := range rapid.IntRange(1, 30).Draw(t, "commits") {
			key, step := rapid.IntRange(0, 5002).Draw(t, "first"), rapid.IntRange(1, 5002).Draw(t, "step")
			tx := plat.Transaction{Token: fmt.Sprint(n)}
			remove := rapid.IntRange(0, 2).Draw(t, "remove") == 0
			for range 128 {
				key = (key + step) % 5003 // 5003 is prime, so that no key occurs twice
				name := fmt.Sprintf("k%04d", key)
				if remove {
					tx.Deletes = append(tx.Deletes, name)
					delete(want, name)
				} else {
					tx.Puts = append(tx.Puts, plat.Put{Key: name})
					want[name] = true
				}
			}
			body, _ := json.Marshal(tx)
			status, response := do(&s, "POST", "/v1/table/commit", string(body))
			assert.Equal(t, status, 200, response)
		}
		var got []string
		for rows := 1000; rows == 1000; {
			after := append([]string{""}, got...)[len(got)]
			_, response := do(&s, "GET", "/v1/table/rows?prefix=k&after="+after, "")
			var page plat.Page
			assert.NilError(t, json.Unmarshal([]byte(response), &page))
			for _, row := range page.Rows {
				got = append(got, row.Key)
			}
			rows = len(page.Rows)
		}
		assert.Assert(t, slices.Equal(got, slices.Sorted(maps.Keys(want))))
	})
}

// Guards against injected faults that differ from real outages, in which a write may take effect
// without a response.
func TestCommitUnderFaults(t *testing.T) {
	for _, c := range []struct {
		name        string
		faults      plat.Faults
		laterFaults plat.Faults // injected one second after the call began
		status      int
		duration    time.Duration // of the call
		applied     bool
	}{
		{"none", plat.Faults{}, plat.Faults{}, 200, 0, true},
		{"down", plat.Faults{Down: true}, plat.Faults{Down: true}, 503, 0, false},
		{"slow", plat.Faults{DelayMs: 5000}, plat.Faults{}, 200, 5 * time.Second, true},
		{"goes down while slow", plat.Faults{DelayMs: 5000}, plat.Faults{Down: true}, 503, 5 * time.Second, false},
		{"response dropped", plat.Faults{DropResponseRate: 1}, plat.Faults{}, 0, 0, true},
		{"partitioned", plat.Faults{PartitionedDomains: []string{"a"}}, plat.Faults{}, 0, 3 * time.Second, false},
		{"other domain partitioned", plat.Faults{PartitionedDomains: []string{"b"}}, plat.Faults{}, 200, 0, true},
		{"partitioned while slow", plat.Faults{DelayMs: 5000}, plat.Faults{PartitionedDomains: []string{"a"}}, 0, 8 * time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var s plat.Server
				began := time.Now()
				s.SetFaults(c.faults)
				time.AfterFunc(time.Second, func() { s.SetFaults(c.laterFaults) })
				assert.Equal(t, commit(&s, "t"), c.status)
				assert.Equal(t, time.Since(began), c.duration)
				time.Sleep(time.Second)
				s.SetFaults(plat.Faults{})
				assert.Equal(t, committed(&s, "t"), c.applied)
			})
		})
	}
}

// Guards against runs with the same seed that drop different responses.
func TestDroppedResponsesDependOnSeed(t *testing.T) {
	run := func(seed uint64) (statuses string) {
		s := &plat.Server{Seed: seed}
		s.SetFaults(plat.Faults{DropResponseRate: 0.5})
		for i := range 64 {
			statuses += fmt.Sprint(commit(s, fmt.Sprint("t", i)), " ")
		}
		return statuses
	}
	assert.Equal(t, run(1), run(1))
	assert.Assert(t, run(1) != run(2))
}

// Guards against an instance list that shows changes too early, or goes back in time when the lag
// increases.
func TestInstanceListLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s plat.Server
		var asOf int64
		state := func() string {
			_, response := do(&s, "GET", "/v1/instances", "")
			var list plat.InstanceList
			assert.NilError(t, json.Unmarshal([]byte(response), &list))
			assert.Assert(t, list.AsOfMs >= asOf, "the list went back in time")
			asOf = list.AsOfMs
			return append(list.Instances, plat.Instance{})[0].State
		}
		s.SetFaults(plat.Faults{ListLagMs: 5000})
		assert.NilError(t, s.Register(plat.Instance{Name: "e", Role: "entry", Address: "x", FailureDomain: "a", State: "live"}))
		time.Sleep(4999 * time.Millisecond)
		assert.Equal(t, state(), "")
		time.Sleep(time.Millisecond)
		assert.Equal(t, state(), "live")
		assert.NilError(t, s.Register(plat.Instance{Name: "e", Role: "entry", Address: "x", FailureDomain: "a", State: "leaving"}))
		time.Sleep(time.Second)
		s.Remove("e")
		time.Sleep(4 * time.Second)
		s.SetFaults(plat.Faults{ListLagMs: 20000})
		assert.Equal(t, state(), "leaving", "already visible before the lag increased")
		time.Sleep(16*time.Second - 1)
		assert.Equal(t, state(), "leaving")
		time.Sleep(time.Nanosecond)
		assert.Equal(t, state(), "gone")
	})
}

// Guards against an instance that is never registered because the platform was slow or down when the
// instance started.
func TestRegistrarRetriesUntilPlatformResponds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s plat.Server
		registrar := plat.Registrar{URL: "http://platform", Client: &http.Client{Transport: plat.HandlerTransport{Handler: s.Handler()}}}
		in := plat.Instance{Name: "e", Role: "entry", Address: "x", FailureDomain: "a", State: "live", Incarnation: 2}
		s.SetFaults(plat.Faults{DelayMs: 3000})
		began := time.Now()
		time.AfterFunc(time.Minute, func() { s.SetFaults(plat.Faults{}) })
		assert.NilError(t, registrar.Register(t.Context(), in))
		assert.Assert(t, time.Since(began) >= time.Minute, "a call times out after 2 s")

		in.Incarnation = 1
		assert.ErrorContains(t, registrar.Register(t.Context(), in), "409")
		s.SetFaults(plat.Faults{Down: true})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		assert.ErrorContains(t, registrar.Register(ctx, in), "503")
	})
}

// Guards against malformed transactions that corrupt the table. A rejected transaction must not change
// any row.
func FuzzCommit(f *testing.F) {
	f.Fuzz(func(t *testing.T, body string) {
		var s plat.Server
		assert.Equal(t, commit(&s, "before"), 200)
		_, before := do(&s, "GET", "/v1/table/rows?prefix=", "")
		status, response := do(&s, "POST", "/v1/table/commit", body)
		_, after := do(&s, "GET", "/v1/table/rows?prefix=", "")
		switch status {
		case 200:
			repeat, again := do(&s, "POST", "/v1/table/commit", body)
			assert.Equal(t, fmt.Sprint(repeat, again), fmt.Sprint(status, response))
		case 400, 409, 413:
			assert.Equal(t, before, after)
		default:
			t.Fatalf("status %d: %s", status, response)
		}
	})
}

// Guards against accepting an invalid registration, and against accepting one that the list then omits.
func FuzzRegister(f *testing.F) {
	f.Fuzz(func(t *testing.T, body string) {
		var s plat.Server
		status, _ := do(&s, "PUT", "/v1/instances/e", body)
		assert.Assert(t, status == 200 || status == 400, "status %d", status)
		_, list := do(&s, "GET", "/v1/instances", "")
		assert.Equal(t, strings.Contains(list, `"name":"e"`), status == 200)
	})
}
