package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/plat"
	"github.com/daisyrack/daisyrack/internal/sched"
	"github.com/daisyrack/daisyrack/pkg/config"
)

// Guards against a commit of a paused owner that arrives after the takeover and
// overwrites what the new owner has recorded.
func TestLateCommitOfAnOldOwnerIsRefused(t *testing.T) {
	inBubble(t, 3, func(r *rig) {
		r.start("e1")
		r.until("first owner", 10*time.Second, func() bool { return r.ownerNamed("e1") })
		r.start("e2")
		r.publish(job(config.KindBatch, "bat", 18, 1000, 3))
		r.until("running", 10*time.Second, func() bool { return r.running() == 12 })
		// The commit of the first 12 finished tasks stays on its way.
		r.net.hold("e1")
		r.until("takeover", 20*time.Second, func() bool { return r.ownerNamed("e2") })
		r.until("finished", time.Minute, func() bool { return r.state(r.nodes["e2"], "bat") == sched.JobFinished })
		r.net.release("e1")
		time.Sleep(5 * time.Second)
		r.kill("e1")
		r.kill("e2")
		r.start("e3")
		r.until("third owner", 20*time.Second, func() bool { return r.ownerNamed("e3") })
		time.Sleep(20 * time.Second)
		starts, _ := overlaps(r)
		assert.Equal(r.t, starts, 18, "finished tasks must not run again")
		assert.Equal(r.t, r.state(r.nodes["e3"], "bat"), sched.JobFinished)
		r.holds()
	})
}

// Guards against a takeover by an instance whose list does not show a worker
// that the earlier owner has used.
func TestWorkerUnknownToTheNextOwnersList(t *testing.T) {
	inBubble(t, 2, func(r *rig) {
		r.start("e1")
		r.until("first owner", 10*time.Second, func() bool { return r.ownerNamed("e1") })
		e2 := r.start("e2")
		time.Sleep(3 * time.Second)
		e2.list.freeze()
		r.startWorker(2)
		// The short tasks fill the known workers, so that some of the service's
		// go to the new one; later they leave room for a second start.
		r.publish(job(config.KindBatch, "fill", 4, 1000, 20))
		r.until("filled", 20*time.Second, func() bool { return r.running() == 4 })
		r.publish(job(config.KindService, "svc", 6, 1000, 0))
		r.until("running", 20*time.Second, func() bool { return r.running() == 10 })
		r.kill("e1")
		r.until("takeover", 20*time.Second, func() bool { return r.ownerNamed("e2") })
		time.Sleep(time.Minute)
		starts, _ := overlaps(r)
		assert.Equal(r.t, starts, 10, "tasks on the unknown worker must not be started again")
		assert.Equal(r.t, r.running(), 6)
		r.holds()
	})
}

// Guards against finished tasks that are forgotten by their workers before the
// table has them, and so run again under the next owner.
func TestFinishedTasksOutliveOutageAndOwner(t *testing.T) {
	inBubble(t, 3, func(r *rig) {
		r.start("e1")
		r.until("first owner", 10*time.Second, func() bool { return r.ownerNamed("e1") })
		r.publish(job(config.KindBatch, "bat", 9, 1000, 10))
		r.until("running", 10*time.Second, func() bool { return r.running() == 9 })
		r.platform.SetFaults(plat.Faults{Down: true})
		r.until("ended", time.Minute, func() bool { return r.ended("bat@", "succeeded") == 9 })
		time.Sleep(10 * time.Second)
		r.kill("e1")
		r.platform.SetFaults(plat.Faults{})
		r.start("e2")
		r.until("finished", time.Minute, func() bool { return r.state(r.nodes["e2"], "bat") == sched.JobFinished })
		starts, _ := overlaps(r)
		assert.Equal(r.t, starts, 9, "finished tasks must not run again")
		r.holds()
	})
}
