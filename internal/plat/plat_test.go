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

// do sends one call for failure domain a; status 0 means that the connection was cut without an answer.
func do(s *plat.Server, method, path, body string) (status int, answer string) {
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

func known(s *plat.Server, token string) bool {
	status, _ := do(s, "GET", "/v1/table/commits/"+token, "")
	return status == 200
}

// Guards against a write above the rate that is refused and applied all the same.
func TestCallsAboveTheRateAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &plat.Server{WritesPerSecond: 2, ReadsPerSecond: 3}
		assert.Equal(t, commit(s, "t1"), 200)
		assert.Equal(t, commit(s, "t2"), 200)
		assert.Equal(t, commit(s, "t3"), 429)
		assert.Assert(t, !known(s, "t3"))
		assert.Equal(t, s.Counts(), plat.Counts{Writes: 2, Reads: 1})
		time.Sleep(time.Second)
		assert.Equal(t, commit(s, "t3"), 200)
		for range 3 {
			assert.Assert(t, known(s, "t3"))
		}
		status, _ := do(s, "GET", "/v1/instances", "")
		assert.Equal(t, status, 429)
	})
}

// Guards against a transaction above the limits that real platforms would refuse.
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
		status, answer := do(&s, "POST", "/v1/table/commit", `{"token":"t","puts":[`+strings.Join(puts, ",")+`]}`)
		assert.Equal(t, status, c.status, "%d rows, %d bytes: %s", c.rows, c.bytes, answer)
		assert.Equal(t, known(&s, "t"), c.status == 200)
	}
}

// Guards against a record of tokens that grows for ever or forgets the newest.
func TestOnlyTheNewestTokensAreRemembered(t *testing.T) {
	s := &plat.Server{MaxTokens: 2}
	for _, token := range []string{"t1", "t2", "t3", "t3"} {
		assert.Equal(t, commit(s, token), 200)
	}
	assert.Assert(t, !known(s, "t1") && known(s, "t2") && known(s, "t3"))
}

// Guards against keys that a large table loses, repeats or puts out of order.
func TestScanOfALargeTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s plat.Server
		want := map[string]bool{}
		for n := range rapid.IntRange(1, 30).Draw(t, "commits") {
			key, step := rapid.IntRange(0, 5002).Draw(t, "first"), rapid.IntRange(1, 5002).Draw(t, "step")
			c := plat.Transaction{Token: fmt.Sprint(n)}
			remove := rapid.IntRange(0, 2).Draw(t, "remove") == 0
			for range 128 {
				key = (key + step) % 5003 // a prime, so no key comes twice
				name := fmt.Sprintf("k%04d", key)
				if remove {
					c.Deletes = append(c.Deletes, name)
					delete(want, name)
				} else {
					c.Puts = append(c.Puts, plat.Put{Key: name})
					want[name] = true
				}
			}
			body, _ := json.Marshal(c)
			status, answer := do(&s, "POST", "/v1/table/commit", string(body))
			assert.Equal(t, status, 200, answer)
		}
		var got []string
		for rows := 1000; rows == 1000; {
			after := append([]string{""}, got...)[len(got)]
			_, answer := do(&s, "GET", "/v1/table/rows?prefix=k&after="+after, "")
			var page plat.Page
			assert.NilError(t, json.Unmarshal([]byte(answer), &page))
			for _, row := range page.Rows {
				got = append(got, row.Key)
			}
			rows = len(page.Rows)
		}
		assert.Assert(t, slices.Equal(got, slices.Sorted(maps.Keys(want))))
	})
}

// Guards against a fault that does not show what a real outage would: change and answer are independent.
func TestFaultsOfCommits(t *testing.T) {
	for _, c := range []struct {
		name     string
		faults   plat.Faults
		during   plat.Faults // in force from one second after the call
		status   int
		after    time.Duration // when the call has ended
		tookPart bool
	}{
		{"none", plat.Faults{}, plat.Faults{}, 200, 0, true},
		{"down", plat.Faults{Down: true}, plat.Faults{Down: true}, 503, 0, false},
		{"slow", plat.Faults{DelayMs: 5000}, plat.Faults{}, 200, 5 * time.Second, true},
		{"goes down while slow", plat.Faults{DelayMs: 5000}, plat.Faults{Down: true}, 503, 5 * time.Second, false},
		{"lost", plat.Faults{DropResponseRate: 1}, plat.Faults{}, 0, 0, true},
		{"cut", plat.Faults{PartitionedDomains: []string{"a"}}, plat.Faults{}, 0, 3 * time.Second, false},
		{"other domain is cut", plat.Faults{PartitionedDomains: []string{"b"}}, plat.Faults{}, 200, 0, true},
		{"cut while slow", plat.Faults{DelayMs: 5000}, plat.Faults{PartitionedDomains: []string{"a"}}, 0, 8 * time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var s plat.Server
				began := time.Now()
				s.SetFaults(c.faults)
				time.AfterFunc(time.Second, func() { s.SetFaults(c.during) })
				assert.Equal(t, commit(&s, "t"), c.status)
				assert.Equal(t, time.Since(began), c.after)
				time.Sleep(time.Second)
				s.SetFaults(plat.Faults{})
				assert.Equal(t, known(&s, "t"), c.tookPart)
			})
		})
	}
}

