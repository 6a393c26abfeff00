package host

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/daisyrack/daisyrack/internal/ledger"
	"github.com/daisyrack/daisyrack/pkg/peer"
	"github.com/daisyrack/daisyrack/pkg/wire"
)

const (
	// followRetryInterval is the time between a failed follow call and the next one.
	followRetryInterval = 50 * time.Millisecond

	// minRowReadInterval is the time between two reads of the owner's row by the first candidate. The
	// time grows by rowReadIntervalStep with each rank, up to maxRowReadInterval.
	minRowReadInterval  = 80 * time.Millisecond
	rowReadIntervalStep = 8 * time.Millisecond
	maxRowReadInterval  = 400 * time.Millisecond

	// weightDelayRanks is the weight delay of an instance of weight 0, as a multiple of the delay
	// between successive ranks.
	weightDelayRanks = 12

	// yieldCheckInterval is the time between two comparisons of the owner's weight with those of its
	// followers.
	yieldCheckInterval = time.Second

	// yieldFactor is the ratio of a follower's weight to the owner's above which a change of the
	// owner is worth its cost.
	yieldFactor = 1.5

	// yieldCooldown is how long an instance that yielded the cell does not take it over again.
	yieldCooldown = 2 * time.Second

	// ownerRetryTimeout is how long a former owner that did not respond may take to respond when it is
	// called again. In the meantime the row is not read.
	ownerRetryTimeout = 150 * time.Millisecond

	// contendTimeout is how long an instance contends for the cell before it calls the former owner
	// again.
	contendTimeout = 600 * time.Millisecond

	// maxTurnWait is how long a candidate waits for its turn before it reads the owner's row again. A new
	// owner announces itself only to the instances that it knows.
	maxTurnWait = time.Second

	// rowReadTimeout is the timeout of a read of the owner's row; it allows for a slow store.
	rowReadTimeout = 1200 * time.Millisecond

	// holderProbeTimeout is the timeout of the probe that checks whether the holder of a stale row
	// still owns the cell; a response takes a few milliseconds.
	holderProbeTimeout = 80 * time.Millisecond
)

// Run follows the owner of the cell, and takes the cell over when the owner fails, until ctx ends.
func (h *Host) Run(ctx context.Context) error {
	silent := "" // the last owner that did not respond
	for ctx.Err() == nil {
		owner, _, _ := h.currentOwner()
		confirmedGone := false
		if owner != "" && owner != h.Address {
			timeout := ownerTimeout
			if owner == silent {
				timeout = ownerRetryTimeout
			}
			var responded bool
			confirmedGone, responded = h.follow(ctx, owner, timeout)
			silent = owner
			if responded {
				silent = ""
			}
		}
		// Calls to a failed instance block until they time out. The former owner is therefore
		// called again only when its row is renewed or no other owner appears for contendTimeout.
		for start := time.Now(); ctx.Err() == nil && !h.otherOwnerKnown(owner); {
			if h.contend(ctx, owner, confirmedGone) || time.Since(start) > contendTimeout {
				break
			}
		}
	}
	return nil
}

// follow follows the owner until it no longer responds or is no longer the owner. It reports whether
// the owner is known to be gone: it has resigned or its process does not run. The first reply must
// arrive within timeout, and responded is false if it did not.
func (h *Host) follow(ctx context.Context, owner string, timeout time.Duration) (confirmedGone, responded bool) {
	ctx, cancel := h.untilOwnerChanges(ctx, owner)
	defer cancel()
	f := &followStream{host: h, owner: owner, timeout: timeout}
	defer f.close()
	last := time.Now()
	for ctx.Err() == nil {
		reply, err := f.next(ctx)
		switch {
		case ctx.Err() != nil:
			return false, responded
		case err == nil && reply.GetEpoch() > 0 && !reply.GetResigned():
			last = time.Now()
			timeout, f.timeout, responded = ownerTimeout, ownerTimeout, true
			h.applyFollowReply(owner, reply)
			continue
		case err == nil && reply.GetOwnerAddress() != "" && reply.GetOwnerAddress() != owner && !reply.GetResigned():
			h.setOwner(reply.GetOwnerAddress(), 0)
			return false, true
		case err == nil:
			if h.shouldLog(owner + " resigned") {
				h.Log.WithField("owner", owner).WithField("resigned", reply.GetResigned()).Info("former owner no longer owns the cell")
			}
			h.recordHandover(reply)
			return true, true
		case connectionRefused(err):
			if h.shouldLog(owner + " gone") {
				h.Log.WithField("owner", owner).WithError(err).Info("owner refuses connections; its process is gone")
			}
			return true, responded
		}
		if ctx.Err() == nil && time.Since(last) >= timeout {
			h.Log.WithField("owner", owner).WithField("silent_ms", time.Since(last).Milliseconds()).
				WithError(err).Warn("owner does not respond")
			h.peerClient.Disconnect(owner)
			h.followClient.Disconnect(owner)
			return false, responded
		}
		sleep(ctx, followRetryInterval)
	}
	return false, responded
}

