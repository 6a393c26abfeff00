package host

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sort"
	"time"

	"github.com/daisyrack/daisyrack/pkg/peer"
	"github.com/daisyrack/daisyrack/pkg/wire"
)

// A call to the store is sent through one more relay after each hedge delay without a response. The
// delay is longer for commits, because copies of a transaction queue behind each other in a slow
// store.
const (
	readHedgeDelay   = 80 * time.Millisecond
	commitHedgeDelay = 900 * time.Millisecond
)

// maxRelays is the maximum number of instances through which one call is sent.
const maxRelays = 4

// Relay makes a call to the store through followers. It adds followers one after another until the
// store has served the call. A refusal is returned only if all copies of the call were refused.
// Status 0 means that there was no response, and sent reports whether a copy may have reached the
// store without being refused.
func (h *Host) Relay(ctx context.Context, method, target string, body []byte) (status int, respBody []byte, sent bool) {
	return h.relayThrough(ctx, h.relayAddresses(), method, target, body)
}

// RelayRead makes a read from the store through other instances, like Relay, but from any instance.
func (h *Host) RelayRead(ctx context.Context, method, target string, body []byte) (status int, respBody []byte, sent bool) {
	return h.relayThrough(ctx, h.readRelayAddresses(), method, target, body)
}

func (h *Host) relayThrough(ctx context.Context, addresses []string, method, target string, body []byte) (status int, respBody []byte, sent bool) {
	if len(addresses) == 0 {
		return 0, nil, false
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		address string
		outcome peer.Outcome
		reply   *wire.StoreReply
	}
	results := make(chan result, len(addresses))
	started, inFlight := 0, 0
	hedgeDelay := readHedgeDelay
	if method != http.MethodGet {
		hedgeDelay = commitHedgeDelay
	}
	hedgeTimer := time.NewTimer(0)
	defer hedgeTimer.Stop()
	for {
		select {
		case <-hedgeTimer.C:
			if started == len(addresses) {
				continue
			}
			a := addresses[started]
			started++
			inFlight++
			hedgeTimer.Reset(hedgeDelay)
			go func() {
				res, outcome, _ := h.peerClient.Call(ctx, a, &wire.Request{Body: &wire.Request_StoreCall{StoreCall: &wire.StoreCall{
					Method: method, Target: target, Body: body,
				}}})
				results <- result{a, outcome, res.GetStoreReply()}
			}()
		case r := <-results:
			inFlight--
			refusal := r.reply.GetStatus() == http.StatusServiceUnavailable || r.reply.GetStatus() == http.StatusTooManyRequests
			sent = sent || r.outcome != peer.NotSent && !refusal
			if refusal {
				status = int(r.reply.GetStatus())
			}
			if r.reply.GetStatus() != 0 && !refusal {
				h.mu.Lock()
				h.preferredRelay = r.address
				h.mu.Unlock()
				return int(r.reply.GetStatus()), r.reply.GetBody(), true
			}
			if inFlight == 0 && started == len(addresses) {
				if sent {
					status = 0
				}
				return status, nil, sent
			}
			hedgeTimer.Reset(0)
		case <-ctx.Done():
			return 0, nil, true
		}
	}
}

// relayAddresses returns the followers to use as relays: first the one that last reached the store,
// then those in other failure domains, since all instances of a domain often lose the store together.
func (h *Host) relayAddresses() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.driver.Load() == nil {
		return nil
	}
	live := slices.Clone(h.liveFollowers().followers)
	sort.SliceStable(live, func(i, k int) bool {
		return h.relayPriority(live[i]) < h.relayPriority(live[k])
	})
	out := make([]string, 0, maxRelays)
	for _, f := range live[:min(len(live), maxRelays)] {
		out = append(out, f.address)
	}
	return out
}

// readRelayAddresses returns the instances through which this one may read: as the owner, its followers, otherwise the one
// that last reached the store, others at random, and the owner last, since it has the most work.
func (h *Host) readRelayAddresses() []string {
	if h.driver.Load() != nil {
		return h.relayAddresses()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	others := slices.Clone(h.candidates)
	if len(others) == 0 {
		others = slices.Clone(h.Seeds)
	}
	rand.Shuffle(len(others), func(i, k int) { others[i], others[k] = others[k], others[i] })
	others = slices.DeleteFunc(others, func(a string) bool { return a == h.Address || a == h.ownerAddress || !h.unreachableSince[a].IsZero() })
	if i := slices.Index(others, h.preferredRelay); i > 0 {
		others[0], others[i] = others[i], others[0]
	}
	out := others[:min(len(others), maxRelays-1)]
	if h.ownerAddress != "" && h.ownerAddress != h.Address {
		out = append(out, h.ownerAddress)
	}
	return out
}

func (h *Host) relayPriority(f *follower) int {
	switch {
	case f.address == h.preferredRelay:
		return 0
	case f.domain != h.Domain:
		return 1
	}
	return 2
}

func (h *Host) handleStoreCall(ctx context.Context, c *wire.StoreCall) *wire.StoreReply {
	status, body := h.StoreCall(ctx, c.GetMethod(), c.GetTarget(), c.GetBody())
	return &wire.StoreReply{Status: int64(status), Body: body}
}
