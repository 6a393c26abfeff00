package main_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/back"
	"github.com/daisyrack/daisyrack/internal/entry"
	"github.com/daisyrack/daisyrack/internal/rack"
	"github.com/daisyrack/daisyrack/internal/sched"
	"github.com/daisyrack/daisyrack/internal/work"
)

// program is the built command under test.
var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "daisyrack")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "daisyrack")
	if out, err := exec.Command("go", "build", "-race", "-o", program, ".").CombinedOutput(); err != nil {
		panic(string(out))
	}
	status := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(status)
}

// process is one running instance of the program.
type process struct {
	t      *testing.T
	name   string
	cmd    *exec.Cmd
	values map[string]string
	log    string
	ended  chan struct{}
}

// site is a whole cell as separate processes.
type site struct {
	t        *testing.T
	dir      string
	platform *process
	entries  []*process
	workers  []*process
	backends []*process
}

func (s *site) file(name string, v any) string {
	s.t.Helper()
	text, err := json.Marshal(v)
	assert.NilError(s.t, err)
	path := filepath.Join(s.dir, name+".json")
	assert.NilError(s.t, os.WriteFile(path, text, 0o600))
	return path
}

// launch starts a process and waits for its first line, which gives its addresses.
func (s *site) launch(name string, settings any, args ...string) *process {
	s.t.Helper()
	p := &process{t: s.t, name: name, values: map[string]string{}, ended: make(chan struct{})}
	p.cmd = exec.Command(program, append(args, "--settings", s.file(name, settings))...)
	p.log = filepath.Join(s.dir, name+".log")
	log, err := os.Create(p.log)
	assert.NilError(s.t, err)
	defer func() { _ = log.Close() }()
	p.cmd.Stderr = log
	out, err := p.cmd.StdoutPipe()
	assert.NilError(s.t, err)
	assert.NilError(s.t, p.cmd.Start())
	s.t.Cleanup(p.kill)
	first := make(chan string, 1)
	go p.follow(out, first)
	line := <-first
	assert.Assert(s.t, line != "", "%s: %s", name, p.logged())
	for _, pair := range strings.Fields(line) {
		key, value, _ := strings.Cut(pair, "=")
		p.values[key] = value
	}
	return p
}

// logged returns what the process has written to its log.
func (p *process) logged() string {
	text, err := os.ReadFile(p.log)
	assert.NilError(p.t, err)
	return string(text)
}

// follow hands over the first line of the output and waits for the end.
func (p *process) follow(out io.Reader, first chan<- string) {
	r := bufio.NewReader(out)
	line, _ := r.ReadString('\n')
	first <- line
	_, _ = io.Copy(io.Discard, r)
	_ = p.cmd.Wait()
	close(p.ended)
}

func (p *process) signal(sig syscall.Signal) {
	_ = p.cmd.Process.Signal(sig)
}

func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.ended
}

func (p *process) url() string {
	if address := p.values["http_address"]; address != "" {
		return "http://" + address
	}
	return "http://" + p.values["address"]
}

// newSite starts a platform, and in each of three failure domains entry
// instances, two workers and two backend servers.
func newSite(t *testing.T, entriesPerDomain int) *site {
	s := &site{t: t, dir: t.TempDir()}
	s.platform = s.launch("platform", map[string]any{"address": "127.0.0.1:0"}, "standin", "platform")
	for _, domain := range []string{"a", "b", "c"} {
		for i := range 2 {
			s.startWorker(domain, i)
			s.startBackend(domain, i)
		}
		for i := range entriesPerDomain {
			s.startEntry(domain, i)
		}
	}
	return s
}

func (s *site) startWorker(domain string, i int) {
	s.workers = append(s.workers, s.launch(fmt.Sprintf("worker-%s%d", domain, i), map[string]any{
		"name": fmt.Sprintf("worker-%s%d", domain, i), "failure_domain": domain, "rack": "rack-" + domain,
		"address": "127.0.0.1:0", "platform": s.platform.url(),
		"capacity": map[string]int{"cpu_millis": 16000, "memory_mb": 32000, "accelerators": 2},
	}, "standin", "worker"))
}

func (s *site) startBackend(domain string, i int) {
	s.backends = append(s.backends, s.launch(fmt.Sprintf("backend-%s%d", domain, i), map[string]any{
		"name": fmt.Sprintf("backend-%s%d", domain, i), "failure_domain": domain,
		"address": "127.0.0.1:0", "platform": s.platform.url(), "slots": 8, "connections": 60, "service_ms": 2,
	}, "standin", "backend"))
}

func (s *site) startEntry(domain string, i int) {
	name := fmt.Sprintf("entry-%s%d", domain, i)
	peers := []string{}
	for _, e := range s.entries {
		peers = append(peers, e.values["peer_address"])
	}
	s.entries = append(s.entries, s.launch(name, map[string]any{
		"name": name, "failure_domain": domain, "failure_domains": []string{"a", "b", "c"},
		"http_address": "127.0.0.1:0", "peer_address": "127.0.0.1:0",
		"platform": s.platform.url(), "peers": peers,
	}, "entry", "--announce"))
}

