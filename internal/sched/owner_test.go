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

func newJob(kind, name string, tasks int, cpu int64, seconds int64) config.Job {
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

func (r *rig) submit(n *instance, j config.Job) sched.Reply {
	ctx, cancel := context.WithTimeout(r.ctx, 10*time.Second)
	defer cancel()
	reply := n.owner.Submit(ctx, j.WithDefaults(), "test")
	r.t.Logf("submit %s: %s %s", j.Name, reply.Outcome, reply.Reason)
	return reply
}

func (r *rig) jobState(n *instance, name string) string {
	ctx, cancel := context.WithTimeout(r.ctx, time.Second)
	defer cancel()
	if reply := n.owner.Describe(ctx, name); reply.Job != nil {
		return reply.Job.State
	}
	return ""
}

// The tasks that are running when an owner crashes must be adopted by the new owner, without being
// lost, duplicated or restarted.
func TestTakeoverKeepsRunningTasks(t *testing.T) {
	simulate(t, 4, func(r *rig) {
		r.start("e1")
		r.waitFor("first owner", 10*time.Second, func() bool { return r.isOwner("e1") })
		r.publish(newJob(config.KindService, "svc", 6, 500, 0), newJob(config.KindBatch, "bat", 20, 500, 60))
		r.waitFor("tasks running", 10*time.Second, func() bool { return r.countRunning() == 26 })
		e2 := r.start("e2")
		time.Sleep(3 * time.Second)
		r.kill("e1")
		took := r.waitFor("takeover", 10*time.Second, func() bool { return r.isOwner("e2") })
		r.t.Logf("takeover after %s", took)
		starts, _ := countStarts(r)
		assert.Equal(r.t, starts, 26, "running tasks must not be started again")
		r.waitFor("batch finished", 2*time.Minute, func() bool { return r.jobState(e2, "bat") == sched.JobFinished })
		starts, _ = countStarts(r)
		assert.Equal(r.t, starts, 26)
		r.checkInvariants()
	})
}

// Late commands of an owner that was paused and then resumed must not start or stop tasks after
// another instance has taken over.
func TestPausedOwnerIsFenced(t *testing.T) {
	simulate(t, 3, func(r *rig) {
		r.start("e1")
		r.waitFor("first owner", 10*time.Second, func() bool { return r.isOwner("e1") })
		e2 := r.start("e2")
		r.publish(newJob(config.KindBatch, "bat", 30, 400, 5))
		time.Sleep(3 * time.Second)
		r.net.pause("e1")
		r.waitFor("takeover", 10*time.Second, func() bool { return r.isOwner("e2") })
		r.waitFor("batch finished", 2*time.Minute, func() bool { return r.jobState(e2, "bat") == sched.JobFinished })
		r.net.resume("e1")
		time.Sleep(10 * time.Second)
		assert.Assert(r.t, r.instances["e1"].owner.Epoch() == 0, "the old owner must step down")
		r.checkInvariants()
	})
}

// While the store is down for an hour, accepted work must go on without being stopped, started
// twice or lost, except for tasks that move when they are cut off: their worker stops them.
func TestStoreOutageOfAnHour(t *testing.T) {
	simulate(t, 3, func(r *rig) {
		e1 := r.start("e1")
		r.start("e2")
		r.waitFor("an owner", 10*time.Second, func() bool { return r.isOwner("e1") || r.isOwner("e2") })
		if !r.isOwner("e1") {
			e1 = r.instances["e2"]
		}
		move := newJob(config.KindService, "mov", 2, 300, 0)
		move.OnCutOff = "move"
		urgent := newJob(config.KindService, "svc", 3, 300, 0)
		urgent.Class, move.Class = "urgent", "urgent"
		r.publish(urgent, move, newJob(config.KindBatch, "bat", 40, 1000, 120))
		r.waitFor("services running", 10*time.Second, func() bool { return r.firstWorker("mov/1") != "" && r.firstWorker("svc/2") != "" })
		epoch := e1.owner.Epoch()
		r.platform.SetFaults(plat.Faults{Down: true})
		reply := r.submit(e1, newJob(config.KindBatch, "new", 1, 100, 1))
		assert.Equal(r.t, reply.Outcome, sched.ReplyRefused, "a job that can not be recorded must be refused")
		time.Sleep(time.Hour)
		assert.Equal(r.t, r.countEnded("mov/0", "stopped"), 1, "a moving task must stop when its owner is cut off")
		assert.Equal(r.t, r.countEnded("svc/0", "stopped"), 0, "a staying task must go on")
		assert.Equal(r.t, r.countEnded("bat@", "succeeded"), 40, "accepted work must go on")
		r.platform.SetFaults(plat.Faults{})
		r.waitFor("batch recorded", time.Minute, func() bool { return r.jobState(e1, "bat") == sched.JobFinished })
		r.waitFor("moving tasks back", time.Minute, func() bool { return r.countRunning() == 5 })
		assert.Equal(r.t, e1.owner.Epoch(), epoch, "the owner renews first after the outage")
		assert.Equal(r.t, r.jobState(e1, "new"), "", "a refused job must not run")
		r.checkInvariants()
	})
}

// countEnded returns the number of runs with the end state whose task ID has the prefix.
func (r *rig) countEnded(prefix, end string) int {
	n := 0
	for _, rec := range r.histories() {
		for _, run := range rec.Runs {
			if len(run.ID) >= len(prefix) && run.ID[:len(prefix)] == prefix && run.EndState == end {
				n++
			}
		}
	}
	return n
}

// A task must not be restarted while it may still run on a partitioned worker.
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
			simulate(t, 2, func(r *rig) {
				r.start("e1")
				r.waitFor("owner", 10*time.Second, func() bool { return r.isOwner("e1") })
				j := newJob(config.KindService, "svc", 1, 300, 0)
				j.OnCutOff = c.onCutOff
				r.publish(j)
				r.waitFor("running", 10*time.Second, func() bool { return r.countRunning() == 1 })
				time.Sleep(5 * time.Second)
				r.net.setPartitioned("*", r.firstWorker("svc/0"), true)
				time.Sleep(c.wait)
				starts, _ := countStarts(r)
				assert.Equal(r.t, starts, 1+c.restarts)
				r.net.setPartitioned("*", r.firstWorker("svc/0"), false)
				time.Sleep(10 * time.Second)
				assert.Equal(r.t, r.countRunning(), 1)
				r.checkInvariants()
			})
		})
	}
}

