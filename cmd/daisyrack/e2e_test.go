package main_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/entry"
	"github.com/daisyrack/daisyrack/internal/rack"
	"github.com/daisyrack/daisyrack/internal/sched"
	"github.com/daisyrack/daisyrack/pkg/queue"
)

// Runs the cluster as separate processes with documents, requests and jobs.
// Guards against requests without an outcome and events that are lost when the
// owner of a failure domain is killed.
func TestEndToEndWithKilledEntryInstance(t *testing.T) {
	c := newTestCluster(t, 2)
	waitFor("owners", t, func() bool { return len(c.owners(c.entries[0])) == 3 })
	c.publishExamples()
	stopLoad := c.startLoad()
	out, status := c.runCommand("submit", "--entry", c.entries[2].url(), c.writeJSON("sums", map[string]any{
		"kind": "batch", "name": "sums", "user": "example", "tasks": 6, "run_seconds": 1,
		"resources": map[string]int{"cpu_millis": 500, "memory_mb": 100},
	}))
	assert.Equal(t, status, 0, out)
	waitFor("jobs finished", t, func() bool {
		return c.jobState(c.entries[0], "sums") == sched.JobFinished && c.jobState(c.entries[0], "blend") == sched.JobFinished
	})
	formerOwner := c.owners(c.entries[0])["b"]
	for _, e := range c.entries {
		if e.name == formerOwner {
			e.signal(syscall.SIGKILL)
		}
	}
	elapsed := waitFor("takeover", t, func() bool {
		owner := c.owners(c.entries[0])["b"]
		return owner != "" && owner != formerOwner
	})
	t.Logf("takeover after %s", elapsed)
	c.checkGuarantees(stopLoad())
	out, status = c.runCommand("timeline", "--entry", c.entries[0].url(), "--instance", formerOwner, "--job", "monitor")
	assert.Equal(t, status, 0, out)
	assert.Assert(t, strings.Contains(out, "task_started"), "the dead instance's events must have been kept by a peer: %s", out)
}

// Guards against a graceful shutdown that aborts requests in flight or leaves
// the failure domain without an owner.
func TestGracefulShutdownCompletesRequestsInFlight(t *testing.T) {
	c := newTestCluster(t, 2)
	waitFor("owners", t, func() bool { return len(c.owners(c.entries[0])) == 3 })
	c.publishExamples()
	stopLoad := c.startLoad()
	formerOwner := c.owners(c.entries[0])["c"]
	for _, e := range c.entries {
		if e.name == formerOwner {
			c.setBackendFaults(`{"slow_ms":1500}`)
			inFlight := c.sendAsync(e, 4)
			c.setBackendFaults(`{}`)
			e.signal(syscall.SIGTERM)
			for range cap(inFlight) {
				assert.NilError(t, <-inFlight, "a request in flight was aborted")
			}
			<-e.exited
			assert.Equal(t, e.cmd.ProcessState.ExitCode(), 0, e.logText())
		}
	}
	elapsed := waitFor("handover", t, func() bool { return c.owners(c.entries[0])["c"] != "" && c.owners(c.entries[0])["c"] != formerOwner })
	t.Logf("handover after %s", elapsed)
	l := stopLoad()
	c.checkGuarantees(l)
	assert.Equal(t, l.Unknown.Load(), int64(0))
	assert.Equal(t, l.Failed.Load(), int64(0))
}

