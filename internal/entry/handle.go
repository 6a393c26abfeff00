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

// handle serves a call from another instance. It returns nil for an unknown call.
func (inst *Instance) handle(ctx context.Context, req *wire.Request) *wire.Response {
	switch body := req.GetBody().(type) {
	case *wire.Request_Heartbeat:
		return inst.handleHeartbeat(body.Heartbeat)
	case *wire.Request_FetchConfig:
		update := configUpdateToWire(inst.Config.UpdateSince(body.FetchConfig.GetAfterRevision()))
		return &wire.Response{Body: &wire.Response_Config{Config: update}}
	case *wire.Request_Submit:
		return inst.handleSubmit(ctx, body.Submit)
	case *wire.Request_Cancel:
		reply := inst.Owner.Cancel(ctx, body.Cancel.GetJob(), body.Cancel.GetAuthor())
		return cancelReply(reply)
	case *wire.Request_Status:
		return inst.handleStatus(ctx, body.Status)
	case *wire.Request_Events:
		page := &wire.EventsPage{Events: eventsToWire(inst.localEvents())}
		return &wire.Response{Body: &wire.Response_Events{Events: page}}
	default:
		return nil
	}
}

// handleHeartbeat records the sender and its mirrored events, and replies with grants of slots if
// this instance owns the failure domain of the sender.
func (inst *Instance) handleHeartbeat(h *wire.Heartbeat) *wire.Response {
	now := time.Now()
	sender := memberFromWire(h.GetSender())
	inst.Clock.Observe(h.GetHybridTime())
	inst.membership.recordHeartbeat(now, sender, 0)
	inst.EventMirror.Add(eventsFromWire(h.GetEvents()))
	reply := &wire.HeartbeatReply{Sender: memberToWire(inst.membership.self()), HybridTime: inst.Clock.Now()}
	if sender.FailureDomain == inst.Settings.FailureDomain && sender.State != member.StateGone {
		grants := inst.slotGranter.grant(now, sender.Name, demandsFromWire(h.GetDemands()))
		reply.Grants = grantsToWire(grants)
	}
	reply.Members = inst.membersFor(sender.Incarnation)
	return &wire.Response{Body: &wire.Response_Heartbeat{Heartbeat: reply}}
}

// introductionPeriod is the age up to which a new incarnation gets the list of members in the
// replies to its heartbeats. After that the platform's list is enough.
const introductionPeriod = 10 * time.Second

// membersFor returns all known members for a sender that started recently, else nil.
func (inst *Instance) membersFor(incarnation int64) []*wire.Member {
	if time.Since(time.UnixMicro(incarnation)) > introductionPeriod {
		return nil
	}
	var list []*wire.Member
	for _, s := range inst.membership.list(time.Now()) {
		list = append(list, memberToWire(s.Member))
	}
	return list
}

func (inst *Instance) handleSubmit(ctx context.Context, s *wire.Submit) *wire.Response {
	var j config.Job
	if err := json.Unmarshal(s.GetJob(), &j); err != nil {
		return peer.NotRunResponse("the job can not be decoded")
	}
	reply := inst.Owner.Submit(ctx, j, s.GetAuthor())
	return &wire.Response{Body: &wire.Response_Submit{Submit: &wire.SubmitReply{
		Outcome:       reply.Outcome,
		Reason:        reply.Reason,
		FailureDomain: inst.Settings.FailureDomain,
	}}}
}

func cancelReply(r sched.Reply) *wire.Response {
	return &wire.Response{Body: &wire.Response_Cancel{Cancel: &wire.CancelReply{Outcome: r.Outcome, Reason: r.Reason}}}
}

func (inst *Instance) handleStatus(ctx context.Context, s *wire.Status) *wire.Response {
	var document any = inst.localStatus()
	if s.GetJob() != "" {
		document = inst.Owner.Describe(ctx, s.GetJob())
	}
	text, err := json.Marshal(document)
	if err != nil {
		return peer.NotRunResponse(err.Error())
	}
	return &wire.Response{Body: &wire.Response_Status{Status: &wire.StatusReply{Document: text}}}
}

// fetchConfigUpdate fetches the configuration changes after a revision from a peer.
func (inst *Instance) fetchConfigUpdate(ctx context.Context, address string, after int64) (config.Update, error) {
	req := &wire.Request{Body: &wire.Request_FetchConfig{FetchConfig: &wire.FetchConfig{AfterRevision: after}}}
	res, _, err := inst.PeerClient.Call(ctx, address, req)
	if err != nil {
		return config.Update{}, err
	}
	if res.GetConfig() == nil {
		return config.Update{}, errors.Newf("entry: no configuration in the response of %s", address)
	}
	return configUpdateFromWire(res.GetConfig()), nil
}