// command runs an operator's command and returns its output and exit status.
func (s *site) command(args ...string) (string, int) {
	cmd := exec.Command(program, args...)
	out, _ := cmd.CombinedOutput()
	return string(out), cmd.ProcessState.ExitCode()
}

func getJSON(t *testing.T, url string, v any) {
	t.Helper()
	res, err := http.Get(url)
	assert.NilError(t, err)
	defer func() { _ = res.Body.Close() }()
	assert.NilError(t, json.NewDecoder(res.Body).Decode(v))
}

// hangGuard ends a test that waits for something that never comes; it is no
// bound on any measured time.
const hangGuard = 90 * time.Second

// until polls until done is true.
func until(what string, t *testing.T, done func() bool) time.Duration {
	t.Helper()
	began := time.Now()
	for !done() {
		assert.Assert(t, time.Since(began) < hangGuard, what)
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(began)
}

func (s *site) status(e *process) entry.Status {
	var status entry.Status
	getJSON(s.t, e.url()+"/v1/status", &status)
	return status
}

// owners returns the owning instance of each failure domain as one instance sees it.
func (s *site) owners(e *process) map[string]string {
	owners := map[string]string{}
	for _, i := range s.status(e).Instances {
		if i.Owner != nil && i.Owner.Recovered {
			owners[i.FailureDomain] = i.Name
		}
	}
	return owners
}

func (s *site) publishExamples() {
	s.t.Helper()
	docs, err := rack.ExampleDocuments()
	assert.NilError(s.t, err)
	dir := filepath.Join(s.dir, "documents")
	assert.NilError(s.t, os.MkdirAll(dir, 0o700))
	for _, d := range docs {
		path := filepath.Join(dir, strings.ReplaceAll(d.ID(), "/", "-")+".json")
		assert.NilError(s.t, os.WriteFile(path, d.Body, 0o600))
	}
	out, status := s.command("publish", "--entry", s.entries[0].url(), "--wait", "60s", dir)
	assert.Equal(s.t, status, 0, out)
}

// load sends requests in the background until the returned function is called.
func (s *site) load() func() *rack.LoadGenerator {
	l := &rack.LoadGenerator{RequestsPerSecond: 100}
	for _, e := range s.entries {
		l.URLs = append(l.URLs, e.url())
	}
	l.Client = &http.Client{Timeout: 30 * time.Second}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { l.Run(ctx) })
	return func() *rack.LoadGenerator {
		cancel()
		wg.Wait()
		return l
	}
}

// judge checks that every request had one outcome, and by the stand-ins' own
// records that nothing ran twice and no worker held more than it has.
func (s *site) judge(l *rack.LoadGenerator) {
	s.t.Helper()
	outcomes := l.Answered.Load() + l.Refused.Load() + l.Failed.Load() + l.Unknown.Load()
	s.t.Logf("sent %d answered %d refused %d failed %d unknown %d retried by the caller %d",
		l.Sent.Load(), l.Answered.Load(), l.Refused.Load(), l.Failed.Load(), l.Unknown.Load(), l.Retries.Load())
	assert.Equal(s.t, l.WithoutOutcome.Load(), int64(0), "requests without an outcome")
	assert.Equal(s.t, outcomes, l.Sent.Load())
	assert.Equal(s.t, l.MismatchedResponses.Load(), int64(0), "answers of other requests")
	keys := map[string]int{}
	for _, b := range s.backends {
		var runs back.RunCounts
		getJSON(s.t, b.url()+"/v1/runs", &runs)
		for key, n := range runs.Keys {
			keys[key] += n
		}
	}
	for key, n := range keys {
		assert.Check(s.t, n == 1, "non-idempotent request %s ran %d times", key, n)
	}
	records := s.records()
	starts, twice := rack.CountOverlappingRuns(records)
	s.t.Logf("task starts %d, non-idempotent keys run %d", starts, len(keys))
	assert.Equal(s.t, twice, 0, "tasks that ran in two places")
	assert.Equal(s.t, rack.CountOvercommitted(records), 0)
	assert.Assert(s.t, starts > 0 && l.Answered.Load() > 0)
}

func (s *site) records() []work.History {
	var records []work.History
	for _, w := range s.workers {
		var r work.History
		getJSON(s.t, w.url()+"/v1/history", &r)
		records = append(records, r)
	}
	return records
}

func (s *site) jobState(e *process, name string) string {
	var r sched.Reply
	getJSON(s.t, e.url()+"/v1/jobs/"+name, &r)
	if r.Job == nil {
		return r.Reason
	}
	return r.Job.State
}

func (s *site) faults(p *process, faults string) {
	s.t.Helper()
	res, err := http.Post(p.url()+"/v1/faults", "application/json", strings.NewReader(faults))
	assert.NilError(s.t, err)
	_ = res.Body.Close()
	assert.Equal(s.t, res.StatusCode, http.StatusOK)
}
