package host

import (
	"context"
	"maps"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/daisyrack/daisyrack/internal/cell"
	"github.com/daisyrack/daisyrack/pkg/peer"
	"github.com/daisyrack/daisyrack/pkg/wire"
)

// followReportInterval is the maximum time between two messages of a follower, which show the owner
// that it is alive; it is well below followerTTL.
const followReportInterval = 450 * time.Millisecond

// configPushDelay is how long a follower may have an older configuration before the owner sends it.
// Followers read it from the store; a large configuration sent to all of them at once would fill the
// owner's network link.
const configPushDelay = 800 * time.Millisecond

// followStream is a follower's stream from the owner, which sends the state of the cell on it every
// followHoldTime. One message costs the owner far less than one call, and an owner can have more than
// a hundred followers.
type followStream struct {
	host  *Host
	owner string
	// timeout limits the wait for a reply.
	timeout time.Duration

	stream     *peer.Stream
	stop       func() bool
	reportedAt time.Time
	reported   *wire.Follow
}

// next returns the owner's next reply; it fails if none arrives within the timeout.
func (f *followStream) next(ctx context.Context) (*wire.FollowReply, error) {
	if f.stream == nil {
		if err := f.open(ctx); err != nil {
			return nil, err
		}
	} else if err := f.report(); err != nil {
		f.close()
		return nil, err
	}
	var res wire.Response
	if err := f.stream.Receive(&res, f.timeout); err != nil {
		f.close()
		return nil, err
	}
	if res.GetFollow() == nil {
		f.close()
		return nil, errors.Newf("host: unable to follow %s: %s", f.owner, res.GetFailure().GetReason())
	}
	return res.GetFollow(), nil
}

func (f *followStream) open(ctx context.Context) error {
	openCtx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	req := f.host.followRequest(false, true)
	stream, err := f.host.followClient.Open(openCtx, f.owner, &wire.Request{Body: &wire.Request_Follow{Follow: req}})
	if err != nil {
		return err
	}
	f.stream = stream
	f.stop = context.AfterFunc(ctx, stream.Close)
	f.reported, f.reportedAt = req, time.Now()
	return nil
}

// report tells the owner the state of this instance if it has changed or was not sent for a while.
func (f *followStream) report() error {
	req := f.host.followRequest(false, true)
	changed := req.GetConfigVersion() != f.reported.GetConfigVersion() || req.GetLeaving() != f.reported.GetLeaving() ||
		req.GetFollowersHash() != f.reported.GetFollowersHash()
	if !changed && time.Since(f.reportedAt) < followReportInterval {
		return nil
	}
	f.reported, f.reportedAt = req, time.Now()
	return f.stream.Send(&wire.Request{Body: &wire.Request_Follow{Follow: req}}, ownerTimeout)
}

func (f *followStream) close() {
	if f.stream != nil {
		f.stop()
		f.stream.Close()
		f.stream = nil
	}
}

// followRequest returns the state of this instance for the owner.
func (h *Host) followRequest(noHold, stream bool) *wire.Follow {
	version := int64(0)
	if config := h.Config(); config != nil {
		version = config.Version
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return &wire.Follow{
		Name: h.Name, Address: h.Address, FailureDomain: h.Domain, ConfigVersion: version,
		Weight: h.Weight, Leaving: h.leaving, AtOnce: noHold, Stream: stream, FollowersHash: h.candidatesHash,
		ReadsPlaces: true, TellsIncarnations: true,
	}
}

// serveFollower sends the state of the cell to a follower until its stream or the term ends.
func (h *Host) serveFollower(ctx context.Context, f *wire.Follow, stream *peer.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer stream.Close()
	reports := make(chan *wire.Follow)
	go func() {
		defer cancel()
		for {
			var req wire.Request
			if err := stream.Receive(&req, 0); err != nil || req.GetFollow() == nil {
				return
			}
			select {
			case reports <- req.GetFollow():
			case <-ctx.Done():
				return
			}
		}
	}()
	var counts map[string]int64
	var behindSince time.Time
	for ctx.Err() == nil {
		d := h.driver.Load()
		reply := h.followReply(d, f)
		if len(reply.GetConfig()) == 0 {
			behindSince = time.Time{}
		} else if behindSince.IsZero() {
			behindSince = time.Now()
		}
		if time.Since(behindSince) < configPushDelay {
			reply.Config, reply.ConfigVersion, reply.ConfigConfirmedMs = nil, f.GetConfigVersion(), 0
		}
		if d != nil && counts != nil && !reply.GetCountsUnchanged() && maps.Equal(counts, d.LastPendingJobs()) {
			reply.Counts, reply.CountsUnchanged = nil, true
		} else if d != nil {
			counts = d.LastPendingJobs()
		}
		if stream.Send(&wire.Response{Body: &wire.Response_Follow{Follow: reply}}, ownerTimeout) != nil || reply.GetEpoch() == 0 {
			return
		}
		// The configuration and the list are not sent again while the follower's report is on its way.
		f.ConfigVersion = max(f.GetConfigVersion(), reply.GetConfigVersion())
		f.FollowersHash = reply.GetFollowersHash()
		f = h.awaitReport(ctx, d, f, reports)
		if h.driver.Load() != d || isClosed(d.Done()) {
			_ = stream.Send(&wire.Response{Body: &wire.Response_Follow{Follow: resigned(d)}}, ownerTimeout) // the term has ended in any case
			return
		}
	}
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// awaitReport waits until the next reply is due, and returns the latest state of the follower.
func (h *Host) awaitReport(ctx context.Context, d *cell.Driver, f *wire.Follow, reports <-chan *wire.Follow) *wire.Follow {
	t := time.NewTimer(followHoldTime)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return f
		case <-d.Done():
			return f
		case <-t.C:
			return f
		case f = <-reports:
			h.recordFollower(f)
		}
	}
}

// followReply returns the state of the cell for a follower. An instance that is not the owner, whose
// driver d is nil, returns the owner that it knows.
func (h *Host) followReply(d *cell.Driver, f *wire.Follow) *wire.FollowReply {
	if d == nil {
		owner, _, _ := h.currentOwner()
		if owner == h.Address {
			owner = ""
		}
		return &wire.FollowReply{OwnerAddress: owner, Resigned: h.Leaving() || h.recentlyYielded()}
	}
	_, cutOff := h.cutOffSince(d)
	confirmedAt, confirmed := h.freshness.StoreClock() // holds for each configuration that is loaded later
	config := h.Config()
	h.mu.Lock()
	live := h.liveFollowers()
	followers, hash := live.addresses, live.hash
	r := &wire.FollowReply{Epoch: max(h.ownerEpoch, 1), ConfigVersion: config.Version, StoreAway: cutOff || !d.StoreReachable(), CutOff: cutOff}
	h.mu.Unlock()
	if confirmed {
		r.ConfigConfirmedMs = max(confirmedAt.Milliseconds(), 0)
	}
	r.FollowersHash = hash
	if r.GetFollowersHash() != f.GetFollowersHash() {
		r.Followers = followers
	}
	if config.Version > f.GetConfigVersion() {
		r.Config = config.Source
	}
	counts := d.LastPendingJobs()
	r.CountsUnchanged = counts == nil // not known until the owner has read the rows of earlier owners
	for queue, n := range counts {
		r.Counts = append(r.Counts, &wire.QueueCount{Queue: queue, Waiting: n})
	}
	return r
}
