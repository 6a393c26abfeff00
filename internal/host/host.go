package host

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/daisyrack/daisyrack/internal/cell"
	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/ledger"
	"github.com/daisyrack/daisyrack/internal/relay"
	"github.com/daisyrack/daisyrack/internal/team"
	"github.com/daisyrack/daisyrack/pkg/peer"
	"github.com/daisyrack/daisyrack/pkg/wire"
)

const (
	// followHoldTime is how long the owner holds the response to a follow call.
	followHoldTime = 200 * time.Millisecond

	// ownerTimeout is how long the owner may fail to respond before a follower reads the owner's row.
	ownerTimeout = 500 * time.Millisecond

	// readyTimeout is how long the owner or its store may be unreachable before the instance
	// reports that it is not ready for clients.
	readyTimeout = 600 * time.Millisecond

	// minRankDelay separates the takeover attempts of candidates of successive ranks, so that
	// usually only one of them takes the cell over.
	minRankDelay = 30 * time.Millisecond

	// rankDelayReads is the same delay as a multiple of the duration of a read of the owner's row.
	// It applies while the store is slow, so that the transaction of the first candidate is done
	// before the second candidate reads the row again.
	rankDelayReads = 3

	// followerTTL is how long a follower counts as live after its last call.
	followerTTL = time.Second

	// maxCallsInFlight limits the calls in flight to one instance. Submissions are held until their
	// commit is done, which can take 1 s.
	maxCallsInFlight = 1024
)

// Host is one instance of a cell. The exported fields must be set before Run is called.
type Host struct {
	Name string
	// Address is the host:port at which other instances call this one.
	Address string
	// Domain is the failure domain of the instance.
	Domain string
	// Weight is the capacity of this instance for the work of the owner. Candidates with a higher
	// weight take over first.
	Weight int64
	// SufficientWeight is enough for the work of the owner at any current load. An instance with a
	// lower weight lets larger instances take over first.
	SufficientWeight int64
	// Seeds are addresses of instances to ask for the owner while the store is unreachable.
	Seeds []string
	// Nonce is drawn at random at each start of the process.
	Nonce uint64

	Log log.Interface

	// NewDriver returns a driver whose functions for calls to the store are set.
	NewDriver func() *cell.Driver
	// Executors makes calls to executors from this instance.
	Executors fleet.Caller
	// Ledger reads and writes the owner's row.
	Ledger *ledger.Ledger

	// DecodeConfig decodes a configuration as stored.
	DecodeConfig func(source []byte) (*fleet.Config, error)
	// WatchConfig waits for a configuration that was written after the given version of the store,
	// and returns it with the current version of the store. A nil source means that the configuration
	// did not change.
	WatchConfig func(ctx context.Context, after int64) (source []byte, version int64, err error)

	// CheckConfig returns the configuration at once if it was written after the given version of the store. It makes
	// the call through another instance if the store does not serve this one.
	CheckConfig func(ctx context.Context, after int64) (ConfigRead, error)
	// BootTime returns the time since the start of the machine. It includes suspensions and never jumps.
	BootTime func() time.Duration
	// KeyLimits are the times within which changes of keys take effect.
	KeyLimits team.Limits

	// Advise calls the policy service from this instance.
	Advise func(ctx context.Context, step fleet.StepID, executors []string) ([]fleet.Ticket, time.Duration, error)

	// StoreCall makes one call to the store on behalf of another instance; status 0 means no response.
	StoreCall func(ctx context.Context, method, target string, body []byte) (status int, respBody []byte)

	// TermChanged is called when a term of this instance as owner begins and ends. It may be nil.
	TermChanged func(owner bool)

	// repeater polls executors from this instance.
	repeater   *relay.Repeater
	peerClient peer.Client
	// followClient sends the follow calls. It has connections of its own, so that other calls to a
	// failed instance do not delay it.
	followClient peer.Client
	active       atomic.Pointer[activeConfig]
	// freshness tells how recent the active configuration is, configPosition up to where the store was read for it;
	// nil if it was not.
	freshness      team.Freshness
	configPosition atomic.Pointer[configPosition]
	// driver runs the current term of this instance as owner; nil while it is a follower.
	driver atomic.Pointer[cell.Driver]

	// lastLogged is the last event that Run logged about a former owner.
	lastLogged string
	// handover is what the last owner that resigned has told. It must only be used from Run.
	handover *wire.FollowReply

	mu sync.Mutex
	// ownerAddress and ownerEpoch describe the last known owner; the address is empty if there is
	// none.
	ownerAddress string
	ownerEpoch   int64
	// lastHealthy is when the owner last responded and could reach the store.
	lastHealthy time.Time
	// lastResponse is when the owner last responded, whether or not it could reach the store.
	lastResponse time.Time
	// isolated is set while this instance reaches neither the owner nor the store.
	isolated bool
	// ownerChanged is closed and replaced when the owner changes.
	ownerChanged chan struct{}
	// candidates are the addresses of the owner's followers in the order in which they take over.
	candidates []string
	// candidatesHash is the owner's hash of candidates; 0 if it is not known.
	candidatesHash uint64
	// queueLengths are the numbers of waiting jobs that the owner last reported.
	queueLengths map[string]int64
	// unreachableSince holds, by address, since when other instances do not respond to probes. It is
	// cleared when an owner is found.
	unreachableSince map[string]time.Time
	// followers are the instances that have called this one in its current term as owner.
	followers map[string]*follower
	// live is the last list of the live ones among them.
	live liveList
	// preferredRelay is the address of the follower that last reached the store for this owner.
	preferredRelay string
	// yieldedAt is when this instance gave up the cell in favour of a larger one.
	yieldedAt time.Time
	// leaving is set, and leaveRequested closed, when the instance is about to shut down.
	leaving        bool
	leaveRequested chan struct{}
}