// firstWorker returns the name of a worker that has run the task, or "".
func (r *rig) firstWorker(id string) string {
	for _, rec := range r.histories() {
		for _, run := range rec.Runs {
			if run.ID == id {
				return rec.Name
			}
		}
	}
	return ""
}

// Tasks must be restarted when their worker has crashed and lost them, or has been removed for
// good.
func TestTasksOfLostWorkersAreRestarted(t *testing.T) {
	cases := map[string]func(*rig, *work.Server){
		"crash": func(_ *rig, w *work.Server) { w.SetFaults(work.Faults{Crash: true}) },
		"gone": func(r *rig, w *work.Server) {
			r.net.setPartitioned("*", w.Name, true)
			w.SetFaults(work.Faults{Crash: true})
			r.platform.Remove(w.Name)
		},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			simulate(t, 3, func(r *rig) {
				e1 := r.start("e1")
				r.waitFor("owner", 10*time.Second, func() bool { return r.isOwner("e1") })
				r.publish(newJob(config.KindService, "svc", 6, 500, 0), newJob(config.KindBatch, "bat", 6, 500, 30))
				r.waitFor("running", 10*time.Second, func() bool { return r.countRunning() == 12 })
				fault(r, r.workers[0])
				r.waitFor("batch finished", 2*time.Minute, func() bool { return r.jobState(e1, "bat") == sched.JobFinished })
				r.waitFor("services running", time.Minute, func() bool { return r.countRunning() == 6 })
				r.checkInvariants()
			})
		})
	}
}

