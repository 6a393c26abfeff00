package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/daisyrack/daisyrack/internal/sched"
	"github.com/daisyrack/daisyrack/pkg/config"
	"github.com/daisyrack/daisyrack/pkg/peer"
	"github.com/daisyrack/daisyrack/pkg/wire"
)

// submitTimeout limits the wait for the owner, which replies after a commit.
const submitTimeout = 5 * time.Second

// submit submits a job to the owner of its home failure domain.
func (inst *Instance) submit(ctx context.Context, j config.Job, author string) sched.Reply {
	if j.Kind == config.KindService {
		return sched.Reply{Outcome: sched.ReplyRefused, Reason: "a service is published as a document, not submitted"}
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	home := sched.HomeDomain(j, inst.Settings.FailureDomains)
	if home == inst.Settings.FailureDomain && inst.Owner.Epoch() > 0 {
		return inst.Owner.Submit(ctx, j, author)
	}
	text, err := json.Marshal(j)
	if err != nil {
		return sched.Reply{Outcome: sched.ReplyRefused, Reason: err.Error()}
	}
	req := &wire.Request{Body: &wire.Request_Submit{Submit: &wire.Submit{Job: text, Author: author}}}
	res, reply := inst.callOwner(ctx, home, req)
	if res == nil {
		return reply
	}
	if s := res.GetSubmit(); s != nil {
		return sched.Reply{Outcome: s.GetOutcome(), Reason: s.GetReason()}
	}
	return sched.Reply{Outcome: sched.ReplyUnknown, Reason: "the owner's answer was not understood"}
}

// callOwner calls the owner of a failure domain. If there is no usable response it returns nil and
// a Reply: refused if the call was certainly not executed, else unknown.
func (inst *Instance) callOwner(ctx context.Context, domain string, req *wire.Request) (*wire.Response, sched.Reply) {
	owner, ok := inst.membership.owner(time.Now(), domain)
	if !ok {
		return nil, sched.Reply{Outcome: sched.ReplyRefused, Reason: "no owner of failure domain " + domain + " is known"}
	}
	res, outcome, err := inst.PeerClient.Call(ctx, owner.Address, req)
	if outcome == peer.NotSent {
		return nil, sched.Reply{Outcome: sched.ReplyRefused, Reason: err.Error()}
	}
	if err != nil {
		return nil, sched.Reply{Outcome: sched.ReplyUnknown, Reason: err.Error()}
	}
	if f := res.GetFailure(); f != nil {
		return nil, failureReply(f)
	}
	return res, sched.Reply{}
}

func failureReply(f *wire.Failure) sched.Reply {
	if f.GetNotRun() {
		return sched.Reply{Outcome: sched.ReplyRefused, Reason: f.GetReason()}
	}
	return sched.Reply{Outcome: sched.ReplyUnknown, Reason: f.GetReason()}
}

// cancel cancels a job in the failure domain that has it.
func (inst *Instance) cancel(ctx context.Context, name, author string) sched.Reply {
	return inst.askAllOwners(func(domain string) sched.Reply {
		ctx, done := context.WithTimeout(ctx, submitTimeout)
		defer done()
		if domain == inst.Settings.FailureDomain && inst.Owner.Epoch() > 0 {
			return inst.Owner.Cancel(ctx, name, author)
		}
		req := &wire.Request{Body: &wire.Request_Cancel{Cancel: &wire.Cancel{Job: name, Author: author}}}
		res, reply := inst.callOwner(ctx, domain, req)
		if res == nil {
			return reply
		}
		return sched.Reply{Outcome: res.GetCancel().GetOutcome(), Reason: res.GetCancel().GetReason()}
	})
}

// describe returns the state of a job from the failure domain that has it.
func (inst *Instance) describe(ctx context.Context, name string) sched.Reply {
	return inst.askAllOwners(func(domain string) sched.Reply {
		ctx, done := context.WithTimeout(ctx, statusTimeout)
		defer done()
		if domain == inst.Settings.FailureDomain && inst.Owner.Epoch() > 0 {
			return inst.Owner.Describe(ctx, name)
		}
		req := &wire.Request{Body: &wire.Request_Status{Status: &wire.Status{Job: name}}}
		res, reply := inst.callOwner(ctx, domain, req)
		if res == nil {
			return reply
		}
		if err := json.Unmarshal(res.GetStatus().GetDocument(), &reply); err != nil {
			return sched.Reply{Outcome: sched.ReplyUnknown, Reason: err.Error()}
		}
		return reply
	})
}

// askAllOwners asks the owners of all failure domains in turn until one has the job. Otherwise a
// failure to reach an owner takes precedence over "not found".
func (inst *Instance) askAllOwners(ask func(domain string) sched.Reply) sched.Reply {
	reply := sched.Reply{Outcome: sched.ReplyNotFound, Reason: "no job has this name"}
	for _, domain := range inst.Settings.FailureDomains {
		switch r := ask(domain); r.Outcome {
		case sched.ReplyAccepted, sched.ReplyExists:
			return r
		case sched.ReplyNotFound:
		default:
			reply = r
		}
	}
	return reply
}
