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

// program is the path of the built command.
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

// process is one running process of the program. addresses are the key=value
// pairs of its first output line.
type process struct {
	t         *testing.T
	name      string
	cmd       *exec.Cmd
	addresses map[string]string
	logPath   string
	exited    chan struct{}
}

// testCluster is a cluster whose parts run as separate processes.
type testCluster struct {
	t        *testing.T
	dir      string
	platform *process
	entries  []*process
	workers  []*process
	backends []*process
}

// writeJSON writes v to the file name.json and returns its path.
func (c *testCluster) writeJSON(name string, v any) string {
	c.t.Helper()
	text, err := json.Marshal(v)
	assert.NilError(c.t, err)
	path := filepath.Join(c.dir, name+".json")
	assert.NilError(c.t, os.WriteFile(path, text, 0o600))
	return path
}

// launch starts a process and waits for its first output line, which gives its
// addresses.
func (c *testCluster) launch(name string, settings any, args ...string) *process {
	c.t.Helper()
	p := &process{t: c.t, name: name, addresses: map[string]string{}, exited: make(chan struct{})}
	p.cmd = exec.Command(program, append(args, "--settings", c.writeJSON(name, settings))...)
	p.logPath = filepath.Join(c.dir, name+".log")
	log, err := os.Create(p.logPath)
	assert.NilError(c.t, err)
	defer func() { _ = log.Close() }()
	p.cmd.Stderr = log
	out, err := p.cmd.StdoutPipe()
	assert.NilError(c.t, err)
	assert.NilError(c.t, p.cmd.Start())
	c.t.Cleanup(p.kill)
	first := make(chan string, 1)
	go p.readOutput(out, first)
	line := <-first
	assert.Assert(c.t, line != "", "%s: %s", name, p.logText())
	for _, pair := range strings.Fields(line) {
		key, value, _ := strings.Cut(pair, "=")
		p.addresses[key] = value
	}
	return p
}

// logText returns what the process has logged so far.
func (p *process) logText() string {
	text, err := os.ReadFile(p.logPath)
	assert.NilError(p.t, err)
	return string(text)
}

// readOutput sends the first output line to first, discards the rest and waits
// for the process to exit.
func (p *process) readOutput(out io.Reader, first chan<- string) {
	r := bufio.NewReader(out)
	line, _ := r.ReadString('\n')
	first <- line
	_, _ = io.Copy(io.Discard, r)
	_ = p.cmd.Wait()
	close(p.exited)
}

func (p *process) signal(sig syscall.Signal) {
	_ = p.cmd.Process.Signal(sig)
}

func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.exited
}

func (p *process) url() string {
	if address := p.addresses["http_address"]; address != "" {
		return "http://" + address
	}
	return "http://" + p.addresses["address"]
}

// newTestCluster starts the platform stand-in and, in each of three failure
// domains, entry instances, two workers and two backend servers.
func newTestCluster(t *testing.T, entriesPerDomain int) *testCluster {
	c := &testCluster{t: t, dir: t.TempDir()}
	c.platform = c.launch("platform", map[string]any{"address": "127.0.0.1:0"}, "standin", "platform")
	for _, domain := range []string{"a", "b", "c"} {
		for i := range 2 {
			c.startWorker(domain, i)
			c.startBackend(domain, i)
		}
		for i := range entriesPerDomain {
			c.startEntry(domain, i)
		}
	}
	return c
}

func (c *testCluster) startWorker(domain string, i int) {
	c.workers = append(c.workers, c.launch(fmt.Sprintf("worker-%s%d", domain, i), map[string]any{
		"name": fmt.Sprintf("worker-%s%d", domain, i), "failure_domain": domain, "rack": "rack-" + domain,
		"address": "127.0.0.1:0", "platform": c.platform.url(),
		"capacity": map[string]int{"cpu_millis": 16000, "memory_mb": 32000, "accelerators": 2},
	}, "standin", "worker"))
}

func (c *testCluster) startBackend(domain string, i int) {
	c.backends = append(c.backends, c.launch(fmt.Sprintf("backend-%s%d", domain, i), map[string]any{
		"name": fmt.Sprintf("backend-%s%d", domain, i), "failure_domain": domain,
		"address": "127.0.0.1:0", "platform": c.platform.url(), "slots": 8, "connections": 60, "service_ms": 2,
	}, "standin", "backend"))
}

func (c *testCluster) startEntry(domain string, i int) {
	name := fmt.Sprintf("entry-%s%d", domain, i)
	peers := []string{}
	for _, e := range c.entries {
		peers = append(peers, e.addresses["peer_address"])
	}
	c.entries = append(c.entries, c.launch(name, map[string]any{
		"name": name, "failure_domain": domain, "failure_domains": []string{"a", "b", "c"},
		"http_address": "127.0.0.1:0", "peer_address": "127.0.0.1:0",
		"platform": c.platform.url(), "peers": peers,
	}, "entry", "--announce"))
}

