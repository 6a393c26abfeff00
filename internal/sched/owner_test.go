package sched_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/plat"
	"github.com/daisyrack/daisyrack/internal/sched"
	"github.com/daisyrack/daisyrack/internal/work"
	"github.com/daisyrack/daisyrack/pkg/config"
)

func mustJSON(t testing.TB, v any) []byte {
	t.Helper()
	text, err := json.Marshal(v)
	assert.NilError(t, err)
	return text
}

func job(kind, name string, tasks int, cpu int64, seconds int64) config.Job {
	return config.Job{
		Kind:       kind,
		Name:       name,
		User:       "u",
		Class:      "normal",
		Tasks:      tasks,
		Resources:  config.Resources{CPUMillis: cpu, MemoryMB: 100},
		RunSeconds: seconds,
		Payload:    fmt.Appendf(nil, `{"true_cpu_millis":%d,"true_memory_mb":90}`, cpu*9/10),
	}
}

func (r *rig) submit(n *node, j config.Job) sched.Reply {
	ctx, cancel := context.WithTimeout(r.ctx, 10*time.Second)
	defer cancel()
	reply := n.owner.Submit(ctx, j.WithDefaults(), "test")
	r.t.Logf("submit %s: %s %s", j.Name, reply.Outcome, reply.Reason)
	return reply
}

func (r *rig) state(n *node, name string) string {
	ctx, cancel := context.WithTimeout(r.ctx, time.Second)
	defer cancel()
	if reply := n.owner.Describe(ctx, name); reply.Job != nil {
		return reply.Job.State
	}
	return ""
}

// Guards against tasks that are lost, doubled or restarted when an owner dies.
func TestTakeoverKeepsRunningTasks(t *testing.T) {
	inBubble(t, 4, func(r *rig) {
		r.start("e1")
		r.until("first owner", 10*time.Second, func() bool { return r.ownerNamed("e1") })
		r.publish(job(config.KindService, "svc", 6, 500, 0), job(config.KindBatch, "bat", 20, 500, 60))
		r.until("tasks running", 10*time.Second, func() bool { return r.running() == 26 })
		e2 := r.start("e2")
		time.Sleep(3 * time.Second)
		r.kill("e1")
		took := r.until("takeover", 10*time.Second, func() bool { return r.ownerNamed("e2") })
		r.t.Logf("takeover after %s", took)
		starts, _ := overlaps(r)
		assert.Equal(r.t, starts, 26, "running tasks must not be started again")
		r.until("batch finished", 2*time.Minute, func() bool { return r.state(e2, "bat") == sched.JobFinished })
		starts, _ = overlaps(r)
		assert.Equal(r.t, starts, 26)
		r.holds()
	})
}

// Guards against a paused owner whose late commands start or stop tasks after
// another instance has taken over.
func TestPausedOwnerDoesNoHarm(t *testing.T) {
	inBubble(t, 3, func(r *rig) {
		r.start("e1")
		r.until("first owner", 10*time.Second, func() bool { return r.ownerNamed("e1") })
		e2 := r.start("e2")
		r.publish(job(config.KindBatch, "bat", 30, 400, 5))
		time.Sleep(3 * time.Second)
		r.net.pause("e1")
		r.until("takeover", 10*time.Second, func() bool { return r.ownerNamed("e2") })
		r.until("batch finished", 2*time.Minute, func() bool { return r.state(e2, "bat") == sched.JobFinished })
		r.net.resume("e1")
		time.Sleep(10 * time.Second)
		assert.Assert(r.t, r.nodes["e1"].owner.Epoch() == 0, "the old owner must step down")
		r.holds()
	})
}

