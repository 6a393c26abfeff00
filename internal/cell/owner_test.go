package cell_test

import (
	"fmt"
	"hash/fnv"
	"time"

	"github.com/apex/log"

	"github.com/daisyrack/daisyrack/internal/cell"
	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/ledger"
	"github.com/daisyrack/daisyrack/internal/relay"
)

type owner struct {
	core        *cell.Core
	env         *simulation
	unreachable map[string]bool // executors that this owner cannot reach
	dead        bool
	// stoppedUntil is when the process runs again that was stopped without being told.
	stoppedUntil     time.Time
	committing       bool
	adviceInFlight   int
	storeUnreachable bool
	// disruptedAt is when a partition of this owner last began or ended.
	disruptedAt  time.Time
	toldRuns     map[string]*relay.Told
	polling      map[string]bool
	pollingTwice map[string]bool
	// awaitCommit are the polls that wait for the next commit.
	awaitCommit []func()
	// waitsReadAt is when the waits for the processor were last read.
	waitsReadAt time.Time
	// loop is set if the owner's work takes processing time.
	loop *loop
}

// takeOver starts a new owner, which restores the stored rows and claims the executors.
func (sim *simulation) takeOver() *owner { return sim.takeOverKnowing(nil) }

// handOver ends the term of an owner as planned, and starts the next one, which knows what the former one tells it.
func (sim *simulation) handOver(o *owner) *owner {
	o.dead = true
	return sim.takeOverKnowing(o.core.Leases())
}

func (sim *simulation) takeOverKnowing(leases map[string]time.Time) *owner {
	sim.storeEpoch++
	logger := &log.Logger{Handler: log.HandlerFunc(sim.logEntry), Level: log.WarnLevel}
	if tracing() {
		logger.Level = log.DebugLevel
	}
	o := &owner{env: sim, unreachable: make(map[string]bool), polling: make(map[string]bool), toldRuns: make(map[string]*relay.Told), pollingTwice: make(map[string]bool)}
	o.core = &cell.Core{Epoch: sim.storeEpoch, Lease: lease, EntryValidity: entryValidity, TakeoverAt: sim.now, PriorLeases: leases, Log: logger, RemoteSlowdown: sim.ownerSlowdown}
	o.core.Init(sim.config, sim.now)
	o.core.Restore(sim.now, cell.Rows{
		Jobs: sim.scan(ledger.JobPrefix), Progress: sim.scan(ledger.ProgressPrefix),
		Places: sim.scan(ledger.PlacesPrefix), Ends: sim.scan(ledger.EndPrefix),
	})
	sim.owners = append(sim.owners, o)
	if sim.costs != nil {
		o.loop = &loop{owner: o, costs: *sim.costs}
		if sim.sharedProcessor {
			o.loop.processor = &processor{sim: sim}
		}
	}
	sim.schedule(messageDelay, func() {
		for _, x := range sim.sortedExecutors() {
			if !x.replaced {
				o.addExecutor(x)
			}
		}
	})
	sim.schedule(messageDelay, o.tick)
	return o
}

// inTouch reports whether the owner and the store have been without disruption for contactTime.
func (o *owner) inTouch() bool {
	sim := o.env
	calm := !sim.storeDown && !sim.storeRefuses && !o.storeUnreachable && len(o.unreachable) == 0
	return calm && sim.now.Sub(o.disruptedAt) > contactTime && sim.now.Sub(sim.storeDisruptedAt) > contactTime
}

// addExecutor reads the entry of an executor, as in a list of all, and polls it from then on.
func (o *owner) addExecutor(x *fakeExecutor) {
	o.setExecutor(x, x.writtenAt)
	if !o.polling[x.ID] {
		o.polling[x.ID] = true
		o.poll(x.ID, false)
	}
}

func (o *owner) setExecutor(x *fakeExecutor, written time.Time) {
	e := x.Executor
	e.Incarnation, e.EntryVersion = x.incarnation, x.entryVersion
	o.core.SetExecutor(o.env.now, written, e)
}

func (o *owner) tick() {
	if o.dead {
		return
	}
	o.handle(tickWork, func() {
		if o.loop != nil && o.loop.processor != nil && o.env.now.Sub(o.waitsReadAt) >= 100*time.Millisecond {
			o.waitsReadAt = o.env.now
			o.core.Pace.Waited(o.env.now, o.loop.processor.highWait())
		}
		o.core.Tick(o.env.now)
		o.decide()
		o.env.schedule(25*time.Millisecond, o.tick)
	})
}

// handle does work of the owner: at once, or when its loop gets to it.
func (o *owner) handle(kind workKind, f func()) {
	if wait := o.stoppedUntil.Sub(o.env.now); wait > 0 {
		o.env.schedule(wait, func() { o.handle(kind, f) })
		return
	}
	switch {
	case o.loop == nil:
		f()
	case o.loop.processor != nil && kind != tickWork && kind != commitWork:
		o.loop.processor.run(o.loop.callCost(kind), func() { o.loop.post(kind, f) })
	default:
		o.loop.post(kind, f)
	}
}