// runCommand runs the program and returns its output and exit status.
func (c *testCluster) runCommand(args ...string) (string, int) {
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

// waitTimeout ends a test that would wait forever. It is not a bound on any
// measured time.
const waitTimeout = 90 * time.Second

// waitFor polls until done returns true and returns how long that took.
func waitFor(what string, t *testing.T, done func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	for !done() {
		assert.Assert(t, time.Since(start) < waitTimeout, what)
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(start)
}

func (c *testCluster) status(e *process) entry.Status {
	var status entry.Status
	getJSON(c.t, e.url()+"/v1/status", &status)
	return status
}

// owners returns the recovered owner of each failure domain as reported by e.
func (c *testCluster) owners(e *process) map[string]string {
	owners := map[string]string{}
	for _, i := range c.status(e).Instances {
		if i.Owner != nil && i.Owner.Recovered {
			owners[i.FailureDomain] = i.Name
		}
	}
	return owners
}

func (c *testCluster) publishExamples() {
	c.t.Helper()
	docs, err := rack.ExampleDocuments()
	assert.NilError(c.t, err)
	dir := filepath.Join(c.dir, "documents")
	assert.NilError(c.t, os.MkdirAll(dir, 0o700))
	for _, d := range docs {
		path := filepath.Join(dir, strings.ReplaceAll(d.ID(), "/", "-")+".json")
		assert.NilError(c.t, os.WriteFile(path, d.Body, 0o600))
	}
	out, status := c.runCommand("publish", "--entry", c.entries[0].url(), "--wait", "60s", dir)
	assert.Equal(c.t, status, 0, out)
}

// startLoad sends requests to all entry instances in the background until the
// returned function is called.
func (c *testCluster) startLoad() func() *rack.LoadGenerator {
	l := &rack.LoadGenerator{RequestsPerSecond: 100}
	for _, e := range c.entries {
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

// checkGuarantees checks that every request got exactly one outcome, and from
// the stand-ins' own records that no non-idempotent request ran twice, no task
// had overlapping runs and no worker was overcommitted.
func (c *testCluster) checkGuarantees(l *rack.LoadGenerator) {
	c.t.Helper()
	outcomes := l.Answered.Load() + l.Refused.Load() + l.Failed.Load() + l.Unknown.Load()
	c.t.Logf("sent %d answered %d refused %d failed %d unknown %d retries %d",
		l.Sent.Load(), l.Answered.Load(), l.Refused.Load(), l.Failed.Load(), l.Unknown.Load(), l.Retries.Load())
	assert.Equal(c.t, l.WithoutOutcome.Load(), int64(0), "requests without an outcome")
	assert.Equal(c.t, outcomes, l.Sent.Load())
	assert.Equal(c.t, l.MismatchedResponses.Load(), int64(0), "responses that belong to other requests")
	keys := map[string]int{}
	for _, b := range c.backends {
		var runs back.RunCounts
		getJSON(c.t, b.url()+"/v1/runs", &runs)
		for key, n := range runs.Keys {
			keys[key] += n
		}
	}
	for key, n := range keys {
		assert.Check(c.t, n == 1, "non-idempotent request %s ran %d times", key, n)
	}
	histories := c.workerHistories()
	starts, overlapping := rack.CountOverlappingRuns(histories)
	c.t.Logf("task starts %d, non-idempotent keys run %d", starts, len(keys))
	assert.Equal(c.t, overlapping, 0, "overlapping runs of a task")
	assert.Equal(c.t, rack.CountOvercommitted(histories), 0)
	assert.Assert(c.t, starts > 0 && l.Answered.Load() > 0)
}

func (c *testCluster) workerHistories() []work.RunHistory {
	var histories []work.RunHistory
	for _, w := range c.workers {
		var h work.RunHistory
		getJSON(c.t, w.url()+"/v1/history", &h)
		histories = append(histories, h)
	}
	return histories
}

func (c *testCluster) jobState(e *process, name string) string {
	var r sched.Reply
	getJSON(c.t, e.url()+"/v1/jobs/"+name, &r)
	if r.Job == nil {
		return r.Reason
	}
	return r.Job.State
}

func (c *testCluster) setFaults(p *process, faults string) {
	c.t.Helper()
	res, err := http.Post(p.url()+"/v1/faults", "application/json", strings.NewReader(faults))
	assert.NilError(c.t, err)
	_ = res.Body.Close()
	assert.Equal(c.t, res.StatusCode, http.StatusOK)
}
