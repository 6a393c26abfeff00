package spec_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/back"
	"github.com/daisyrack/daisyrack/internal/plat"
	"github.com/daisyrack/daisyrack/internal/work"
)

// testCase is a sequence of calls. With StandIn set, it depends on functions that only a stand-in
// has, such as injected faults, and is not run against a real adapter.
type testCase struct {
	Name    string `json:"name"`
	StandIn bool   `json:"stand_in"`
	Steps   []step `json:"steps"`
}

// step is one call with the expected response. Status 0 means that no complete response is
// expected. Want is a part of the response body. Capture stores fields of the response for later
// steps, by name. With Retry set, the call is repeated until the response is the expected one.
type step struct {
	Call        string            `json:"call"`
	Headers     map[string]string `json:"send"`
	Body        json.RawMessage   `json:"body"`
	Status      int               `json:"status"`
	WantHeaders map[string]string `json:"header"`
	Want        json.RawMessage   `json:"answer"`
	Capture     map[string]string `json:"keep"`
	Retry       bool              `json:"until"`
}

const retryInterval = 5 * time.Millisecond

// runCases runs the cases of one table. It replaces the variables in their text: $id by a unique
// id, "$older", "$epoch" and "$later" by three consecutive epochs, and "$NAME" by the value
// captured as NAME.
func runCases(t *testing.T, table, base string, client *http.Client, standIn bool) {
	t.Helper()
	text, err := os.ReadFile("testdata/" + table)
	assert.NilError(t, err)
	var raw []json.RawMessage
	assert.NilError(t, json.Unmarshal(text, &raw))
	startMS := time.Now().UnixMilli()
	t.Logf("ids and epochs are derived from %d", startMS)
	for i, c := range raw {
		epoch := startMS + int64(3*i)
		names := strings.NewReplacer(
			"$id", fmt.Sprintf("id-%d-%d", startMS, i),
			`"$older"`, fmt.Sprint(epoch-1), `"$epoch"`, fmt.Sprint(epoch), `"$later"`, fmt.Sprint(epoch+1),
		)
		var tc testCase
		assert.NilError(t, json.Unmarshal([]byte(names.Replace(string(c))), &tc))
		if tc.StandIn && !standIn {
			continue
		}
		t.Run(tc.Name, func(t *testing.T) {
			captured := map[string]string{}
			for n, st := range tc.Steps {
				for {
					mismatch := st.run(base, client, captured)
					if mismatch == nil {
						break
					}
					assert.Assert(t, st.Retry, "step %d, %s: %v", n+1, st.Call, mismatch)
					time.Sleep(retryInterval)
				}
			}
		})
	}
}

func (st step) run(base string, client *http.Client, captured map[string]string) error {
	body := string(st.Body)
	for name, value := range captured {
		body = strings.ReplaceAll(body, `"$`+name+`"`, value)
	}
	if strings.HasPrefix(body, `"`) { // a JSON string holds a raw body, which need not be JSON
		_ = json.Unmarshal([]byte(body), &body)
	}
	method, path, _ := strings.Cut(st.Call, " ")
	req, err := http.NewRequestWithContext(context.Background(), method, base+path, strings.NewReader(body))
	if err != nil {
		return err
	}
	for name, value := range st.Headers {
		req.Header.Set(name, value)
	}
	status, header, response := exchange(client, req)
	if status != st.Status {
		return fmt.Errorf("status %d instead of %d: %s", status, st.Status, response)
	}
	for name, want := range st.WantHeaders {
		if got := header.Get(name); got != want {
			return fmt.Errorf("header %s is %q instead of %q", name, got, want)
		}
	}
	return st.check(response, captured)
}

func exchange(client *http.Client, req *http.Request) (status int, header http.Header, response string) {
	res, err := client.Do(req)
	if err != nil {
		return 0, nil, err.Error()
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil, err.Error()
	}
	return res.StatusCode, res.Header, string(text)
}

// check compares the response body with the expected one and captures its fields. The body is JSON,
// unless Want is a string that equals it.
func (st step) check(response string, captured map[string]string) error {
	if st.Want != nil {
		var want, got any
		if err := json.Unmarshal(st.Want, &want); err != nil {
			return err
		}
		if text, ok := want.(string); ok && text == response {
			return nil
		}
		if err := json.Unmarshal([]byte(response), &got); err != nil || !contains(want, got) {
			return fmt.Errorf("response %s does not contain %s", response, st.Want)
		}
	}
	var fields map[string]json.RawMessage
	_ = json.Unmarshal([]byte(response), &fields)
	for name, field := range st.Capture {
		captured[name] = string(fields[field])
	}
	return nil
}

// contains reports whether got has all fields of want with the same values. In want, "*" matches
// any value except null and 0.
func contains(want, got any) bool {
	switch w := want.(type) {
	case map[string]any:
		g, ok := got.(map[string]any)
		for name := range w {
			ok = ok && contains(w[name], g[name])
		}
		return ok
	case []any:
		g, ok := got.([]any)
		ok = ok && len(w) == len(g)
		for i := 0; ok && i < len(w); i++ {
			ok = contains(w[i], g[i])
		}
		return ok
	case string:
		return want == got || w == "*" && got != nil && got != 0.0
	}
	return want == got
}

// runTable runs a table against the base URL in an environment variable or, if it is not set,
// against a stand-in.
func runTable(t *testing.T, table, envVar string, standIn http.Handler) {
	t.Helper()
	if base := os.Getenv(envVar); base != "" {
		runCases(t, table, base, http.DefaultClient, false)
		return
	}
	server := httptest.NewServer(standIn)
	defer server.Close()
	runCases(t, table, server.URL, server.Client(), true)
}

// Guards against a platform that does not conform to docs/protocols.md.
func TestPlatform(t *testing.T) {
	runTable(t, "platform.json", "DAISYRACK_PLATFORM_URL", (&plat.Server{Seed: 1}).Handler())
}

// Guards against a worker that does not conform to docs/protocols.md.
func TestWorker(t *testing.T) {
	s := &work.Server{Name: "w", Capacity: work.Resources{CPUMillis: 4000, MemoryMB: 4000}}
	runTable(t, "worker.json", "DAISYRACK_WORKER_URL", s.Handler())
}

// Guards against a backend server that does not conform to docs/protocols.md, with HTTP/1.1 and
// HTTP/2.
func TestBackend(t *testing.T) {
	for _, h2 := range []bool{false, true} {
		t.Run(fmt.Sprintf("http2=%t", h2), func(t *testing.T) {
			protocols := new(http.Protocols)
			protocols.SetHTTP1(!h2)
			protocols.SetUnencryptedHTTP2(h2)
			client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
			defer client.CloseIdleConnections()
			if base := os.Getenv("DAISYRACK_BACKEND_URL"); base != "" {
				runCases(t, "backend.json", base, client, false)
				return
			}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan error)
			s := &back.Server{Name: "b", Routes: map[string]back.ServiceTime{"echo": {}}}
			go func() { done <- s.Serve(ctx, l) }()
			runCases(t, "backend.json", "http://"+l.Addr().String(), client, true)
			cancel()
			assert.NilError(t, <-done)
		})
	}
}
