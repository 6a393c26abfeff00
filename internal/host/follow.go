package host

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/daisyrack/daisyrack/internal/ledger"
	"github.com/daisyrack/daisyrack/pkg/peer"
	"github.com/daisyrack/daisyrack/pkg/wire"
)

const (
	// followPause is the pause after a follow call that brought nothing.
	followPause = 50 * time.Millisecond

	// storePause is the pause between reads of the owner's row by one candidate.
	storePause = 80 * time.Millisecond

	// handicapRanks is the stagger of the smallest instance.
	handicapRanks = 12

	// yieldInterval is the time between two comparisons of the owner with its followers.
	yieldInterval = time.Second

	// yieldFactor is how much larger a follower must be for a change of the owner to pay.
	yieldFactor = 1.5

	// yieldMemory is how long an instance that gave the cell away does not take it back.
	yieldMemory = 2 * time.Second

	// contendLimit is how long an instance reads the row before it calls the former owner again.
	contendLimit = 600 * time.Millisecond

	// rowTimeout bounds a read of the owner's row, also from a slow store.
	rowTimeout = 1200 * time.Millisecond

	// holderTimeout bounds the question whether the holder of an old row still owns the cell; an
	// answer takes some milliseconds.
	holderTimeout = 80 * time.Millisecond

	// askTimeout bounds a question for the owner to a seed.
	askTimeout = 300 * time.Millisecond
)

// Run follows the owner of the cell, and owns it when the owner is gone, until ctx ends.
func (h *Host) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		owner, _, _ := h.known()
		gone := false
		if owner != "" && owner != h.Address {
			gone = h.follow(ctx, owner)
		}
		// The former owner is called again only when its row is renewed or nothing else is
		// known for a while: calls to an instance that is gone take as long as their time-out.
		for begun := time.Now(); ctx.Err() == nil && !h.replaced(owner); {
			if h.contend(ctx, owner, gone) || time.Since(begun) > contendLimit {
				break
			}
		}
	}
	return nil
}

// follow calls the owner again and again until it is silent or says that it is not the owner.
// It reports whether the owner is gone for sure.
func (h *Host) follow(ctx context.Context, owner string) (gone bool) {
	ctx, cancel := h.whileOwner(ctx, owner)
	defer cancel()
	last := time.Now()
	for ctx.Err() == nil {
		reply, outcome, err := h.callFollow(ctx, owner, ownerSilence, false)
		switch {
		case ctx.Err() != nil:
			return false
		case err == nil && reply.GetEpoch() > 0 && !reply.GetResigned():
			last = time.Now()
			h.noteFollow(owner, reply)
			continue
		case err == nil && reply.GetOwnerAddress() != "" && reply.GetOwnerAddress() != owner && !reply.GetResigned():
			h.setOwner(reply.GetOwnerAddress(), 0)
			return false
		case err == nil:
			if h.tellOnce(owner + " resigned") {
				h.Log.WithField("owner", owner).WithField("resigned", reply.GetResigned()).Info("owner no longer owns the cell")
			}
			return true
		case refused(err):
			if h.tellOnce(owner + " gone") {
				h.Log.WithField("owner", owner).WithError(err).Info("owner's process is gone")
			}
			return true
		}
		if ctx.Err() == nil && time.Since(last) >= ownerSilence {
			h.Log.WithField("owner", owner).WithField("silent_ms", time.Since(last).Milliseconds()).
				WithField("sent", outcome != peer.NotSent).WithError(err).Warn("owner does not answer")
			h.client.Forget(owner)
			h.follows.Forget(owner)
			return false
		}
		pause(ctx, followPause)
	}
	return false
}

// replaced reports whether another instance than the former owner and this one is known to own the cell.
func (h *Host) replaced(former string) bool {
	owner, _, _ := h.known()
	return owner != "" && owner != former && owner != h.Address
}

// whileOwner returns a context that ends when another owner is known.
func (h *Host) whileOwner(ctx context.Context, owner string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel()
		for {
			known, _, changed := h.known()
			if known != owner {
				return
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
		}
	}()
	return ctx, cancel
}

// waitTurn pauses until it is this candidate's turn; false means that another instance took the
// cell over in the meantime.
func (h *Host) waitTurn(ctx context.Context, d time.Duration, former string) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	for {
		_, _, changed := h.known()
		if h.replaced(former) {
			return false
		}
		select {
		case <-changed:
		case <-t.C:
			return true
		case <-ctx.Done():
			return false
		}
	}
}

