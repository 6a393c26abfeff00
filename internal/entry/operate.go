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

// submitLimit bounds the wait for the owner's answer, which follows a commit.
const submitLimit = 5 * time.Second

// submit hands a job to the owner of its home domain.
func (n *Instance) submit(ctx context.Context, j config.Job, author string) sched.Reply {
	if j.Kind == config.KindService {
		return sched.Reply{Outcome: sched.ReplyRefused, Reason: "a service is published as a document, not submitted"}
	}
	ctx, cancel := context.WithTimeout(ctx, submitLimit)
	defer cancel()
	home := sched.HomeDomain(j, n.Settings.FailureDomains)
	if home == n.Settings.FailureDomain && n.Owner.Epoch() > 0 {
		return n.Owner.Submit(ctx, j, author)
	}
	text, err := json.Marshal(j)
	if err != nil {
		return sched.Reply{Outcome: sched.ReplyRefused, Reason: err.Error()}
	}
	req := &wire.Request{Body: &wire.Request_Submit{Submit: &wire.Submit{Job: text, Author: author}}}
	res, reply := n.callOwner(ctx, home, req)
	if res == nil {
		return reply
	}
	if s := res.GetSubmit(); s != nil {
		return sched.Reply{Outcome: s.GetOutcome(), Reason: s.GetReason()}
	}
	return sched.Reply{Outcome: sched.ReplyUnknown, Reason: "the owner's answer was not understood"}
}

// callOwner calls the owner of a failure domain; without an answer it says
// whether the call may have been carried out.
func (n *Instance) callOwner(ctx context.Context, domain string, req *wire.Request) (*wire.Response, sched.Reply) {
	owner, ok := n.members.owner(time.Now(), domain)
	if !ok {
		return nil, sched.Reply{Outcome: sched.ReplyRefused, Reason: "no owner of failure domain " + domain + " is known"}
	}
	res, outcome, err := n.PeerClient.Call(ctx, owner.Address, req)
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

// cancel cancels a job in whichever failure domain has it.
func (n *Instance) cancel(ctx context.Context, name, author string) sched.Reply {
	return n.everywhere(func(domain string) sched.Reply {
		ctx, done := context.WithTimeout(ctx, submitLimit)
		defer done()
		if domain == n.Settings.FailureDomain && n.Owner.Epoch() > 0 {
			return n.Owner.Cancel(ctx, name, author)
		}
		req := &wire.Request{Body: &wire.Request_Cancel{Cancel: &wire.Cancel{Job: name, Author: author}}}
		res, reply := n.callOwner(ctx, domain, req)
		if res == nil {
			return reply
		}
		return sched.Reply{Outcome: res.GetCancel().GetOutcome(), Reason: res.GetCancel().GetReason()}
	})
}

// describe returns the state of a job in whichever failure domain has it.
func (n *Instance) describe(ctx context.Context, name string) sched.Reply {
	return n.everywhere(func(domain string) sched.Reply {
		ctx, done := context.WithTimeout(ctx, statusLimit)
		defer done()
		if domain == n.Settings.FailureDomain && n.Owner.Epoch() > 0 {
			return n.Owner.Describe(ctx, name)
		}
		req := &wire.Request{Body: &wire.Request_Status{Status: &wire.Status{Job: name}}}
		res, reply := n.callOwner(ctx, domain, req)
		if res == nil {
			return reply
		}
		if err := json.Unmarshal(res.GetStatus().GetDocument(), &reply); err != nil {
			return sched.Reply{Outcome: sched.ReplyUnknown, Reason: err.Error()}
		}
		return reply
	})
}

// everywhere asks the owners of all failure domains. An answer counts before a
// failure to reach an owner, and that before "not found".
func (n *Instance) everywhere(ask func(domain string) sched.Reply) sched.Reply {
	answer := sched.Reply{Outcome: sched.ReplyNotFound, Reason: "no job has this name"}
	for _, domain := range n.Settings.FailureDomains {
		switch r := ask(domain); r.Outcome {
		case sched.ReplyAccepted, sched.ReplyExists:
			return r
		case sched.ReplyNotFound:
		default:
			answer = r
		}
	}
	return answer
}