// Guards against work that stops, starts twice or is forgotten while the store
// is down for an hour.
func TestStoreOutageOfAnHour(t *testing.T) {
	inBubble(t, 3, func(r *rig) {
		e1 := r.start("e1")
		r.start("e2")
		r.until("an owner", 10*time.Second, func() bool { return r.ownerNamed("e1") || r.ownerNamed("e2") })
		if !r.ownerNamed("e1") {
			e1 = r.nodes["e2"]
		}
		move := job(config.KindService, "mov", 2, 300, 0)
		move.OnCutOff = "move"
		urgent := job(config.KindService, "svc", 3, 300, 0)
		urgent.Class, move.Class = "urgent", "urgent"
		r.publish(urgent, move, job(config.KindBatch, "bat", 40, 1000, 120))
		r.until("services running", 10*time.Second, func() bool { return r.holder("mov/1") != "" && r.holder("svc/2") != "" })
		epoch := e1.owner.Epoch()
		r.platform.SetFaults(plat.Faults{Down: true})
		reply := r.submit(e1, job(config.KindBatch, "new", 1, 100, 1))
		assert.Equal(r.t, reply.Outcome, sched.ReplyRefused, "a job that can not be recorded must be refused")
		time.Sleep(time.Hour)
		assert.Equal(r.t, r.ended("mov/0", "stopped"), 1, "a moving task must stop when its owner is cut off")
		assert.Equal(r.t, r.ended("svc/0", "stopped"), 0, "a staying task must go on")
		assert.Equal(r.t, r.ended("bat@", "succeeded"), 40, "accepted work must go on")
		r.platform.SetFaults(plat.Faults{})
		r.until("batch recorded", time.Minute, func() bool { return r.state(e1, "bat") == sched.JobFinished })
		r.until("moving tasks back", time.Minute, func() bool { return r.running() == 5 })
		assert.Equal(r.t, e1.owner.Epoch(), epoch, "the owner renews first after the outage")
		assert.Equal(r.t, r.state(e1, "new"), "", "a refused job must not run")
		r.holds()
	})
}

// ended counts the runs of tasks with a prefix that ended in a way.
func (r *rig) ended(prefix, end string) int {
	n := 0
	for _, rec := range r.records() {
		for _, run := range rec.Runs {
			if len(run.ID) >= len(prefix) && run.ID[:len(prefix)] == prefix && run.End == end {
				n++
			}
		}
	}
	return n
}

// Guards against restarts while a task may still run on a worker that is cut off.
func TestWorkerCutOff(t *testing.T) {
	cases := []struct {
		onCutOff string
		wait     time.Duration
		restarts int
	}{
		{"move", 18 * time.Second, 0},
		{"move", 40 * time.Second, 1},
		{"stay", 10 * time.Minute, 0},
		{"stay", 80 * time.Minute, 1},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%s after %s", c.onCutOff, c.wait), func(t *testing.T) {
			inBubble(t, 2, func(r *rig) {
				r.start("e1")
				r.until("owner", 10*time.Second, func() bool { return r.ownerNamed("e1") })
				j := job(config.KindService, "svc", 1, 300, 0)
				j.OnCutOff = c.onCutOff
				r.publish(j)
				r.until("running", 10*time.Second, func() bool { return r.running() == 1 })
				time.Sleep(5 * time.Second)
				r.net.setCut("*", r.holder("svc/0"), true)
				time.Sleep(c.wait)
				starts, _ := overlaps(r)
				assert.Equal(r.t, starts, 1+c.restarts)
				r.net.setCut("*", r.holder("svc/0"), false)
				time.Sleep(10 * time.Second)
				assert.Equal(r.t, r.running(), 1)
				r.holds()
			})
		})
	}
}

// holder returns the worker that first ran a task.
func (r *rig) holder(id string) string {
	for _, rec := range r.records() {
		for _, run := range rec.Runs {
			if run.ID == id {
				return rec.Name
			}
		}
	}
	return ""
}

// Guards against tasks that stay lost when a worker restarts without them, or
// is gone for good.
func TestLostWorkersAreMadeGood(t *testing.T) {
	cases := map[string]func(*rig, *work.Server){
		"crash": func(_ *rig, w *work.Server) { w.SetFaults(work.Faults{Crash: true}) },
		"gone": func(r *rig, w *work.Server) {
			r.net.setCut("*", w.Name, true)
			w.SetFaults(work.Faults{Crash: true})
			r.platform.Remove(w.Name)
		},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 3, func(r *rig) {
				e1 := r.start("e1")
				r.until("owner", 10*time.Second, func() bool { return r.ownerNamed("e1") })
				r.publish(job(config.KindService, "svc", 6, 500, 0), job(config.KindBatch, "bat", 6, 500, 30))
				r.until("running", 10*time.Second, func() bool { return r.running() == 12 })
				fault(r, r.workers[0])
				r.until("batch finished", 2*time.Minute, func() bool { return r.state(e1, "bat") == sched.JobFinished })
				r.until("services running", time.Minute, func() bool { return r.running() == 6 })
				r.holds()
			})
		})
	}
}

