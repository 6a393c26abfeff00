package sched_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/daisyrack/daisyrack/internal/plat"
	"github.com/daisyrack/daisyrack/internal/sched"
	"github.com/daisyrack/daisyrack/internal/work"
	"github.com/daisyrack/daisyrack/pkg/config"
)

const (
	defaultSeedCount = 24
	faultsPerRun     = 8
	maxFaultInterval = 12 * time.Second
)

// seedCount returns the number of seeds to run, which DAISYRACK_SEEDS overrides.
func seedCount() int {
	if n, err := strconv.Atoi(os.Getenv("DAISYRACK_SEEDS")); err == nil {
		return n
	}
	return defaultSeedCount
}

// chaos injects random faults. All faults are undone at the end of a run.
type chaos struct {
	rig          *rig
	random       *rand.Rand
	undos        []func()
	nextInstance int
}

func (c *chaos) randomInstance() string {
	names := []string{}
	for i := 1; i < c.nextInstance; i++ {
		names = append(names, fmt.Sprintf("e%d", i))
	}
	return names[c.random.IntN(len(names))]
}

func (c *chaos) randomWorker() *work.Server {
	return c.rig.workers[c.random.IntN(len(c.rig.workers))]
}

func (c *chaos) startInstance() {
	c.rig.start(fmt.Sprintf("e%d", c.nextInstance))
	c.nextInstance++
}

// injectFault injects one random fault or undoes all earlier ones, and describes what it did.
func (c *chaos) injectFault() string {
	r := c.rig
	name, w := c.randomInstance(), c.randomWorker()
	switch c.random.IntN(9) {
	case 0:
		r.net.setPartitioned(name, w.Name, true)
		c.undos = append(c.undos, func() { r.net.setPartitioned(name, w.Name, false) })
		return "cut " + name + " from " + w.Name
	case 1:
		r.net.setPartitioned(name, platformHost, true)
		c.undos = append(c.undos, func() { r.net.setPartitioned(name, platformHost, false) })
		return "cut " + name + " from the platform"
	case 2:
		if r.net.isPaused(name) {
			return "nothing"
		}
		r.net.pause(name)
		c.undos = append(c.undos, func() { r.net.resume(name) })
		return "pause " + name
	case 3:
		r.kill(name)
		c.startInstance()
		return "kill " + name
	case 4:
		r.platform.SetFaults(plat.Faults{Down: true})
		c.undos = append(c.undos, func() { r.platform.SetFaults(plat.Faults{}) })
		return "store down"
	case 5:
		r.platform.SetFaults(plat.Faults{DropResponseRate: 0.5, DelayMs: 300, ListLagMs: 8000})
		c.undos = append(c.undos, func() { r.platform.SetFaults(plat.Faults{}) })
		return "store slow, loses answers, list lags"
	case 6:
		w.SetFaults(work.Faults{Crash: true})
		return "crash " + w.Name
	case 7:
		w.SetFaults(work.Faults{Frozen: true})
		c.undos = append(c.undos, func() { w.SetFaults(work.Faults{}) })
		return "freeze " + w.Name
	default:
		for _, undo := range c.undos {
			undo()
		}
		c.undos = nil
		return "undo all faults"
	}
}

// Random combinations of partitions, pauses, crashes and store faults must neither run a task twice
// at the same time, nor overcommit a worker, nor lose accepted work.
func TestRandomFaults(t *testing.T) {
	for seed := range seedCount() {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			simulate(t, 4, func(r *rig) { r.runChaos(uint64(seed)) })
		})
	}
}

func (r *rig) runChaos(seed uint64) {
	c := &chaos{rig: r, random: rand.New(rand.NewPCG(seed, 1)), nextInstance: 1}
	c.startInstance()
	c.startInstance()
	c.startInstance()
	r.waitFor("an owner", 20*time.Second, func() bool { return r.activeOwner() != nil })
	move := newJob(config.KindService, "mov", 3, 300, 0)
	move.OnCutOff = "move"
	r.publish(newJob(config.KindService, "svc", 4, 300, 0), move,
		newJob(config.KindBatch, "bat", 40, 700, 9), newJob(config.KindGang, "gang", 4, 900, 7))
	for range faultsPerRun {
		time.Sleep(time.Duration(c.random.Int64N(int64(maxFaultInterval))))
		r.t.Logf("%s: %s", time.Now().Format("15:04:05.000"), c.injectFault())
	}
	for _, undo := range c.undos {
		undo()
	}
	c.startInstance()
	r.waitFor("work finished", 20*time.Minute, func() bool {
		n := r.activeOwner()
		return n != nil && r.jobState(n, "bat") == sched.JobFinished && r.jobState(n, "gang") == sched.JobFinished
	})
	r.waitFor("services running", 5*time.Minute, func() bool { return r.countRunning() == 7 })
	r.checkInvariants()
}

// activeOwner returns an instance whose term has recovered, that is not paused and that reaches the
// platform, or nil.
func (r *rig) activeOwner() *instance {
	for name, n := range r.instances {
		if r.isOwner(name) && !r.net.isPartitioned(name, platformHost) && !r.net.isPaused(name) {
			return n
		}
	}
	return nil
}
