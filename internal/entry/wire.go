package entry

import (
	"fmt"
	"time"

	"github.com/daisyrack/daisyrack/internal/front"
	"github.com/daisyrack/daisyrack/internal/sched"
	"github.com/daisyrack/daisyrack/pkg/config"
	"github.com/daisyrack/daisyrack/pkg/event"
	"github.com/daisyrack/daisyrack/pkg/lease"
	"github.com/daisyrack/daisyrack/pkg/member"
	"github.com/daisyrack/daisyrack/pkg/route"
	"github.com/daisyrack/daisyrack/pkg/wire"
)

func memberToWire(m member.Member) *wire.Member {
	return &wire.Member{
		Name:           m.Name,
		Address:        m.Address,
		HttpAddress:    m.HTTPAddress,
		FailureDomain:  m.FailureDomain,
		Incarnation:    m.Incarnation,
		State:          m.State,
		ConfigRevision: m.ConfigRevision,
		OwnedEpoch:     m.OwnedEpoch,
	}
}

func memberFromWire(m *wire.Member) member.Member {
	return member.Member{
		Name:           m.GetName(),
		Address:        m.GetAddress(),
		HTTPAddress:    m.GetHttpAddress(),
		FailureDomain:  m.GetFailureDomain(),
		Incarnation:    m.GetIncarnation(),
		State:          m.GetState(),
		ConfigRevision: m.GetConfigRevision(),
		OwnedEpoch:     m.GetOwnedEpoch(),
	}
}

func demandsToWire(list []route.Demand) []*wire.SlotDemand {
	var out []*wire.SlotDemand
	for _, d := range list {
		out = append(out, &wire.SlotDemand{Backend: d.Backend, Wanted: int32(d.Wanted)})
	}
	return out
}

func demandsFromWire(list []*wire.SlotDemand) []route.Demand {
	var out []route.Demand
	for _, d := range list {
		out = append(out, route.Demand{Backend: d.GetBackend(), Wanted: int(d.GetWanted())})
	}
	return out
}

func grantsToWire(list []route.Grant) []*wire.SlotGrant {
	var out []*wire.SlotGrant
	for _, g := range list {
		out = append(out, &wire.SlotGrant{Backend: g.Backend, Slots: int32(g.Slots), LeaseMs: g.TTL.Milliseconds()})
	}
	return out
}

func grantsFromWire(list []*wire.SlotGrant) []route.Grant {
	var out []route.Grant
	for _, g := range list {
		ttl := time.Duration(g.GetLeaseMs()) * time.Millisecond
		out = append(out, route.Grant{Backend: g.GetBackend(), Slots: int(g.GetSlots()), TTL: ttl})
	}
	return out
}

func eventsToWire(list []event.Event) []*wire.Event {
	var out []*wire.Event
	for _, e := range list {
		out = append(out, &wire.Event{
			HybridTime: e.Time,
			Instance:   e.Instance,
			Sequence:   e.Sequence,
			Kind:       e.Kind,
			Request:    e.Request,
			Job:        e.Job,
			Task:       e.Task,
			Worker:     e.Worker,
			Backend:    e.Backend,
			Detail:     e.Detail,
			DurationUs: e.DurationUS,
		})
	}
	return out
}

func eventsFromWire(list []*wire.Event) []event.Event {
	var out []event.Event
	for _, e := range list {
		out = append(out, event.Event{
			Time:       e.GetHybridTime(),
			Instance:   e.GetInstance(),
			Sequence:   e.GetSequence(),
			Kind:       e.GetKind(),
			Request:    e.GetRequest(),
			Job:        e.GetJob(),
			Task:       e.GetTask(),
			Worker:     e.GetWorker(),
			Backend:    e.GetBackend(),
			Detail:     e.GetDetail(),
			DurationUS: e.GetDurationUs(),
		})
	}
	return out
}

func configUpdateToWire(u config.Update) *wire.ConfigPage {
	out := &wire.ConfigPage{Revision: u.Revision, Whole: u.Full}
	for _, c := range u.Changes {
		out.Changes = append(out.Changes, &wire.ConfigChange{
			Revision: c.Revision,
			Kind:     c.Kind,
			Name:     c.Name,
			Version:  c.Version,
			Document: c.Body,
			Deleted:  c.Deleted,
		})
	}
	return out
}

func configUpdateFromWire(p *wire.ConfigPage) config.Update {
	out := config.Update{Revision: p.GetRevision(), Full: p.GetWhole()}
	for _, c := range p.GetChanges() {
		doc := config.Document{Kind: c.GetKind(), Name: c.GetName(), Body: c.GetDocument()}
		out.Changes = append(out.Changes, config.Change{
			VersionedDocument: config.VersionedDocument{Document: doc, Version: c.GetVersion()},
			Revision:          c.GetRevision(),
			Deleted:           c.GetDeleted(),
		})
	}
	return out
}

func revisionText(revision int64) string {
	return fmt.Sprintf("revision %d", revision)
}

func leaseText(l lease.Lease) string {
	return fmt.Sprintf("%s epoch %d", l.FailureDomain, l.Epoch)
}

func requestLimits(s *config.Snapshot) front.Limits {
	l := s.Limits[config.LimitsRequests].WithDefaults()
	return front.Limits{Queue: sched.QueueLimits(l, 0), HeadroomPercent: l.Headroom()}
}