// holderAnswers reports whether the instance that the row names, and that was not called yet,
// still owns the cell. After an outage of the store the row is old although its holder lives.
func (h *Host) holderAnswers(ctx context.Context, row *ledger.OwnerRow, former string) bool {
	holder := row.Record.GetAddress()
	if holder == "" || holder == former || holder == h.Address {
		return false
	}
	reply, _, err := h.callFollow(ctx, holder, holderTimeout, true)
	if err != nil || reply.GetEpoch() == 0 || reply.GetResigned() {
		return false
	}
	h.Log.WithField("owner", holder).WithField("row_age_ms", row.Age().Milliseconds()).
		Info("owner's row is old but its holder answers")
	h.noteFollow(holder, reply)
	return true
}

// tellOnce reports whether the same was not told just before; only Run calls it.
func (h *Host) tellOnce(what string) bool {
	if h.told == what {
		return false
	}
	h.told = what
	return true
}

func (h *Host) callFollow(ctx context.Context, owner string, timeout time.Duration, atOnce bool) (*wire.FollowReply, peer.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	version := int64(0)
	if p := h.Config(); p != nil {
		version = p.Version
	}
	h.mu.Lock()
	leaving := h.leaving
	h.mu.Unlock()
	res, outcome, err := h.follows.Call(ctx, owner, &wire.Request{Body: &wire.Request_Follow{Follow: &wire.Follow{
		Name: h.Name, Address: h.Address, FailureDomain: h.Domain, ConfigVersion: version,
		Weight: h.Weight, Leaving: leaving, AtOnce: atOnce,
	}}})
	if err != nil {
		return nil, outcome, err
	}
	if res.GetFollow() == nil {
		return nil, outcome, errors.Newf("host: %s answered the follow call with a failure: %s", owner, res.GetFailure().GetReason())
	}
	return res.GetFollow(), outcome, nil
}

func (h *Host) noteFollow(owner string, r *wire.FollowReply) {
	h.told = ""
	h.setOwner(owner, r.GetEpoch())
	if !r.GetStoreAway() {
		h.hear()
	}
	h.mu.Lock()
	h.answered = time.Now()
	h.others = r.GetFollowers()
	h.counts = make(map[string]int64, len(r.GetCounts()))
	for _, n := range r.GetCounts() {
		h.counts[n.GetQueue()] = n.GetWaiting()
	}
	h.mu.Unlock()
	if len(r.GetConfig()) == 0 {
		return
	}
	p, err := h.DecodeConfig(r.GetConfig())
	if err != nil {
		h.Log.WithError(err).WithField("owner", owner).Error("configuration of the owner can not be used")
		return
	}
	h.apply(p, "owner")
}

// contend reads the owner's row and takes the cell over if nobody renews it. It reports whether
// there is an owner to follow.
func (h *Host) contend(ctx context.Context, former string, gone bool) bool {
	begun := time.Now()
	row, err := h.readOwner(ctx)
	// An owner that is gone says nothing of this instance's links.
	h.setIsolated(err != nil && former != "" && !gone)
	stagger := max(rankStagger, staggerReads*time.Since(begun))
	if err != nil {
		h.Log.WithError(err).Debug("owner's row not read")
		h.askOthers(ctx, former)
		if owner, _, _ := h.known(); owner != "" && owner != former {
			return true
		}
		pause(ctx, storePause)
		return false
	}
	if h.mayTake(row, former, gone) && !h.isLeaving() && !h.isYielding() && h.Config() != nil {
		if h.holderAnswers(ctx, row, former) {
			return true
		}
		if !h.waitTurn(ctx, time.Duration(h.rank(former))*stagger+h.handicap(stagger), former) {
			return true
		}
		again, err := h.readOwner(ctx)
		if err == nil && again.Version == row.Version {
			h.own(ctx, again)
			return true
		}
		if err == nil {
			row = again
		}
	}
	if a := row.Record.GetAddress(); a != "" && a != h.Address && (a != former || row.Age() <= ledger.StaleAfter) {
		h.setOwner(a, row.Record.GetEpoch())
		if a != former {
			return true
		}
	}
	pause(ctx, storePause)
	return false
}

func (h *Host) readOwner(ctx context.Context) (*ledger.OwnerRow, error) {
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	return h.Ledger.ReadOwner(ctx)
}

// mayTake reports whether the row allows this instance to take the cell over.
func (h *Host) mayTake(row *ledger.OwnerRow, former string, gone bool) bool {
	r := row.Record
	switch {
	case row.Version == 0, row.Vacant(), row.Age() > ledger.StaleAfter:
		return true
	case r.GetAddress() == h.Address && r.GetNonce() != h.Nonce:
		return true // a former life of this process owned the cell
	case r.GetAddress() == h.Address:
		return true
	}
	return gone && r.GetAddress() == former
}