// Guards against lost answers that differ between two runs with one seed.
func TestLostAnswersFollowTheSeed(t *testing.T) {
	run := func(seed uint64) (lost string) {
		s := &plat.Server{Seed: seed}
		s.SetFaults(plat.Faults{DropResponseRate: 0.5})
		for i := range 64 {
			lost += fmt.Sprint(commit(s, fmt.Sprint("t", i)), " ")
		}
		return lost
	}
	assert.Equal(t, run(1), run(1))
	assert.Assert(t, run(1) != run(2))
}

// Guards against a list that shows changes too early, or goes back when the lag grows.
func TestListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s plat.Server
		var asOf int64
		state := func() string {
			_, answer := do(&s, "GET", "/v1/instances", "")
			var list plat.InstanceList
			assert.NilError(t, json.Unmarshal([]byte(answer), &list))
			assert.Assert(t, list.AsOfMs >= asOf, "the list went back")
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
		assert.Equal(t, state(), "leaving", "visible before the lag grew")
		time.Sleep(16*time.Second - 1)
		assert.Equal(t, state(), "leaving")
		time.Sleep(time.Nanosecond)
		assert.Equal(t, state(), "gone")
	})
}

// Guards against an instance that stays unknown because the platform was slow or down at its start.
func TestAnnouncerTriesUntilThePlatformAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s plat.Server
		a := plat.Registrar{URL: "http://platform", Client: &http.Client{Transport: plat.HandlerTransport{Handler: s.Handler()}}}
		in := plat.Instance{Name: "e", Role: "entry", Address: "x", FailureDomain: "a", State: "live", Incarnation: 2}
		s.SetFaults(plat.Faults{DelayMs: 3000})
		began := time.Now()
		time.AfterFunc(time.Minute, func() { s.SetFaults(plat.Faults{}) })
		assert.NilError(t, a.Register(t.Context(), in))
		assert.Assert(t, time.Since(began) >= time.Minute, "a call is given up after 2 s")

		in.Incarnation = 1
		assert.ErrorContains(t, a.Register(t.Context(), in), "409")
		s.SetFaults(plat.Faults{Down: true})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		assert.ErrorContains(t, a.Register(ctx, in), "503")
	})
}

// Guards against a commit from outside that breaks the table: a refused one must leave no trace.
func FuzzCommit(f *testing.F) {
	f.Fuzz(func(t *testing.T, body string) {
		var s plat.Server
		assert.Equal(t, commit(&s, "before"), 200)
		_, before := do(&s, "GET", "/v1/table/rows?prefix=", "")
		status, answer := do(&s, "POST", "/v1/table/commit", body)
		_, after := do(&s, "GET", "/v1/table/rows?prefix=", "")
		switch status {
		case 200:
			repeat, again := do(&s, "POST", "/v1/table/commit", body)
			assert.Equal(t, fmt.Sprint(repeat, again), fmt.Sprint(status, answer))
		case 400, 409, 413:
			assert.Equal(t, before, after)
		default:
			t.Fatalf("status %d: %s", status, answer)
		}
	})
}

// Guards against a registration from outside that the list can not hold.
func FuzzRegister(f *testing.F) {
	f.Fuzz(func(t *testing.T, body string) {
		var s plat.Server
		status, _ := do(&s, "PUT", "/v1/instances/e", body)
		assert.Assert(t, status == 200 || status == 400, "status %d", status)
		_, list := do(&s, "GET", "/v1/instances", "")
		assert.Equal(t, strings.Contains(list, `"name":"e"`), status == 200)
	})
}
