package host

import (
	"context"
	"slices"
	"time"

	"github.com/daisyrack/daisyrack/pkg/wire"
)

const (
	// maxPeerProbes limits the candidates that are asked for the owner at a time.
	maxPeerProbes = 16

	// peerProbeTimeout is the timeout of a call that asks another instance for the owner.
	peerProbeTimeout = 300 * time.Millisecond
)

// findOwnerThroughPeers asks other instances for the owner while the store is unreachable. It asks all
// of them at the same time, since those that are cut off do not respond.
func (h *Host) findOwnerThroughPeers(ctx context.Context, former string) {
	h.mu.Lock()
	addresses := slices.Concat(h.candidates[:min(len(h.candidates), maxPeerProbes)], h.Seeds)
	h.mu.Unlock()
	slices.Sort(addresses)
	addresses = slices.DeleteFunc(slices.Compact(addresses), func(a string) bool { return a == h.Address || a == former })
	replies := make(chan peerReply, len(addresses))
	for _, a := range addresses {
		go func() {
			reply, _, err := h.callFollow(ctx, a, peerProbeTimeout, true)
			h.recordProbe(a, err == nil)
			replies <- peerReply{a, reply}
		}()
	}
	for range addresses {
		r := <-replies
		switch {
		case r.reply.GetEpoch() > 0:
			h.applyFollowReply(r.address, r.reply)
			return
		case r.reply.GetOwnerAddress() != "" && r.reply.GetOwnerAddress() != former:
			h.setOwner(r.reply.GetOwnerAddress(), 0)
			return
		}
	}
}

// peerReply is the reply of another instance to a probe; reply is nil if it did not respond.
type peerReply struct {
	address string
	reply   *wire.FollowReply
}

// recordProbe records whether another instance responded to a probe.
func (h *Host) recordProbe(address string, responded bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if responded {
		delete(h.unreachableSince, address)
	} else if h.unreachableSince[address].IsZero() {
		h.unreachableSince[address] = time.Now()
	}
}
