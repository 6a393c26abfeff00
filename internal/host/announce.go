package host

import (
	"context"
	"time"

	"github.com/daisyrack/daisyrack/pkg/wire"
)

// announceTimeout is the timeout of one announcement. An instance that misses the announcement
// reads the owner's row instead.
const announceTimeout = 500 * time.Millisecond

// announce notifies the instances that followed the former owner that this instance owns the cell.
// Without the announcement each of them would wait out its takeover delay as a candidate before it
// reads the owner's row again.
func (h *Host) announce(ctx context.Context, epoch int64) {
	h.mu.Lock()
	others := h.candidates
	h.mu.Unlock()
	for _, address := range others {
		if address == h.Address {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, announceTimeout)
			defer cancel()
			_, _, err := h.peerClient.Call(ctx, address, &wire.Request{Body: &wire.Request_Announce{Announce: &wire.Announce{
				Address: h.Address, Epoch: epoch,
			}}})
			if err != nil {
				h.Log.WithField("to", address).WithError(err).Debug("announcement of the new owner got no response")
			}
		}()
	}
}

// handleAnnounce records the announced owner if its epoch is higher. The owner's row in the store
// decides who owns the cell, so a wrong announcement costs no more than a call.
func (h *Host) handleAnnounce(a *wire.Announce) *wire.FollowReply {
	h.mu.Lock()
	newer := a.GetEpoch() > h.ownerEpoch && a.GetAddress() != h.Address
	h.mu.Unlock()
	if newer && h.driver.Load() == nil {
		h.setOwner(a.GetAddress(), a.GetEpoch())
	}
	return &wire.FollowReply{}
}
