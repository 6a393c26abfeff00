package host

import (
	"time"

	"github.com/daisyrack/daisyrack/internal/cell"
	"github.com/daisyrack/daisyrack/pkg/wire"
)

// resigned returns the reply that tells a follower that the term of a driver has ended, and of the leases that its
// successor would wait for otherwise.
func resigned(d *cell.Driver) *wire.FollowReply {
	reply := &wire.FollowReply{Resigned: true}
	if !isClosed(d.Done()) {
		return reply
	}
	reply.EndedEpoch = d.Epoch()
	for id, expiry := range d.Leases() {
		reply.Leases = append(reply.Leases, &wire.Lease{Executor: id, ExpiresMs: expiry.Milliseconds() + 1})
	}
	return reply
}

// recordHandover keeps what an owner has told that resigned.
func (h *Host) recordHandover(reply *wire.FollowReply) {
	if reply.GetEndedEpoch() > 0 {
		h.handover = reply
	}
}

// handedOver returns when the leases have expired, by the store's clock, that the owner of an epoch has told of. If
// there was another owner since, what it has told is out of date.
func (h *Host) handedOver(epoch int64) map[string]time.Duration {
	if h.handover.GetEndedEpoch() != epoch {
		return nil
	}
	out := make(map[string]time.Duration)
	for _, l := range h.handover.GetLeases() {
		out[l.GetExecutor()] = time.Duration(l.GetExpiresMs()) * time.Millisecond
	}
	return out
}
