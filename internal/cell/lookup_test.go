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
	sim.schedule(messageDelay, func() {
		x := sim.execs[p.id]
		if !p.owner.reaches(x) || x.replaced || poll.Epoch < x.maxEpoch {
			p.respond(sent, poll)
			return
		}
		x.maxEpoch = poll.Epoch
		if target := poll.Target(); target != 0 && target != x.incarnation {
			p.respond(sent, poll) // the lease and the acknowledgment are not sent to another incarnation
			return
		}
		x.acknowledge(poll.AckedSequence, poll.Epoch)
		x.extendLease(sim, poll.LeaseEnd)
		responded := false
		respond := func() {
			if !responded {
				responded = true
				p.respond(sent, poll)
			}
		}
		if poll.Wait == 0 || len(x.ends) > 0 {
			respond()
			return
		}
		x.heldPolls = append(x.heldPolls, respond)
		sim.schedule(poll.Wait, respond)
	})
}

// respond sends the executor's response to an attempt.
func (p *lookup) respond(sent time.Time, poll fleet.Poll) {
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
	} else if poll.Epoch < x.maxEpoch {
		resp = fleet.Response{Status: fleet.Fenced}
	} else {
		resp = x.listRuns(sim)
		delay += sim.pollDelay
	}
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
		o.applyPoll(p, result)
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