// follower is an instance that follows this owner, as of its last call.
type follower struct {
	name     string
	address  string
	domain   string
	weight   int64
	lastCall time.Time
	leaving  bool
	// readsPlaces and tellsIncarnations are the fields of wire.Follow.
	readsPlaces, tellsIncarnations bool
}

// Init initializes the host. It must be called before all other methods.
func (h *Host) Init() {
	h.ownerChanged = make(chan struct{})
	h.leaveRequested = make(chan struct{})
	h.followers = make(map[string]*follower)
	h.unreachableSince = make(map[string]time.Time)
	h.queueLengths = make(map[string]int64)
	h.repeater = &relay.Repeater{Executors: h.Executors, Log: h.Log}
	h.peerClient.MaxInFlight = maxCallsInFlight
	h.lastResponse = time.Now()
}

// Serve serves the calls of other instances until ctx ends.
func (h *Host) Serve(ctx context.Context, l net.Listener) error {
	s := peer.Server{Handle: h.handle, HandleStream: h.handleStream, MaxInFlight: maxCallsInFlight}
	return s.Serve(ctx, l)
}

// handleStream serves the stream of an owner that uses this instance as a relay, or of a follower.
func (h *Host) handleStream(ctx context.Context, req *wire.Request, stream *peer.Stream) bool {
	switch {
	case req.GetRelayOpen() != nil:
		s := relay.Server{Executors: h.repeater.Caller(), Log: h.Log}
		s.Serve(ctx, req.GetRelayOpen(), stream)
	case req.GetFollow().GetStream():
		if h.driver.Load() != nil {
			h.recordFollower(req.GetFollow())
		}
		h.serveFollower(ctx, req.GetFollow(), stream)
	default:
		return false
	}
	return true
}

// Config returns the active configuration, or nil if there is none yet.
func (h *Host) Config() *fleet.Config {
	if a := h.active.Load(); a != nil {
		return a.config
	}
	return nil
}