// decide applies the decisions of the core, unless the owner's loop does that by itself.
func (o *owner) decide() {
	if o.loop == nil {
		o.applyDecisions()
	}
}

// pollTwice makes the second polls that are needed.
func (o *owner) pollTwice() {
	for _, id := range o.core.TakeSecondPolls() {
		if !o.pollingTwice[id] && o.core.NeedsSecondPoll(id) {
			o.pollingTwice[id] = true
			o.poll(id, true)
		}
	}
}

func (o *owner) applyDecisions() {
	sim := o.env
	if o.dead || o.core.LostOwnership {
		o.dead = true
		return
	}
	o.core.Schedule(sim.now)
	o.requestAdvice()
	for _, cmd := range o.core.TakeCommands() {
		o.handle(sendWork, func() { o.sendCommand(cmd) })
	}
	o.commit()
	o.pollTwice()
}

// requestAdvice simulates the policy service, which decides by a hash of step and executor.
func (o *owner) requestAdvice() {
	sim := o.env
	for sim.allowedShare > 0 && o.adviceInFlight < sim.advisers {
		req := o.core.NextAdviceRequest(sim.now, o.adviceInFlight > sim.advisers*3/4)
		if req == nil {
			return
		}
		o.adviceInFlight++
		a := sim.advice[sim.specs[req.Step.Job].Queue]
		if a == nil {
			a = sim.config.Queue(sim.specs[req.Step.Job].Queue).Advice
		}
		deadline := sim.now.Add(o.core.AdviceTimeout(req))
		sim.schedule(a.BaseLatency+a.LatencyPerExecutor*time.Duration(len(req.Executors))+sim.adviceDelay, func() {
			o.adviceInFlight--
			var tickets []fleet.Ticket
			for _, id := range req.Executors {
				if sim.allows(req.Step, id) {
					tickets = append(tickets, fleet.Ticket{Executor: id, Value: "t"})
				}
			}
			tickets = append(tickets, sim.unaskedTickets...)
			ok := !sim.adviceFails
			if !ok {
				tickets = nil
			}
			o.handle(adviceWork, func() {
				if !o.dead {
					inTime := !sim.now.After(deadline)
					if !inTime {
						sim.adviceTimeouts++
					}
					o.core.ApplyAdvice(sim.now, req, tickets, a.TicketTTL, ok && inTime)
					o.decide()
				}
			})
		})
	}
}

// allows reports whether the policy service allows a step on an executor.
func (sim *simulation) allows(step fleet.StepID, id string) bool {
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, step, machineOf(id))
	share, ok := sim.allowedShares[sim.specs[step.Job].Queue]
	if !ok {
		share = sim.allowedShare
	}
	return sim.allowedShare == 0 || float64(h.Sum32()%1000) < share*1000
}

func (o *owner) commit() {
	sim := o.env
	due := o.core.CommitDue(sim.now)
	if o.committing {
		return
	}
	renew := sim.now.Sub(time.Unix(0, 0))%(400*time.Millisecond) < 30*time.Millisecond
	if o.loop != nil {
		renew = o.loop.renewalDue()
	}
	if !due && !renew {
		return
	}
	b, err := o.core.NextBatch()
	if err != nil {
		sim.t.Fatal(err)
	}
	o.committing = true
	sent := sim.now
	var attempt func()
	attempt = func() {
		if o.dead {
			return
		}
		if sim.storeRefuses {
			sim.schedule(messageDelay, func() {
				o.committing = false
				o.core.BatchRefused(sim.now, b)
			})
			return
		}
		if sim.storeDown || o.storeUnreachable {
			sim.schedule(100*time.Millisecond, func() { sent = sim.now; attempt() })
			return
		}
		if o.core.Epoch != sim.storeEpoch {
			o.core.LostOwnership = true
			o.dead = true
			return
		}
		if sim.refusesContent(b) {
			sim.schedule(messageDelay, func() {
				o.handle(commitWork, func() {
					o.committing = false
					o.core.ConfirmOwnership(sent)
					o.core.BatchInvalid(sim.now, b)
					o.decide()
				})
			})
			return
		}
		for _, put := range b.Puts {
			sim.rows[put.Key] = put.Value
			if sim.keepPuts {
				sim.puts = append(sim.puts, put)
			}
		}
		for _, key := range b.Deletes {
			delete(sim.rows, key)
		}
		sim.schedule(messageDelay, func() {
			for _, id := range b.EndedJobs() {
				sim.endedAt[id] = sim.now
			}
			o.runCommitHops(b, func() {
				o.handle(commitWork, func() {
					o.committing = false
					o.core.ConfirmOwnership(sent)
					o.core.BatchCommitted(sim.now, b)
					waiting := o.awaitCommit
					o.awaitCommit = nil
					for _, again := range waiting {
						again()
					}
					o.decide()
				})
			})
		})
	}
	o.runCommitHops(b, func() { sim.schedule(8*time.Millisecond+sim.storeDelay, attempt) })
}

