package cell_test

import (
	"time"

	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/relay"
)

func (o *owner) poll(id string, second bool) {
	o.handle(pollWork, func() { o.sendPoll(id, second) })
}

func (o *owner) sendPoll(id string, second bool) {
	sim := o.env
	if o.dead {
		return
	}
	if second && !o.core.NeedsSecondPoll(id) {
		delete(o.pollingTwice, id)
		return
	}
	e, poll, known := o.core.NextPoll(sim.now, id)
	if !known {
		delete(o.polling, id)
		return
	}
	w := relay.NewWatch(sim.now, poll, sim.losses.Persist(sim.now), o.told(e.ID))
	p := &lookup{owner: o, id: e.ID, second: second, sent: sim.now, poll: poll, watch: w}
	p.attempt()
	if sim.losses.Persist(sim.now) && poll.Wait > 0 {
		sim.schedule(min(poll.Wait, 400*time.Millisecond)/2, p.attempt)
	}
}

// told returns the runs of an executor that the owner was told.
func (o *owner) told(id string) *relay.Told {
	if o.toldRuns[id] == nil {
		o.toldRuns[id] = &relay.Told{}
	}
	return o.toldRuns[id]
}

// lookup is one poll of an owner, made by the instance next to the executor.
type lookup struct {
	owner  *owner
	id     string
	second bool
	sent   time.Time
	poll   fleet.Poll
	watch  *relay.Watch
	done   bool
}

// attempt sends the poll to the executor.
func (p *lookup) attempt() {
	sim := p.owner.env
	if p.done {
		return
	}
	poll, sent := p.watch.Next(sim.now), sim.now
	c := &call{owner: p.owner, id: p.id, incarnation: poll.Target(), epoch: poll.Epoch, timeout: poll.Timeout}
	c.fail = func(bool) {
		resp := fleet.Response{Status: fleet.NoResponse}
		if sim.execs[p.id].refuses {
			resp.Cause = "connection refused"
		}
		p.handle(sent, poll, resp, messageDelay)
	}
	// The lease and the acknowledgment are not sent to another incarnation.
	c.misdirected = func(x *fakeExecutor) { p.respond(sent, poll, x.incarnation) }
	c.execute = func(x *fakeExecutor) {
		connectedTo := x.incarnation
		if x.replaced || poll.Epoch < x.maxEpoch {
			p.respond(sent, poll, connectedTo)
			return
		}
		x.maxEpoch = poll.Epoch
		x.acknowledge(poll.AckedSequence, poll.Epoch)
		x.extendLease(sim, poll.LeaseEnd)
		responded := false
		respond := func() {
			if !responded {
				responded = true
				p.respond(sent, poll, connectedTo)
			}
		}
		if poll.Wait == 0 || len(x.ends) > 0 {
			respond()
			return
		}
		x.heldPolls = append(x.heldPolls, respond)
		sim.schedule(poll.Wait, respond)
	}
	c.send(messageDelay)
}

// respond sends the response of an incarnation of the executor to an attempt.
func (p *lookup) respond(sent time.Time, poll fleet.Poll, connectedTo int64) {
	o := p.owner
	sim := o.env
	x := sim.execs[p.id]
	resp := fleet.Response{Status: fleet.NoResponse}
	delay := messageDelay
	if x.replaced {
		resp = fleet.Response{Status: fleet.WrongExecutor}
	} else if x.refuses {
		resp.Cause = "connection refused"
	} else if !o.reaches(x) || sim.rng.Float64() < sim.lostPollShare {
		delay = max(poll.Timeout-sim.now.Sub(sent), 0)
	} else if x.incarnation != connectedTo {
		resp.Cause = "connection broken"
	} else if poll.Epoch < x.maxEpoch {
		resp = fleet.Response{Status: fleet.Fenced}
	} else {
		resp = x.listRuns(sim)
		delay += sim.pollDelay
	}
	p.handle(sent, poll, resp, delay)
}

// handle gives the response to an attempt to the watch after the given time.
func (p *lookup) handle(sent time.Time, poll fleet.Poll, resp fleet.Response, delay time.Duration) {
	sim := p.owner.env
	sim.schedule(delay, func() {
		if p.done {
			return
		}
		if resp.Status == fleet.Executed && sim.now.Sub(sent) > poll.Timeout {
			resp = fleet.Response{Status: fleet.NoResponse}
		}
		if sim.losses.Persist(sim.now) {
			p.watch.SetLossy()
		}
		result, done, pause := p.watch.Handle(sim.now, sent, resp)
		sim.losses.Record(sim.now, p.watch.Lost)
		p.watch.Lost = 0
		if !done {
			sim.schedule(pause, p.attempt)
			return
		}
		p.done = true
		p.owner.applyPoll(p, result)
	})
}

// applyPoll applies the result of a poll.
func (o *owner) applyPoll(p *lookup, resp fleet.Response) {
	sim := o.env
	kind := pollWork
	if len(resp.Ends) > 0 {
		kind = endWork
	}
	o.handle(kind, func() {
		if o.dead {
			return
		}
		if sim.now.Sub(p.sent) > p.poll.Timeout && resp.Status == fleet.Executed {
			// The owner has given up the poll; it applies the response when it gets to it.
			o.core.ApplyPollResponse(sim.now, p.sent, p.id, fleet.Response{Status: fleet.Undelivered})
		}
		o.core.ApplyPollResponse(sim.now, p.sent, p.id, resp)
		o.pollAgain(p.id, p.second)
		o.decide()
	})
}

// maxCommitWait is how long an executor whose ended runs are not stored yet is not polled.
const maxCommitWait = 100 * time.Millisecond

// pollAgain polls an executor again after the pause, and after its ended runs are stored.
func (o *owner) pollAgain(id string, second bool) {
	sim := o.env
	unstored := o.core.HasUnstoredEnds(id)
	sim.schedule(o.core.PollPause(id), func() {
		if !unstored {
			o.poll(id, second)
			return
		}
		polled := false
		again := func() {
			if !polled {
				polled = true
				o.poll(id, second)
			}
		}
		o.awaitCommit = append(o.awaitCommit, again)
		sim.schedule(maxCommitWait, again)
	})
}
