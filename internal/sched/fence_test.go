package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/plat"
	"github.com/daisyrack/daisyrack/internal/sched"
	"github.com/daisyrack/daisyrack/pkg/config"
)

// A commit that the former owner sent before the takeover, but that arrives after it, must not
// overwrite the records of the new owner.
func TestLateCommitOfFormerOwnerIsRefused(t *testing.T) {
	simulate(t, 3, func(r *rig) {
		r.start("e1")
		r.waitFor("first owner", 10*time.Second, func() bool { return r.isOwner("e1") })
		r.start("e2")
		r.publish(newJob(config.KindBatch, "bat", 18, 1000, 3))
		r.waitFor("running", 10*time.Second, func() bool { return r.countRunning() == 12 })
		// Delay the commit that records the first 12 finished tasks.
		r.net.holdCommits("e1")
		r.waitFor("takeover", 20*time.Second, func() bool { return r.isOwner("e2") })
		r.waitFor("finished", time.Minute, func() bool { return r.jobState(r.instances["e2"], "bat") == sched.JobFinished })
		r.net.releaseCommits("e1")
		time.Sleep(5 * time.Second)
		r.kill("e1")
		r.kill("e2")
		r.start("e3")
		r.waitFor("third owner", 20*time.Second, func() bool { return r.isOwner("e3") })
		time.Sleep(20 * time.Second)
		starts, _ := countStarts(r)
		assert.Equal(r.t, starts, 18, "finished tasks must not run again")
		assert.Equal(r.t, r.jobState(r.instances["e3"], "bat"), sched.JobFinished)
		r.checkInvariants()
	})
}

// A new owner whose instance list is stale lacks a worker that the former owner has used. It must
// learn of the worker from the fleet row instead of starting the worker's tasks a second time.
func TestTakeoverWithStaleInstanceList(t *testing.T) {
	simulate(t, 2, func(r *rig) {
		r.start("e1")
		r.waitFor("first owner", 10*time.Second, func() bool { return r.isOwner("e1") })
		e2 := r.start("e2")
		time.Sleep(3 * time.Second)
		e2.lister.freeze()
		r.startWorker(2)
		// The short tasks fill the known workers, so that some tasks of the service are placed on
		// the new one. Once they end, a second start of the service's tasks would find free
		// capacity.
		r.publish(newJob(config.KindBatch, "fill", 4, 1000, 20))
		r.waitFor("filled", 20*time.Second, func() bool { return r.countRunning() == 4 })
		r.publish(newJob(config.KindService, "svc", 6, 1000, 0))
		r.waitFor("running", 20*time.Second, func() bool { return r.countRunning() == 10 })
		r.kill("e1")
		r.waitFor("takeover", 20*time.Second, func() bool { return r.isOwner("e2") })
		time.Sleep(time.Minute)
		starts, _ := countStarts(r)
		assert.Equal(r.t, starts, 10, "tasks on the unknown worker must not be started again")
		assert.Equal(r.t, r.countRunning(), 6)
		r.checkInvariants()
	})
}

// Workers must keep the reports of finished tasks until the table has recorded them. Otherwise a
// new owner that takes over after a store outage would run the tasks again.
func TestFinishedTasksSurviveOutageAndTakeover(t *testing.T) {
	simulate(t, 3, func(r *rig) {
		r.start("e1")
		r.waitFor("first owner", 10*time.Second, func() bool { return r.isOwner("e1") })
		r.publish(newJob(config.KindBatch, "bat", 9, 1000, 10))
		r.waitFor("running", 10*time.Second, func() bool { return r.countRunning() == 9 })
		r.platform.SetFaults(plat.Faults{Down: true})
		r.waitFor("ended", time.Minute, func() bool { return r.countEnded("bat@", "succeeded") == 9 })
		time.Sleep(10 * time.Second)
		r.kill("e1")
		r.platform.SetFaults(plat.Faults{})
		r.start("e2")
		r.waitFor("finished", time.Minute, func() bool { return r.jobState(r.instances["e2"], "bat") == sched.JobFinished })
		starts, _ := countStarts(r)
		assert.Equal(r.t, starts, 9, "finished tasks must not run again")
		r.checkInvariants()
	})
}