// Ready reports whether clients should use this instance: it has a configuration that is recent enough
// for keys, is not shutting down, and can reach the owner of the cell.
func (h *Host) Ready() bool {
	if h.Config() == nil || !h.configIsRecent() {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.leaving && time.Since(h.lastHealthy) < readyTimeout
}

// IsOwner reports whether this instance owns the cell and can reach the store.
func (h *Host) IsOwner() bool {
	d := h.driver.Load()
	return d != nil && d.StoreReachable()
}

// setOwner records the owner of the cell and wakes the requests that wait for an owner.
func (h *Host) setOwner(address string, epoch int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ownerAddress == address && h.ownerEpoch == epoch {
		return
	}
	h.Log.WithField("owner", address).WithField("epoch", epoch).WithField("former", h.ownerAddress).Info("owner of the cell changed")
	h.ownerAddress, h.ownerEpoch = address, epoch
	if address != "" {
		h.lastResponse = time.Now()
		clear(h.unreachableSince)
	}
	close(h.ownerChanged)
	h.ownerChanged = make(chan struct{})
}

// markOwnerHealthy records that the owner responded and can reach the store.
func (h *Host) markOwnerHealthy() {
	h.mu.Lock()
	h.lastHealthy = time.Now()
	h.lastResponse = h.lastHealthy
	h.isolated = false
	h.mu.Unlock()
}

// sinceLastResponse returns the time since the owner last responded, and whether this instance
// reaches neither the owner nor the store. The time is 0 while this instance is the owner.
func (h *Host) sinceLastResponse() (since time.Duration, isolated bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.driver.Load() != nil {
		return 0, false
	}
	return time.Since(h.lastResponse), h.isolated
}

func (h *Host) setIsolated(isolated bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.isolated = isolated
}

// currentOwner returns the address of the last known owner, when it was last healthy, and a channel
// that is closed when the owner changes.
func (h *Host) currentOwner() (owner string, lastHealthy time.Time, changed <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ownerAddress, h.lastHealthy, h.ownerChanged
}

// applyConfig activates a configuration if it is newer than the active one.
func (h *Host) applyConfig(config *fleet.Config, source string) {
	next := &activeConfig{config: config}
	for {
		old := h.active.Load()
		if old != nil && old.config.Version >= config.Version {
			return
		}
		if next.directory == nil {
			next.directory = team.NewDirectory(config.Teams)
		}
		if h.active.CompareAndSwap(old, next) {
			former := int64(0)
			if old != nil {
				former = old.config.Version
			}
			h.Log.WithField("version", config.Version).WithField("former", former).WithField("from", source).
				WithField("queues", len(config.Queues)).WithField("teams", len(config.Teams)).Info("configuration activated")
			if len(config.Problems) > 0 {
				h.Log.WithField("version", config.Version).WithField("entries", len(config.Problems)).
					WithField("first", config.Problems[0]).Warn("malformed entries of the configuration left out")
			}
			h.logConflicts(next)
			return
		}
	}
}

// FollowConfig watches the configuration in the store and activates new versions until ctx ends.
func (h *Host) FollowConfig(ctx context.Context) error {
	var version int64
	var position configPosition
	failing := false
	for ctx.Err() == nil {
		sentAt := h.BootTime()
		source, next, err := h.WatchConfig(ctx, version)
		if err != nil {
			if !failing && ctx.Err() == nil {
				h.Log.WithError(err).Warn("unable to read the configuration from the store; retrying")
			}
			failing = true
			sleep(ctx, configRetryInterval)
			version, position = 0, configPosition{}
			continue
		}
		if failing {
			h.Log.Info("configuration is readable from the store again")
		}
		failing = false
		version = next
		if version == 0 {
			sleep(ctx, configRetryInterval) // an empty store responds at once instead of waiting for a change
		}
		position = h.applyRead(position, source, version)
		if position.valid {
			h.freshness.ConfirmSentAt(sentAt)
		}
	}
	return nil
}

// configRetryInterval is the time before the configuration is read again. A change must be active
// within 2 s.
const configRetryInterval = 400 * time.Millisecond

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// handle serves one call of another instance; nil means that the call is not supported.
func (h *Host) handle(ctx context.Context, req *wire.Request) *wire.Response {
	switch {
	case req.GetFollow() != nil:
		return &wire.Response{Body: &wire.Response_Follow{Follow: h.handleFollow(ctx, req.GetFollow())}}
	case req.GetAnnounce() != nil:
		return &wire.Response{Body: &wire.Response_Follow{Follow: h.handleAnnounce(req.GetAnnounce())}}
	case req.GetJobCall() != nil:
		return &wire.Response{Body: &wire.Response_JobReply{JobReply: h.handleJobCall(ctx, req.GetJobCall())}}
	case req.GetAdviceCall() != nil:
		return &wire.Response{Body: &wire.Response_AdviceReply{AdviceReply: h.handleAdviceCall(ctx, req.GetAdviceCall())}}
	case req.GetStoreCall() != nil:
		return &wire.Response{Body: &wire.Response_StoreReply{StoreReply: h.handleStoreCall(ctx, req.GetStoreCall())}}
	}
	return nil
}
