package host

import (
	"context"
	"time"

	"github.com/daisyrack/daisyrack/pkg/wire"
)

// announceTimeout bounds one announcement; an instance that misses it reads the owner's row.
const announceTimeout = 500 * time.Millisecond

// announce tells the instances that followed the former owner who owns the cell now. Without it
// each of them waits for its turn as a candidate before it reads the row again.
func (h *Host) announce(ctx context.Context, epoch int64) {
	h.mu.Lock()
	others := h.others
	h.mu.Unlock()
	for _, address := range others {
		if address == h.Address {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, announceTimeout)
			defer cancel()
			_, _, err := h.client.Call(ctx, address, &wire.Request{Body: &wire.Request_Announce{Announce: &wire.Announce{
				Address: h.Address, Epoch: epoch,
			}}})
			if err != nil {
				h.Log.WithField("to", address).WithError(err).Debug("announcement not answered")
			}
		}()
	}
}

// answerAnnounce notes an owner of a higher epoch. The row in the store decides who owns the
// cell; a wrong announcement only costs a call.
func (h *Host) answerAnnounce(a *wire.Announce) *wire.FollowReply {
	h.mu.Lock()
	newer := a.GetEpoch() > h.epoch && a.GetAddress() != h.Address
	h.mu.Unlock()
	if newer && h.term.Load() == nil {
		h.setOwner(a.GetAddress(), a.GetEpoch())
	}
	return &wire.FollowReply{}
}
