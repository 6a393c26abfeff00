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

// testCase is a sequence of calls; one that needs the stand-in's faults is left out for a real adapter.
type testCase struct {
	Name    string `json:"name"`
	StandIn bool   `json:"stand_in"`
	Steps   []step `json:"steps"`
}

// step is one call and what its answer must contain; status 0 means that there is no complete answer.
type step struct {
	Call   string            `json:"call"`
	Send   map[string]string `json:"send"`
	Body   json.RawMessage   `json:"body"`
	Status int               `json:"status"`
	Header map[string]string `json:"header"`
	Answer json.RawMessage   `json:"answer"`
	Keep   map[string]string `json:"keep"`
	Until  bool              `json:"until"`
}

const pollPause = 5 * time.Millisecond

// runCases runs one table. In its text, $id is unique, and "$epoch", "$older", "$later" and kept names are numbers.
func runCases(t *testing.T, table, base string, client *http.Client, standIn bool) {
	t.Helper()
	text, err := os.ReadFile("testdata/" + table)
	assert.NilError(t, err)
	var raw []json.RawMessage
	assert.NilError(t, json.Unmarshal(text, &raw))
	began := time.Now().UnixMilli()
	t.Logf("ids and epochs are derived from %d", began)
	for i, c := range raw {
		epoch := began + int64(3*i)
		names := strings.NewReplacer(
			"$id", fmt.Sprintf("id-%d-%d", began, i),
			`"$older"`, fmt.Sprint(epoch-1), `"$epoch"`, fmt.Sprint(epoch), `"$later"`, fmt.Sprint(epoch+1),
		)
		var tc testCase
		assert.NilError(t, json.Unmarshal([]byte(names.Replace(string(c))), &tc))
		if tc.StandIn && !standIn {
			continue
		}
		t.Run(tc.Name, func(t *testing.T) {
			kept := map[string]string{}
			for n, st := range tc.Steps {
				for {
					fault := st.run(base, client, kept)
					if fault == nil {
						break
					}
					assert.Assert(t, st.Until, "step %d, %s: %v", n+1, st.Call, fault)
					time.Sleep(pollPause)
				}
			}
		})
	}
}

func (st step) run(base string, client *http.Client, kept map[string]string) error {
	body := string(st.Body)
	for name, value := range kept {
		body = strings.ReplaceAll(body, `"$`+name+`"`, value)
	}
	if strings.HasPrefix(body, `"`) { // a string is sent as it is
		_ = json.Unmarshal([]byte(body), &body)
	}
	method, path, _ := strings.Cut(st.Call, " ")
	req, err := http.NewRequestWithContext(context.Background(), method, base+path, strings.NewReader(body))
	if err != nil {
		return err
	}
	for name, value := range st.Send {
		req.Header.Set(name, value)
	}
	status, header, answer := exchange(client, req)
	if status != st.Status {
		return fmt.Errorf("status %d instead of %d: %s", status, st.Status, answer)
	}
	for name, want := range st.Header {
		if got := header.Get(name); got != want {
			return fmt.Errorf("header %s is %q instead of %q", name, got, want)
		}
	}
	return st.check(answer, kept)
}

func exchange(client *http.Client, req *http.Request) (status int, header http.Header, answer string) {
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

// check compares the answer, which is JSON unless a plain text is wanted.
func (st step) check(answer string, kept map[string]string) error {
	if st.Answer != nil {
		var want, got any
		if err := json.Unmarshal(st.Answer, &want); err != nil {
			return err
		}
		if text, ok := want.(string); ok && text == answer {
			return nil
		}
		if err := json.Unmarshal([]byte(answer), &got); err != nil || !contains(want, got) {
			return fmt.Errorf("answer %s does not contain %s", answer, st.Answer)
		}
	}
	var fields map[string]json.RawMessage
	_ = json.Unmarshal([]byte(answer), &fields)
	for name, field := range st.Keep {
		kept[name] = string(fields[field])
	}
	return nil
}

// contains reports whether got has all the fields of want; "*" stands for any value but 0.
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

// runOver runs a table against the base URL in a variable of the environment, or else against a stand-in.
func runOver(t *testing.T, table, variable string, standIn http.Handler) {
	t.Helper()
	if base := os.Getenv(variable); base != "" {
		runCases(t, table, base, http.DefaultClient, false)
		return
	}
	server := httptest.NewServer(standIn)
	defer server.Close()
	runCases(t, table, server.URL, server.Client(), true)
}

// Guards against a platform that differs from docs/protocols.md.
func TestPlatform(t *testing.T) {
	runOver(t, "platform.json", "DAISYRACK_PLATFORM_URL", (&plat.Server{Seed: 1}).Handler())
}

// Guards against a worker that differs from docs/protocols.md.
func TestWorker(t *testing.T) {
	s := &work.Server{Name: "w", Capacity: work.Resources{CPUMillis: 4000, MemoryMB: 4000}}
	runOver(t, "worker.json", "DAISYRACK_WORKER_URL", s.Handler())
}

// Guards against a backend server that differs from docs/protocols.md, over either version of HTTP.
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