// Guards against jobs that are accepted twice or lost when the store loses answers.
func TestLostStoreAnswers(t *testing.T) {
	inBubble(t, 3, func(r *rig) {
		e1 := r.start("e1")
		r.until("owner", 10*time.Second, func() bool { return r.ownerNamed("e1") })
		r.platform.SetFaults(plat.Faults{LoseAnswers: 0.5})
		for i := range 20 {
			reply := r.submit(e1, job(config.KindBatch, fmt.Sprintf("bat%d", i), 2, 500, 1))
			assert.Equal(r.t, reply.Outcome, sched.ReplyAccepted, reply.Reason)
		}
		for i := range 20 {
			name := fmt.Sprintf("bat%d", i)
			r.until(name, time.Minute, func() bool { return r.state(e1, name) == sched.JobFinished })
			assert.Equal(r.t, r.ended(name+"@", "succeeded"), 2)
		}
		r.holds()
	})
}

// Guards against a worker that fails everything and takes all work with it.
func TestWorkerThatFailsEverythingIsSetAside(t *testing.T) {
	inBubble(t, 4, func(r *rig) {
		e1 := r.start("e1")
		r.until("owner", 10*time.Second, func() bool { return r.ownerNamed("e1") })
		r.workers[0].SetFaults(work.Faults{FailStarts: true})
		for i := range 8 {
			r.submit(e1, job(config.KindBatch, fmt.Sprintf("bat%d", i), 4, 900, 2))
		}
		for i := range 8 {
			name := fmt.Sprintf("bat%d", i)
			r.until(name, 3*time.Minute, func() bool { return r.state(e1, name) == sched.JobFinished })
		}
		r.holds()
	})
}

// Guards against an all-at-once job that runs in part.
func TestAllAtOnceRunsWhole(t *testing.T) {
	inBubble(t, 2, func(r *rig) {
		e1 := r.start("e1")
		r.until("owner", 10*time.Second, func() bool { return r.ownerNamed("e1") })
		r.submit(e1, job(config.KindBatch, "fill", 6, 1000, 10))
		r.until("filled", 10*time.Second, func() bool { return r.running() == 6 })
		r.submit(e1, job(config.KindAllAtOnce, "gang", 4, 1000, 5))
		time.Sleep(5 * time.Second)
		assert.Equal(r.t, r.running(), 6, "no task of the job may start while not all fit")
		r.until("gang finished", 2*time.Minute, func() bool { return r.state(e1, "gang") == sched.JobFinished })
		assert.Equal(r.t, r.ended("gang@", "succeeded"), 4)
		r.holds()
	})
}

// Guards against a cancellation that a later owner does not know of.
func TestCancellationOutlivesItsOwner(t *testing.T) {
	inBubble(t, 2, func(r *rig) {
		e1 := r.start("e1")
		r.until("owner", 10*time.Second, func() bool { return r.ownerNamed("e1") })
		r.submit(e1, job(config.KindBatch, "bat", 20, 1000, 30))
		r.until("running", 10*time.Second, func() bool { return r.running() == 8 })
		reply := e1.owner.Cancel(r.ctx, "bat", "test")
		assert.Equal(r.t, reply.Outcome, sched.ReplyAccepted, reply.Reason)
		r.start("e2")
		r.kill("e1")
		r.until("takeover", 20*time.Second, func() bool { return r.ownerNamed("e2") })
		r.until("stopped", 30*time.Second, func() bool { return r.running() == 0 })
		time.Sleep(time.Minute)
		assert.Equal(r.t, r.running(), 0)
		r.holds()
	})
}
