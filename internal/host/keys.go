package host

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/team"
	"github.com/daisyrack/daisyrack/pkg/wire"
)

const (
	// confirmCheckInterval is the longest time until an instance notices that it should read the configuration.
	confirmCheckInterval = 100 * time.Millisecond

	// confirmRetryInterval is the time between a read that has confirmed nothing and the next one. Two reads that time
	// out after 1.5 s and a third one fit between maxOwnReadAge of package team and a limit of 5 s.
	confirmRetryInterval = 250 * time.Millisecond

	// invalidRetryInterval is the time between two reads while the configuration in the store cannot be decoded. A
	// valid one arrives sooner through the long poll or the owner.
	invalidRetryInterval = 2 * time.Second
)

// activeConfig is the configuration in force with the directory of its keys.
type activeConfig struct {
	config    *fleet.Config
	directory *team.Directory
}

// ConfigRead is the result of a read of the configuration.
type ConfigRead struct {
	// Source is the document as stored; nil means that it has not changed.
	Source []byte
	// Version is the version of the store.
	Version int64
	// StoreClock is the clock of the store.
	StoreClock time.Duration
}

// configPosition is a version of the store up to which changes of the configuration were read.
type configPosition struct {
	store int64
	// valid is set if the newest configuration up to there could be decoded, so that it, or a newer one, is active.
	valid bool
}

// applyRead activates the configuration of a read from the given position on, and returns the position after it.
func (h *Host) applyRead(from configPosition, source []byte, version int64) configPosition {
	next := configPosition{store: version, valid: from.valid}
	if source != nil {
		config, err := h.DecodeConfig(source)
		if err != nil {
			h.Log.WithError(err).Error("configuration in the store is invalid; the former one stays active")
		} else {
			h.applyConfig(config, "store")
		}
		next.valid = err == nil
	}
	h.configPosition.Store(&next)
	return next
}

// ConfirmConfig keeps confirming that the active configuration is the newest one, until ctx ends. The owner reads, and
// passes the time of its confirmation on to the others, which read only to relate the store's clock to theirs, or if
// there is no recent confirmation of the owner.
func (h *Host) ConfirmConfig(ctx context.Context) error {
	stagger := rand.Float64()
	failing := false
	for ctx.Err() == nil {
		if !h.confirmsConfig() {
			sleep(ctx, confirmCheckInterval)
			continue
		}
		if wait := h.freshness.NextRead(h.KeyLimits, h.driver.Load() != nil, stagger) - h.BootTime(); wait > 0 {
			sleep(ctx, min(max(wait, time.Millisecond), confirmCheckInterval))
			continue
		}
		confirmed, err := h.confirmConfig(ctx)
		if err != nil && !failing && ctx.Err() == nil {
			h.Log.WithError(err).Warn("unable to confirm the configuration; retrying")
		}
		if err == nil && failing {
			h.Log.Info("configuration is confirmed again")
		}
		failing = err != nil
		switch {
		case err != nil:
			sleep(ctx, confirmRetryInterval)
		case !confirmed:
			sleep(ctx, invalidRetryInterval)
		}
	}
	return nil
}

// confirmsConfig reports whether anything depends on how recent the configuration is.
func (h *Host) confirmsConfig() bool {
	a := h.active.Load()
	return h.KeyLimits.Revocation > 0 || a != nil && a.config.KeysRequired
}

// confirmConfig reads the configuration once and reports whether the active one is confirmed.
func (h *Host) confirmConfig(ctx context.Context) (bool, error) {
	var from configPosition
	if p := h.configPosition.Load(); p != nil {
		from = *p
	}
	r := team.Read{SentAt: h.BootTime()}
	read, err := h.CheckConfig(ctx, from.store)
	if err != nil {
		return false, err
	}
	r.ReceivedAt, r.StoreClock = h.BootTime(), read.StoreClock
	next := h.applyRead(from, read.Source, read.Version)
	if next.valid {
		h.freshness.Confirm(r)
	}
	return next.valid, nil
}

// confirmFromOwner records until when the owner knows that its configuration is the newest, if this instance has that
// configuration or a newer one.
func (h *Host) confirmFromOwner(r *wire.FollowReply) {
	if config := h.Config(); config == nil || config.Version < r.GetConfigVersion() || r.GetConfigConfirmedMs() <= 0 {
		return
	}
	h.freshness.ConfirmStoreClock(fleet.Millis(r.GetConfigConfirmedMs()), h.BootTime())
}

// configIsRecent reports whether the active configuration will be recent enough for keys while the load balancer
// directs clients to this instance.
func (h *Host) configIsRecent() bool {
	confirmation := h.freshness.Confirmation()
	a := h.active.Load()
	return a == nil || !a.config.KeysRequired || h.KeyLimits.Ready(confirmation.Age(h.BootTime()))
}

// logConflicts logs that teams of a configuration have the same key.
func (h *Host) logConflicts(a *activeConfig) {
	if conflicts := a.directory.Conflicts; len(conflicts) > 0 {
		h.Log.WithField("version", a.config.Version).WithField("keys", len(conflicts)).
			WithField("holder", conflicts[0].Holder).WithField("other", conflicts[0].Other).
			Warn("teams have the same key; it identifies the first of them by name")
	}
}

// Authorize finds the team of a request by its key. It must be called after the head of the request was read: a
// request that was sent before the clock is read here was sent while the configuration was recent enough.
func (h *Host) Authorize(key string) team.Decision {
	confirmation := h.freshness.Confirmation()
	a := h.active.Load()
	if a == nil || !a.config.KeysRequired {
		return team.Decision{Verdict: team.Allowed}
	}
	return h.KeyLimits.Decide(a.directory, key, confirmation.Age(h.BootTime()))
}