// handicap is how long an instance too small for the owner's duty waits for larger ones.
func (h *Host) handicap(stagger time.Duration) time.Duration {
	if h.Weight >= h.SufficientWeight {
		return 0
	}
	return time.Duration(handicapRanks * float64(stagger) * float64(h.SufficientWeight-h.Weight) / float64(h.SufficientWeight))
}

// yield gives the cell to a follower that is much larger than this instance.
func (h *Host) yield(ctx context.Context, cancel context.CancelFunc) {
	for ctx.Err() == nil {
		pause(ctx, yieldInterval)
		h.mu.Lock()
		live := h.live()
		small := len(live) > 0 && float64(live[0].weight) > yieldFactor*float64(h.Weight) && h.Weight < h.SufficientWeight
		if small {
			h.yielded = time.Now()
		}
		h.mu.Unlock()
		if small && ctx.Err() == nil {
			h.Log.WithField("weight", h.Weight).WithField("to", live[0].name).WithField("its_weight", live[0].weight).
				Info("cell is given to a larger instance")
			cancel()
			return
		}
	}
}

// isYielding reports whether this instance has just given the cell to a larger one.
func (h *Host) isYielding() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.yielded) < yieldMemory
}

// rank is the position of this instance among the candidates.
func (h *Host) rank(former string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	rank := 0
	for _, a := range h.others {
		if a == h.Address {
			return rank
		}
		if a != former {
			rank++
		}
	}
	return rank
}

func (h *Host) isLeaving() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leaving
}

// askOthers asks other instances for the owner while the store is out of reach.
func (h *Host) askOthers(ctx context.Context, former string) {
	h.mu.Lock()
	candidates := slices.Concat(h.others, h.Seeds)
	h.mu.Unlock()
	for _, a := range candidates {
		if a == h.Address || a == former {
			continue
		}
		reply, _, err := h.callFollow(ctx, a, askTimeout, true)
		if err != nil {
			continue
		}
		switch {
		case reply.GetEpoch() > 0:
			h.noteFollow(a, reply)
			return
		case reply.GetOwnerAddress() != "" && reply.GetOwnerAddress() != former:
			h.setOwner(reply.GetOwnerAddress(), 0)
			return
		}
	}
}

// own takes the cell over and serves it until another instance owns it.
func (h *Host) own(ctx context.Context, from *ledger.OwnerRow) {
	h.mu.Lock()
	h.followers = make(map[string]*follower)
	left := h.left
	h.mu.Unlock()
	d := h.NewDriver()
	d.Policy = h.Config
	d.Advisers = h.advisers
	d.RequestAdvice = h.ask
	d.Init()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-left:
			cancel()
		case <-ctx.Done():
		}
	}()
	h.Log.WithField("former", from.Record.GetHolder()).WithField("former_epoch", from.Record.GetEpoch()).
		WithField("row_age_ms", from.Age().Milliseconds()).Info("cell is taken over")
	h.term.Store(d)
	h.setOwner(h.Address, from.Record.GetEpoch()+1)
	h.hear()
	d.OnTakeover = func(epoch int64) { h.announce(ctx, epoch) }
	go h.hearSelf(ctx)
	go h.yield(ctx, cancel)
	err := d.Run(ctx, from)
	alone := len(h.relays()) == 0
	h.term.Store(nil)
	h.Log.WithError(err).Info("term as owner has ended")
	if h.isLeaving() && alone {
		h.resign()
	}
	h.setOwner("", 0)
}

// hearSelf keeps the owner ready for callers.
func (h *Host) hearSelf(ctx context.Context) {
	for ctx.Err() == nil {
		if d := h.term.Load(); d != nil && d.StoreReachable() {
			h.hear()
		}
		pause(ctx, followHold)
	}
}

// resign vacates the row for instances that do not follow this one; followers are told.
func (h *Host) resign() {
	ctx, cancel := context.WithTimeout(context.Background(), ledger.StaleAfter)
	defer cancel()
	if err := h.Ledger.Resign(ctx); err != nil {
		h.Log.WithError(err).Warn("cell not handed over; others wait until the row is stale")
		return
	}
	h.Log.Info("cell given up")
}

// Leave stops taking over and gives the cell up, before the instance shuts down.
func (h *Host) Leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.leaving {
		h.leaving = true
		close(h.left)
	}
}
