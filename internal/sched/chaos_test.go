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
	defaultSeeds = 24
	faultSteps   = 8
	maxStep      = 12 * time.Second
)

// seeds returns the number of seeds to run; DAISYRACK_SEEDS asks for more.
func seeds() int {
	if n, err := strconv.Atoi(os.Getenv("DAISYRACK_SEEDS")); err == nil {
		return n
	}
	return defaultSeeds
}

// chaos brings about faults at random times; every fault is healed at the end.
type chaos struct {
	rig    *rig
	random *rand.Rand
	heals  []func()
	next   int
}

func (c *chaos) node() string {
	names := []string{}
	for i := 1; i < c.next; i++ {
		names = append(names, fmt.Sprintf("e%d", i))
	}
	return names[c.random.IntN(len(names))]
}

func (c *chaos) worker() *work.Server {
	return c.rig.workers[c.random.IntN(len(c.rig.workers))]
}

func (c *chaos) start() {
	c.rig.start(fmt.Sprintf("e%d", c.next))
	c.next++
}

// step brings about one fault.
func (c *chaos) step() string {
	r := c.rig
	node, w := c.node(), c.worker()
	switch c.random.IntN(9) {
	case 0:
		r.net.setCut(node, w.Name, true)
		c.heals = append(c.heals, func() { r.net.setCut(node, w.Name, false) })
		return "cut " + node + " from " + w.Name
	case 1:
		r.net.setCut(node, platformHost, true)
		c.heals = append(c.heals, func() { r.net.setCut(node, platformHost, false) })
		return "cut " + node + " from the platform"
	case 2:
		if r.net.isPaused(node) {
			return "nothing"
		}
		r.net.pause(node)
		c.heals = append(c.heals, func() { r.net.resume(node) })
		return "pause " + node
	case 3:
		r.kill(node)
		c.start()
		return "kill " + node
	case 4:
		r.platform.SetFaults(plat.Faults{Down: true})
		c.heals = append(c.heals, func() { r.platform.SetFaults(plat.Faults{}) })
		return "store down"
	case 5:
		r.platform.SetFaults(plat.Faults{LoseAnswers: 0.5, SlowMs: 300, ListLagMs: 8000})
		c.heals = append(c.heals, func() { r.platform.SetFaults(plat.Faults{}) })
		return "store slow, loses answers, list lags"
	case 6:
		w.SetFaults(work.Faults{Crash: true})
		return "crash " + w.Name
	case 7:
		w.SetFaults(work.Faults{Frozen: true})
		c.heals = append(c.heals, func() { w.SetFaults(work.Faults{}) })
		return "freeze " + w.Name
	default:
		for _, heal := range c.heals {
			heal()
		}
		c.heals = nil
		return "heal all"
	}
}

// Guards against any mix of faults that makes a task run twice, overcommits a
// worker or loses accepted work.
func TestRandomFaults(t *testing.T) {
	for seed := range seeds() {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			inBubble(t, 4, func(r *rig) { r.runChaos(uint64(seed)) })
		})
	}
}

func (r *rig) runChaos(seed uint64) {
	c := &chaos{rig: r, random: rand.New(rand.NewPCG(seed, 1)), next: 1}
	c.start()
	c.start()
	c.start()
	r.until("an owner", 20*time.Second, func() bool { return r.owner() != nil })
	move := job(config.KindService, "mov", 3, 300, 0)
	move.OnCutOff = "move"
	r.publish(job(config.KindService, "svc", 4, 300, 0), move,
		job(config.KindBatch, "bat", 40, 700, 9), job(config.KindAllAtOnce, "gang", 4, 900, 7))
	for range faultSteps {
		time.Sleep(time.Duration(c.random.Int64N(int64(maxStep))))
		r.t.Logf("%s: %s", time.Now().Format("15:04:05.000"), c.step())
	}
	for _, heal := range c.heals {
		heal()
	}
	c.start()
	r.until("work finished", 20*time.Minute, func() bool {
		n := r.owner()
		return n != nil && r.state(n, "bat") == sched.JobFinished && r.state(n, "gang") == sched.JobFinished
	})
	r.until("services running", 5*time.Minute, func() bool { return r.running() == 7 })
	r.holds()
}

// owner returns the instance that owns the failure domain and has recovered, or nil.
func (r *rig) owner() *node {
	for name, n := range r.nodes {
		if r.ownerNamed(name) && !r.net.isCut(name, platformHost) && !r.net.isPaused(name) {
			return n
		}
	}
	return nil
}