// otherOwnerKnown reports whether the known owner is neither the former owner nor this instance.
func (h *Host) otherOwnerKnown(former string) bool {
	owner, _, _ := h.currentOwner()
	return owner != "" && owner != former && owner != h.Address
}

// untilOwnerChanges returns a context that ends when owner is no longer the known owner.
func (h *Host) untilOwnerChanges(ctx context.Context, owner string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel()
		for {
			known, _, changed := h.currentOwner()
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

// waitTurn waits for the takeover delay d. It returns false if another instance takes the cell over
// in the meantime or ctx ends.
func (h *Host) waitTurn(ctx context.Context, d time.Duration, former string) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	for {
		_, _, changed := h.currentOwner()
		if h.otherOwnerKnown(former) {
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

// holderStillOwns probes the holder of a stale row and reports whether it still owns the cell. After
// an outage of the store the row can be stale although its holder is alive. The former owner is not
// probed, since it has just failed to respond.
func (h *Host) holderStillOwns(ctx context.Context, row *ledger.OwnerRow, former string) bool {
	holder := row.Record.GetAddress()
	if holder == "" || holder == former || holder == h.Address {
		return false
	}
	reply, _, err := h.callFollow(ctx, holder, holderProbeTimeout, true)
	if err != nil || reply.GetEpoch() == 0 || reply.GetResigned() {
		return false
	}
	h.Log.WithField("owner", holder).WithField("row_age_ms", row.Age().Milliseconds()).
		Info("owner's row is stale but its holder responds")
	h.applyFollowReply(holder, reply)
	return true
}

// shouldLog reports whether an event differs from the one that was logged last, and records it as
// logged. It must only be called from Run.
func (h *Host) shouldLog(event string) bool {
	if h.lastLogged == event {
		return false
	}
	h.lastLogged = event
	return true
}

// callFollow makes one follow call. With noHold the owner responds at once.
func (h *Host) callFollow(ctx context.Context, owner string, timeout time.Duration, noHold bool) (*wire.FollowReply, peer.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	res, outcome, err := h.followClient.Call(ctx, owner, &wire.Request{Body: &wire.Request_Follow{Follow: h.followRequest(noHold, false)}})
	if err != nil {
		return nil, outcome, err
	}
	if res.GetFollow() == nil {
		return nil, outcome, errors.Newf("host: follow call failed at %s: %s", owner, res.GetFailure().GetReason())
	}
	return res.GetFollow(), outcome, nil
}

// applyFollowReply records the state of the cell from an owner's reply to a follow call, and
// activates the configuration in it, if any.
func (h *Host) applyFollowReply(owner string, r *wire.FollowReply) {
	h.lastLogged = ""
	h.setOwner(owner, r.GetEpoch())
	switch {
	case r.GetCutOff():
		h.markCutOff()
	case !r.GetStoreAway():
		h.markOwnerHealthy()
	}
	h.mu.Lock()
	h.lastResponse = time.Now()
	if r.GetFollowersHash() == 0 || r.GetFollowersHash() != h.candidatesHash {
		h.candidates, h.candidatesHash = r.GetFollowers(), r.GetFollowersHash()
	}
	if !r.GetCountsUnchanged() {
		h.queueLengths = make(map[string]int64, len(r.GetCounts()))
	}
	for _, n := range r.GetCounts() {
		h.queueLengths[n.GetQueue()] = n.GetWaiting()
	}
	h.mu.Unlock()
	if len(r.GetConfig()) > 0 {
		config, err := h.DecodeConfig(r.GetConfig())
		if err != nil {
			h.Log.WithError(err).WithField("owner", owner).Error("configuration received from the owner is invalid")
			return
		}
		h.applyConfig(config, "owner")
	}
	h.confirmFromOwner(r)
}

// contend reads the owner's row once and takes the cell over if the row is not renewed. It returns
// true when another owner is known or a term of this instance has ended. Otherwise it sleeps for
// a while and returns false.
func (h *Host) contend(ctx context.Context, former string, confirmedGone bool) bool {
	start := time.Now()
	row, err := h.readOwner(ctx)
	// If the owner is gone, its missing responses are no sign that this instance is cut off.
	h.setIsolated(err != nil && former != "" && !confirmedGone)
	rankDelay := max(minRankDelay, rankDelayReads*time.Since(start))
	if err != nil {
		h.Log.WithError(err).Debug("unable to read the owner's row; asking other instances")
		h.findOwnerThroughPeers(ctx, former)
		if owner, _, _ := h.currentOwner(); owner != "" && owner != former {
			return true
		}
		sleep(ctx, h.rowReadInterval(former))
		return false
	}
	if h.canTakeOver(row, former, confirmedGone) && !h.Leaving() && !h.recentlyYielded() && h.Config() != nil {
		if h.holderStillOwns(ctx, row, former) {
			return true
		}
		turn := time.Now().Add(time.Duration(h.candidateRank(former))*rankDelay + h.weightDelay(rankDelay))
		for unchanged := true; unchanged; {
			if !h.waitTurn(ctx, min(time.Until(turn), maxTurnWait), former) {
				return true
			}
			reread, err := h.readOwner(ctx)
			if err != nil {
				break
			}
			unchanged = reread.Version == row.Version
			if unchanged && !time.Now().Before(turn) {
				h.serveTerm(ctx, reread)
				return true
			}
			row = reread
		}
	}
	if a := row.Record.GetAddress(); a != "" && a != h.Address && (a != former || row.Age() <= row.StaleAfter()) {
		h.setOwner(a, row.Record.GetEpoch())
		if a != former {
			return true
		}
	}
	sleep(ctx, h.rowReadInterval(former))
	return false
}

// rowReadInterval returns the time between two reads of the owner's row by this instance. Instances
// far down in the takeover order read less often: together they would load the store.
func (h *Host) rowReadInterval(former string) time.Duration {
	return min(maxRowReadInterval, minRowReadInterval+time.Duration(h.candidateRank(former))*rowReadIntervalStep)
}

func (h *Host) readOwner(ctx context.Context) (*ledger.OwnerRow, error) {
	ctx, cancel := context.WithTimeout(ctx, rowReadTimeout)
	defer cancel()
	return h.Ledger.ReadOwner(ctx)
}

// canTakeOver reports whether the owner's row allows this instance to take the cell over.
func (h *Host) canTakeOver(row *ledger.OwnerRow, former string, confirmedGone bool) bool {
	r := row.Record
	switch {
	case row.Version == 0, row.Vacant(), row.Age() > row.StaleAfter():
		return true
	case r.GetAddress() == h.Address && r.GetNonce() != h.Nonce:
		return true // the holder was an earlier process of this instance
	case r.GetAddress() == h.Address:
		return true
	}
	return confirmedGone && r.GetAddress() == former
}

// weightDelay returns how long an instance below SufficientWeight lets larger ones take over first.
// rankDelay is the delay between successive ranks.
func (h *Host) weightDelay(rankDelay time.Duration) time.Duration {
	if h.Weight >= h.SufficientWeight {
		return 0
	}
	return time.Duration(weightDelayRanks * float64(rankDelay) * float64(h.SufficientWeight-h.Weight) / float64(h.SufficientWeight))
}

// yieldToLarger ends the term of this instance, by calling cancel, when a follower is much larger.
func (h *Host) yieldToLarger(ctx context.Context, cancel context.CancelFunc) {
	for ctx.Err() == nil {
		sleep(ctx, yieldCheckInterval)
		h.mu.Lock()
		followers := h.liveFollowers().followers
		shouldYield := len(followers) > 0 && float64(followers[0].weight) > yieldFactor*float64(h.Weight) && h.Weight < h.SufficientWeight
		if shouldYield {
			h.yieldedAt = time.Now()
		}
		h.mu.Unlock()
		if shouldYield && ctx.Err() == nil {
			h.Log.WithField("weight", h.Weight).WithField("to", followers[0].name).WithField("its_weight", followers[0].weight).
				Info("yielding the cell to a larger instance")
			cancel()
			return
		}
	}
}

// recentlyYielded reports whether this instance yielded the cell within yieldCooldown.
func (h *Host) recentlyYielded() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.yieldedAt) < yieldCooldown
}

// candidateRank returns the position of this instance in the takeover order, without the former
// owner and those that do not respond to probes. They would only delay the takeover, and two
// candidates that cannot reach each other are told apart by the store.
func (h *Host) candidateRank(former string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	rank := 0
	for _, a := range h.candidates {
		if a == h.Address {
			return rank
		}
		if a != former && h.unreachableSince[a].IsZero() {
			rank++
		}
	}
	return rank
}

// Leaving reports whether this instance is about to shut down.
func (h *Host) Leaving() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leaving
}

// serveTerm takes the cell over and runs it until this instance loses or gives up ownership.
func (h *Host) serveTerm(ctx context.Context, previous *ledger.OwnerRow) {
	h.mu.Lock()
	h.followers = make(map[string]*follower)
	h.live = liveList{}
	leaveRequested := h.leaveRequested
	h.mu.Unlock()
	d := h.NewDriver()
	d.Config, d.PriorLeases = h.Config, h.handedOver(previous.Record.GetEpoch())
	d.Advisers, d.FormerFollowers = h.advisers, h.hasFormerFollowers
	d.RequestAdvice = h.requestAdvice
	d.CutOff = func() (time.Duration, bool) { return h.cutOffRetryAfter(d) }
	sender := h.newSender()
	d.Start, d.Stop, d.Throttle, d.Poll = sender.Start, sender.Stop, sender.Throttle, sender.Poll
	sender.LatePoll = d.ApplyLatePoll
	d.Init()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-leaveRequested:
			cancel()
		case <-ctx.Done():
		}
	}()
	h.Log.WithField("former", previous.Record.GetHolder()).WithField("former_epoch", previous.Record.GetEpoch()).
		WithField("row_age_ms", previous.Age().Milliseconds()).Info("taking over the cell")
	h.driver.Store(d)
	h.setOwner(h.Address, previous.Record.GetEpoch()+1)
	h.markOwnerHealthy()
	d.OnTakeover = func(epoch int64) { h.announce(ctx, epoch) }
	go h.refreshOwnHealth(ctx)
	go h.yieldToLarger(ctx, cancel)
	go sender.Run(ctx)
	if h.TermChanged != nil {
		h.TermChanged(true)
		defer h.TermChanged(false)
	}
	err := d.Run(ctx, previous)
	noFollowers := len(h.relayAddresses()) == 0
	h.driver.Store(nil)
	h.Log.WithError(err).Info("term as owner ended")
	if h.Leaving() && noFollowers {
		h.resign()
	}
	h.setOwner("", 0)
}

// refreshOwnHealth keeps this instance ready for clients while it is the owner and can reach the
// store.
func (h *Host) refreshOwnHealth(ctx context.Context) {
	for ctx.Err() == nil {
		if d := h.driver.Load(); d != nil {
			_, cutOff := h.cutOffSince(d)
			switch {
			case cutOff:
				h.markCutOff()
			case d.StoreReachable():
				h.markOwnerHealthy()
			}
		}
		sleep(ctx, followHoldTime)
	}
}

// resign vacates the owner's row, so that other instances need not wait until it is stale. Followers
// learn of the end of a term from their calls, so this is only needed without followers.
func (h *Host) resign() {
	ctx, cancel := context.WithTimeout(context.Background(), ledger.StaleAfter)
	defer cancel()
	if err := h.Ledger.Resign(ctx); err != nil {
		h.Log.WithError(err).Warn("unable to vacate the owner's row; other instances wait until it is stale")
		return
	}
	h.Log.Info("resigned as owner of the cell")
}

// Leave ends this instance's term as owner, if any, and keeps it from taking the cell over. It is
// called before the instance shuts down.
func (h *Host) Leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.leaving {
		h.leaving = true
		close(h.leaveRequested)
	}
}
