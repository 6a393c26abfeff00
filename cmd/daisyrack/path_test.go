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

// Guards the whole path as separate processes: documents, requests and jobs are
// served, and the death of an entry instance leaves no request without outcome.
func TestWholePathSurvivesTheDeathOfAnEntryInstance(t *testing.T) {
	s := newSite(t, 2)
	until("owners", t, func() bool { return len(s.owners(s.entries[0])) == 3 })
	s.publishExamples()
	stop := s.load()
	out, status := s.command("submit", "--entry", s.entries[2].url(), s.file("sums", map[string]any{
		"kind": "batch", "name": "sums", "user": "example", "tasks": 6, "run_seconds": 1,
		"resources": map[string]int{"cpu_millis": 500, "memory_mb": 100},
	}))
	assert.Equal(t, status, 0, out)
	until("jobs finished", t, func() bool {
		return s.jobState(s.entries[0], "sums") == sched.JobFinished && s.jobState(s.entries[0], "blend") == sched.JobFinished
	})
	victim := s.owners(s.entries[0])["b"]
	for _, e := range s.entries {
		if e.name == victim {
			e.signal(syscall.SIGKILL)
		}
	}
	took := until("takeover", t, func() bool {
		owner := s.owners(s.entries[0])["b"]
		return owner != "" && owner != victim
	})
	t.Logf("takeover after %s", took)
	s.judge(stop())
	out, status = s.command("timeline", "--entry", s.entries[0].url(), "--instance", victim, "--job", "monitor")
	assert.Equal(t, status, 0, out)
	assert.Assert(t, strings.Contains(out, "task_started"), "the dead instance's events must have been kept by a peer: %s", out)
}

// Guards against a graceful shutdown that cuts off requests in progress or
// keeps the failure domain without an owner.
func TestGracefulShutdownCutsOffNothing(t *testing.T) {
	s := newSite(t, 2)
	until("owners", t, func() bool { return len(s.owners(s.entries[0])) == 3 })
	s.publishExamples()
	stop := s.load()
	victim := s.owners(s.entries[0])["c"]
	for _, e := range s.entries {
		if e.name == victim {
			s.faultsOfBackends(`{"slow_ms":1500}`)
			inProgress := s.sendSlow(e, 4)
			s.faultsOfBackends(`{}`)
			e.signal(syscall.SIGTERM)
			for range cap(inProgress) {
				assert.NilError(t, <-inProgress, "a request in progress was cut off")
			}
			<-e.ended
			assert.Equal(t, e.cmd.ProcessState.ExitCode(), 0, e.logged())
		}
	}
	took := until("handover", t, func() bool { return s.owners(s.entries[0])["c"] != "" && s.owners(s.entries[0])["c"] != victim })
	t.Logf("handover after %s", took)
	l := stop()
	s.judge(l)
	assert.Equal(t, l.Unknown.Load(), int64(0))
	assert.Equal(t, l.Failed.Load(), int64(0))
}

// Guards against doubled or lost work when owners are killed and paused past
// their lease and the platform is down for a while, all under load.
func TestFaultsUnderLoad(t *testing.T) {
	s := newSite(t, 2)
	until("owners", t, func() bool { return len(s.owners(s.entries[0])) == 3 })
	s.publishExamples()
	stop := s.load()
	byName := map[string]*process{}
	for _, e := range s.entries {
		byName[e.name] = e
	}
	owners := s.owners(s.entries[0])
	paused := byName[owners["a"]]
	watcher := s.entries[0]
	if watcher == paused {
		watcher = s.entries[1]
	}
	paused.signal(syscall.SIGSTOP)
	t.Logf("takeover from a paused owner after %s", until("takeover", t, func() bool {
		owner := s.owners(watcher)["a"]
		return owner != "" && owner != paused.name
	}))
	paused.signal(syscall.SIGCONT)
	s.faults(s.platform, `{"down":true}`)
	time.Sleep(8 * time.Second)
	s.faults(s.platform, `{}`)
	byName[owners["b"]].signal(syscall.SIGKILL)
	until("all owned again", t, func() bool {
		now := s.owners(watcher)
		return len(now) == 3 && now["b"] != owners["b"]
	})
	until("batch finished", t, func() bool { return s.jobState(watcher, "trials") == sched.JobFinished })
	s.judge(stop())
}

// Guards against a failure domain that stops serving, or runs something twice,
// because it is cut off from the platform.
func TestCutOffFailureDomainGoesOn(t *testing.T) {
	s := newSite(t, 1)
	until("owners", t, func() bool { return len(s.owners(s.entries[0])) == 3 })
	s.publishExamples()
	until("services run", t, func() bool { return s.jobState(s.entries[0], "trials") == sched.JobFinished })
	s.faults(s.platform, `{"cut_domains":["c"]}`)
	l := &rack.LoadGenerator{RequestsPerSecond: 50, URLs: []string{s.entries[2].url()}, Client: &http.Client{Timeout: 30 * time.Second}}
	until("cut noticed", t, func() bool { return s.downAt("entry-c0") })
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	l.Run(ctx)
	assert.Assert(t, l.Refused.Load() > 0, "non-idempotent requests must be refused")
	out, status := s.command("submit", "--entry", s.entries[2].url(), s.file("late", map[string]any{
		"kind": "batch", "name": "late", "user": "example", "tasks": 1, "failure_domains": []string{"c"},
		"resources": map[string]int{"cpu_millis": 500, "memory_mb": 100},
	}))
	assert.Equal(t, status, 3, out)
	s.faults(s.platform, `{}`)
	until("reached again", t, func() bool { return !s.downAt("entry-c0") })
	assert.Equal(t, s.owners(s.entries[0])["c"], "entry-c0")
	s.judge(l)
}

// downAt tells whether an instance finds the platform down.
func (s *site) downAt(name string) bool {
	for _, i := range s.status(s.entries[2]).Instances {
		if i.Name == name {
			return i.StoreDown
		}
	}
	return false
}

func (s *site) faultsOfBackends(faults string) {
	for _, b := range s.backends {
		s.faults(b, faults)
	}
}

// sendSlow sends requests to one instance, without repeating them, and returns
// when as many run at the backend servers of its failure domain.
func (s *site) sendSlow(e *process, n int) chan error {
	answers := make(chan error, n)
	for range n {
		go func() {
			req, err := http.NewRequest(http.MethodPost, e.url()+"/v1/requests/booking", strings.NewReader("x"))
			if err == nil {
				req.Header.Set("Daisyrack-User", "slow")
				req.GetBody = nil
				err = answered(req)
			}
			answers <- err
		}()
	}
	until("requests run", s.t, func() bool {
		var status entry.Status
		getJSON(s.t, e.url()+"/v1/status", &status)
		for _, i := range status.Instances {
			if i.Name == e.name {
				return i.Queue.Team["slow"][queue.Normal].Running >= int64(n)
			}
		}
		return false
	})
	return answers
}

// answered sends a request and fails unless its whole answer comes.
func answered(req *http.Request) error {
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
