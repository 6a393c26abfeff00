package host

import (
	"context"

	"github.com/daisyrack/daisyrack/internal/relay"
	"github.com/daisyrack/daisyrack/pkg/peer"
	"github.com/daisyrack/daisyrack/pkg/wire"
)

// newSender returns the sender of calls to executors for one term of this instance as owner.
func (h *Host) newSender() *relay.Sender {
	s := &relay.Sender{
		Owner: h.Name, Log: h.Log, Weight: h.Weight, Executors: h.repeater.Caller(), Candidates: h.relayCandidates,
		Open: func(ctx context.Context, address string, open *wire.RelayOpen) (*peer.Stream, error) {
			return h.peerClient.Open(ctx, address, &wire.Request{Body: &wire.Request_RelayOpen{RelayOpen: open}})
		},
	}
	s.Init()
	return s
}

// relayCandidates returns the live followers as possible relays, those with the most capacity first.
func (h *Host) relayCandidates() []relay.Candidate {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []relay.Candidate
	for _, f := range h.liveFollowers().followers {
		out = append(out, relay.Candidate{Address: f.address, Domain: f.domain, Weight: f.weight, TellsIncarnations: f.tellsIncarnations})
	}
	return out
}