// Guards against duplicate or lost work under load when one owner is paused for
// longer than its lease, another one is killed, and the platform is down for 8 s.
func TestFaultsUnderLoad(t *testing.T) {
	c := newTestCluster(t, 2)
	waitFor("owners", t, func() bool { return len(c.owners(c.entries[0])) == 3 })
	c.publishExamples()
	stopLoad := c.startLoad()
	byName := map[string]*process{}
	for _, e := range c.entries {
		byName[e.name] = e
	}
	owners := c.owners(c.entries[0])
	paused := byName[owners["a"]]
	observer := c.entries[0]
	if observer == paused {
		observer = c.entries[1]
	}
	paused.signal(syscall.SIGSTOP)
	t.Logf("takeover from a paused owner after %s", waitFor("takeover", t, func() bool {
		owner := c.owners(observer)["a"]
		return owner != "" && owner != paused.name
	}))
	paused.signal(syscall.SIGCONT)
	c.setFaults(c.platform, `{"down":true}`)
	time.Sleep(8 * time.Second)
	c.setFaults(c.platform, `{}`)
	byName[owners["b"]].signal(syscall.SIGKILL)
	waitFor("all failure domains owned again", t, func() bool {
		now := c.owners(observer)
		return len(now) == 3 && now["b"] != owners["b"]
	})
	waitFor("batch finished", t, func() bool { return c.jobState(observer, "trials") == sched.JobFinished })
	c.checkGuarantees(stopLoad())
}

// Guards against a failure domain that stops serving, runs something twice, or
// accepts jobs that it cannot store, while it is cut off from the platform.
func TestCutOffFailureDomainKeepsServing(t *testing.T) {
	c := newTestCluster(t, 1)
	waitFor("owners", t, func() bool { return len(c.owners(c.entries[0])) == 3 })
	c.publishExamples()
	waitFor("job trials finished", t, func() bool { return c.jobState(c.entries[0], "trials") == sched.JobFinished })
	c.setFaults(c.platform, `{"cut_domains":["c"]}`)
	l := &rack.LoadGenerator{RequestsPerSecond: 50, URLs: []string{c.entries[2].url()}, Client: &http.Client{Timeout: 30 * time.Second}}
	waitFor("cut noticed", t, func() bool { return c.reportsStoreDown("entry-c0") })
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	l.Run(ctx)
	assert.Assert(t, l.Refused.Load() > 0, "non-idempotent requests must be refused")
	out, status := c.runCommand("submit", "--entry", c.entries[2].url(), c.writeJSON("late", map[string]any{
		"kind": "batch", "name": "late", "user": "example", "tasks": 1, "failure_domains": []string{"c"},
		"resources": map[string]int{"cpu_millis": 500, "memory_mb": 100},
	}))
	assert.Equal(t, status, 3, out)
	c.setFaults(c.platform, `{}`)
	waitFor("platform reached again", t, func() bool { return !c.reportsStoreDown("entry-c0") })
	assert.Equal(t, c.owners(c.entries[0])["c"], "entry-c0")
	c.checkGuarantees(l)
}

// reportsStoreDown reports whether the named instance considers the platform's
// store unavailable.
func (c *testCluster) reportsStoreDown(name string) bool {
	for _, i := range c.status(c.entries[2]).Instances {
		if i.Name == name {
			return i.StoreDown
		}
	}
	return false
}

func (c *testCluster) setBackendFaults(faults string) {
	for _, b := range c.backends {
		c.setFaults(b, faults)
	}
}

// sendAsync sends n requests to one instance without retries and returns as soon
// as n requests run on the backend servers of its failure domain. The channel
// gets the result of each.
func (c *testCluster) sendAsync(e *process, n int) chan error {
	results := make(chan error, n)
	for range n {
		go func() {
			req, err := http.NewRequest(http.MethodPost, e.url()+"/v1/requests/booking", strings.NewReader("x"))
			if err == nil {
				req.Header.Set("Daisyrack-User", "slow")
				req.GetBody = nil
				err = sendAndReadAll(req)
			}
			results <- err
		}()
	}
	waitFor("requests run", c.t, func() bool {
		var status entry.Status
		getJSON(c.t, e.url()+"/v1/status", &status)
		for _, i := range status.Instances {
			if i.Name == e.name {
				return i.Queue.Team["slow"][queue.Normal].Running >= int64(n)
			}
		}
		return false
	})
	return results
}

// sendAndReadAll sends a request and returns an error unless it is answered with
// status 200 and a complete body.
func sendAndReadAll(req *http.Request) error {
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if _, err := io.ReadAll(res.Body); err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return errors.New(res.Status + " " + res.Header.Get("Daisyrack-Reason"))
	}
	return nil
}