// Jobs must be neither accepted twice nor lost when replies of the store are lost.
func TestLostStoreReplies(t *testing.T) {
	simulate(t, 3, func(r *rig) {
		e1 := r.start("e1")
		r.waitFor("owner", 10*time.Second, func() bool { return r.isOwner("e1") })
		r.platform.SetFaults(plat.Faults{DropResponseRate: 0.5})
		for i := range 20 {
			reply := r.submit(e1, newJob(config.KindBatch, fmt.Sprintf("bat%d", i), 2, 500, 1))
			assert.Equal(r.t, reply.Outcome, sched.ReplyAccepted, reply.Reason)
		}
		for i := range 20 {
			name := fmt.Sprintf("bat%d", i)
			r.waitFor(name, time.Minute, func() bool { return r.jobState(e1, name) == sched.JobFinished })
			assert.Equal(r.t, r.countEnded(name+"@", "succeeded"), 2)
		}
		r.checkInvariants()
	})
}

// A worker that fails all starts has free capacity and attracts tasks. All jobs must finish on the
// other workers nevertheless.
func TestJobsFinishDespiteFailingWorker(t *testing.T) {
	simulate(t, 4, func(r *rig) {
		e1 := r.start("e1")
		r.waitFor("owner", 10*time.Second, func() bool { return r.isOwner("e1") })
		r.workers[0].SetFaults(work.Faults{FailStarts: true})
		for i := range 8 {
			r.submit(e1, newJob(config.KindBatch, fmt.Sprintf("bat%d", i), 4, 900, 2))
		}
		for i := range 8 {
			name := fmt.Sprintf("bat%d", i)
			r.waitFor(name, 3*time.Minute, func() bool { return r.jobState(e1, name) == sched.JobFinished })
		}
		r.checkInvariants()
	})
}

// The tasks of an all-at-once job must start together once all of them fit, never in part.
func TestAllAtOnceStartsAllOrNone(t *testing.T) {
	simulate(t, 2, func(r *rig) {
		e1 := r.start("e1")
		r.waitFor("owner", 10*time.Second, func() bool { return r.isOwner("e1") })
		r.submit(e1, newJob(config.KindBatch, "fill", 6, 1000, 10))
		r.waitFor("filled", 10*time.Second, func() bool { return r.countRunning() == 6 })
		r.submit(e1, newJob(config.KindGang, "gang", 4, 1000, 5))
		time.Sleep(5 * time.Second)
		assert.Equal(r.t, r.countRunning(), 6, "no task of the job may start while not all fit")
		r.waitFor("gang finished", 2*time.Minute, func() bool { return r.jobState(e1, "gang") == sched.JobFinished })
		assert.Equal(r.t, r.countEnded("gang@", "succeeded"), 4)
		r.checkInvariants()
	})
}

// A cancellation must still be in force after another instance has taken over.
func TestCancellationSurvivesTakeover(t *testing.T) {
	simulate(t, 2, func(r *rig) {
		e1 := r.start("e1")
		r.waitFor("owner", 10*time.Second, func() bool { return r.isOwner("e1") })
		r.submit(e1, newJob(config.KindBatch, "bat", 20, 1000, 30))
		r.waitFor("running", 10*time.Second, func() bool { return r.countRunning() == 8 })
		reply := e1.owner.Cancel(r.ctx, "bat", "test")
		assert.Equal(r.t, reply.Outcome, sched.ReplyAccepted, reply.Reason)
		r.start("e2")
		r.kill("e1")
		r.waitFor("takeover", 20*time.Second, func() bool { return r.isOwner("e2") })
		r.waitFor("stopped", 30*time.Second, func() bool { return r.countRunning() == 0 })
		time.Sleep(time.Minute)
		assert.Equal(r.t, r.countRunning(), 0)
		r.checkInvariants()
	})
}