const (
	// commitHops is the number of goroutines of the owner that a commit passes one after the other on its way to
	// the store, and its response on its way back. It is twice as many through another instance.
	commitHops = 3

	// commitKilobyteCost is what the encoding and sending of a kilobyte takes on a whole core.
	commitKilobyteCost = 5 * time.Microsecond
)

// runCommitHops does f after the goroutines of one way of a commit have run.
func (o *owner) runCommitHops(b *cell.Batch, f func()) {
	if o.loop == nil || o.loop.processor == nil {
		f()
		return
	}
	hops := commitHops
	if o.env.storeRelayed {
		hops *= 2
	}
	bytes := 0
	for _, put := range b.Puts {
		bytes += len(put.Value)
	}
	cost := o.loop.callCost(commitWork) + time.Duration(bytes>>10)*scaledCost(commitKilobyteCost, o.loop.costs.factor)
	o.loop.processor.runHops(hops, cost/time.Duration(2*commitHops), f)
}

func (o *owner) reaches(x *fakeExecutor) bool {
	return x != nil && !x.partitioned && !x.down && !o.unreachable[x.ID]
}

func (o *owner) sendCommand(cmd cell.Command) {
	sim := o.env
	if o.core.DiscardUnwanted(sim.now, cmd) {
		return
	}
	sim.sentCommands = append(sim.sentCommands, cmd)
	delay := messageDelay + time.Duration(sim.rng.IntN(3))*time.Millisecond
	var late time.Duration
	if sim.rng.Float64() < sim.lateCommandShare {
		late = 2*time.Second + time.Duration(sim.rng.IntN(6000))*time.Millisecond
	}
	sent := sim.now
	reply := func(resp fleet.Response) {
		o.handle(commandWork, func() {
			if o.dead {
				return
			}
			if (o.loop != nil || sent.Before(o.stoppedUntil)) && sim.now.Sub(sent) > o.core.CommandTimeout(sim.now, cmd.Attempt) {
				resp = fleet.Response{Status: fleet.NoResponse}
			}
			o.core.ApplyCommandResponse(sim.now, cmd, resp)
			o.decide()
		})
	}
	c := &call{owner: o, id: cmd.Executor.ID, epoch: o.core.Epoch, timeout: o.core.CommandTimeout(sim.now, cmd.Attempt)}
	noResponse := func() {
		sim.schedule(max(c.timeout-sim.now.Sub(sent), 0), func() { reply(fleet.Response{Status: fleet.NoResponse}) })
	}
	if cmd.Start != nil {
		c.incarnation = cmd.Start.Target()
	}
	c.fail = func(connected bool) {
		if cmd.Start != nil && !connected && !sim.unbound {
			reply(fleet.Response{Status: fleet.NotSent})
			return
		}
		reply(fleet.Response{Status: fleet.NoResponse})
	}
	c.misdirected = func(x *fakeExecutor) {
		status := fleet.Restarted
		if c.epoch < x.maxEpoch {
			status = fleet.Fenced
		}
		sim.schedule(messageDelay, func() { reply(fleet.Response{Status: status}) })
	}
	c.execute = func(x *fakeExecutor) {
		switch {
		case sim.rejections > 0 && cmd.Start != nil && !x.replaced:
			sim.rejections--
			reply(fleet.Response{Status: sim.rejection})
			x.crash(sim)
			return
		case x.replaced:
			if cmd.Start != nil {
				sim.misdirectedStarts[x.ID]++
			}
			reply(fleet.Response{Status: fleet.WrongExecutor})
			return
		case late > 0:
			receivedBy := x.incarnation
			sim.schedule(late, func() {
				if (x.incarnation == receivedBy || sim.lateOutlivesProcess) && !x.down {
					x.execute(sim, cmd)
				}
			})
			noResponse()
			return
		case x.rejectsRetries && cmd.Start != nil && cmd.Attempt > 0:
			reply(fleet.Response{Status: fleet.Unavailable})
			return
		}
		resp := x.execute(sim, cmd)
		if sim.crashesBeforeResponse && cmd.Start != nil && sim.deadly[cmd.Start.Task] {
			x.crash(sim)
			sim.schedule(messageDelay, func() { reply(fleet.Response{Status: fleet.NoResponse}) })
			return
		}
		if sim.lostCommandShare > 0 && sim.rng.Float64() < sim.lostCommandShare || x.rejectsRetries && cmd.Start != nil {
			noResponse()
			return
		}
		sim.schedule(messageDelay, func() { reply(resp) })
	}
	c.send(delay)
}
