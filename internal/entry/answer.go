package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/daisyrack/daisyrack/internal/sched"
	"github.com/daisyrack/daisyrack/pkg/config"
	"github.com/daisyrack/daisyrack/pkg/member"
	"github.com/daisyrack/daisyrack/pkg/peer"
	"github.com/daisyrack/daisyrack/pkg/wire"
)

// answer handles a call of another instance.
func (n *Instance) answer(ctx context.Context, req *wire.Request) *wire.Response {
	switch body := req.GetBody().(type) {
	case *wire.Request_Heartbeat:
		return n.answerHeartbeat(body.Heartbeat)
	case *wire.Request_FetchConfig:
		page := pageToWire(n.Config.UpdateSince(body.FetchConfig.GetAfterRevision()))
		return &wire.Response{Body: &wire.Response_Config{Config: page}}
	case *wire.Request_Submit:
		return n.answerSubmit(ctx, body.Submit)
	case *wire.Request_Cancel:
		reply := n.Owner.Cancel(ctx, body.Cancel.GetJob(), body.Cancel.GetAuthor())
		return cancelReply(reply)
	case *wire.Request_Status:
		return n.answerStatus(ctx, body.Status)
	case *wire.Request_Events:
		page := &wire.EventsPage{Events: eventsToWire(n.localEvents())}
		return &wire.Response{Body: &wire.Response_Events{Events: page}}
	default:
		return nil
	}
}

func (n *Instance) answerHeartbeat(h *wire.Heartbeat) *wire.Response {
	now := time.Now()
	sender := fromWire(h.GetSender())
	n.Clock.Observe(h.GetHybridTime())
	n.members.heard(now, sender, 0)
	n.EventMirror.Add(eventsFromWire(h.GetEvents()))
	reply := &wire.HeartbeatReply{Sender: toWire(n.members.self()), HybridTime: n.Clock.Now()}
	if sender.FailureDomain == n.Settings.FailureDomain && sender.State != member.StateGone {
		grants := n.lender.lend(now, sender.Name, demandsFromWire(h.GetDemands()))
		reply.Grants = grantsToWire(grants)
	}
	reply.Members = n.introduce(sender.Incarnation)
	return &wire.Response{Body: &wire.Response_Heartbeat{Heartbeat: reply}}
}

// introduced is the age of an incarnation in which it is told of the others;
// afterwards the platform's list is enough.
const introduced = 10 * time.Second

func (n *Instance) introduce(incarnation int64) []*wire.Member {
	if time.Since(time.UnixMicro(incarnation)) > introduced {
		return nil
	}
	var list []*wire.Member
	for _, s := range n.members.list(time.Now()) {
		list = append(list, toWire(s.Member))
	}
	return list
}

func (n *Instance) answerSubmit(ctx context.Context, s *wire.Submit) *wire.Response {
	var j config.Job
	if err := json.Unmarshal(s.GetJob(), &j); err != nil {
		return peer.Refusal("the job can not be decoded")
	}
	reply := n.Owner.Submit(ctx, j, s.GetAuthor())
	return &wire.Response{Body: &wire.Response_Submit{Submit: &wire.SubmitReply{
		Outcome:       reply.Outcome,
		Reason:        reply.Reason,
		FailureDomain: n.Settings.FailureDomain,
	}}}
}

func cancelReply(r sched.Reply) *wire.Response {
	return &wire.Response{Body: &wire.Response_Cancel{Cancel: &wire.CancelReply{Outcome: r.Outcome, Reason: r.Reason}}}
}

func (n *Instance) answerStatus(ctx context.Context, s *wire.Status) *wire.Response {
	var document any = n.localStatus()
	if s.GetJob() != "" {
		document = n.Owner.Describe(ctx, s.GetJob())
	}
	text, err := json.Marshal(document)
	if err != nil {
		return peer.Refusal(err.Error())
	}
	return &wire.Response{Body: &wire.Response_Status{Status: &wire.StatusReply{Document: text}}}
}

// fetchConfig gets the changes after a revision from a peer.
func (n *Instance) fetchConfig(ctx context.Context, address string, after int64) (config.Update, error) {
	req := &wire.Request{Body: &wire.Request_FetchConfig{FetchConfig: &wire.FetchConfig{AfterRevision: after}}}
	res, _, err := n.PeerClient.Call(ctx, address, req)
	if err != nil {
		return config.Update{}, err
	}
	if res.GetConfig() == nil {
		return config.Update{}, errors.Newf("entry: %s has no configuration", address)
	}
	return pageFromWire(res.GetConfig()), nil
}
