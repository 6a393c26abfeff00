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
	"github.com/daisyrack/daisyrack/pkg/peer"
	"github.com/daisyrack/daisyrack/pkg/wire"
)

const (
	// followHold is how long the owner holds an answer to a follower.
	followHold = 200 * time.Millisecond

	// ownerSilence is how long the owner may be silent before a follower reads its row.
	ownerSilence = 500 * time.Millisecond

	// readySilence is how long the owner may be out of reach before callers are sent elsewhere.
	readySilence = 600 * time.Millisecond

	// rankStagger parts the tries of candidates, so that usually only one takes the cell over.
	rankStagger = 30 * time.Millisecond

	// staggerReads is the same in reads of the owner's row, so that in a slow store too the first
	// candidate's transaction is done before the second reads again.
	staggerReads = 3

	// followerMemory is how long a follower counts after its last call.
	followerMemory = time.Second

	// callsInFlight bounds the calls to one instance; submissions wait for commits of 1 s.
	callsInFlight = 1024
)

// Host is one instance. Set the exported fields before Run.
type Host struct {
	Name string
	// Address is host:port for calls of other instances.
	Address string
	Domain  string
	// Weight is the capacity of this instance for the owner's duty; larger ones take over first.
	Weight int64
	// SufficientWeight is enough for the owner's duty at any load of today; below it an instance
	// waits for larger ones.
	SufficientWeight int64
	// Seeds are addresses of instances to ask for the owner when the store is out of reach.
	Seeds []string
	// Nonce is drawn at each start.
	Nonce uint64

	Log log.Interface

	// NewDriver returns a driver with its seams to executors and store set.
	NewDriver func() *cell.Driver
	// Ledger reads and writes the owner's row.
	Ledger *ledger.Ledger

	// DecodeConfig reads a configuration as it stands in the store.
	DecodeConfig func(source []byte) (*fleet.Config, error)
	// WatchConfig waits for a configuration newer than the version of the store.
	WatchConfig func(ctx context.Context, after int64) (source []byte, version int64, err error)

	// Advise calls the policy service from this instance.
	Advise func(ctx context.Context, step fleet.StepID, executors []string) ([]fleet.Ticket, time.Duration, error)

	// StoreCall makes one call to the store on behalf of the owner; status 0 means no answer.
	StoreCall func(ctx context.Context, method, target string, body []byte) (status int, answer []byte)

	client peer.Client
	// follows has connections of its own, so that other calls to an instance that is gone do not
	// delay it.
	follows peer.Client
	policy  atomic.Pointer[fleet.Config]
	term    atomic.Pointer[cell.Driver]

	// told is what Run told last of an owner that is gone.
	told string

	mu sync.Mutex
	// owner is the address of the owner, as far as it is known, and heard when it last answered and
	// reached the store; answered also counts answers of an owner without the store.
	owner    string
	epoch    int64
	heard    time.Time
	answered time.Time
	// isolated is set while this instance reaches neither the owner nor the store.
	isolated bool
	changed  chan struct{}
	others   []string
	counts   map[string]int64
	// followers are those that have called this instance while it owned the cell.
	followers map[string]*follower
	// relay is the follower that last reached the store for this owner.
	relay string
	// yielded is when this instance gave the cell to a larger one.
	yielded time.Time
	leaving bool
	left    chan struct{}
}

type follower struct {
	name    string
	address string
	domain  string
	weight  int64
	seen    time.Time
	leaving bool
}

// Prepare makes the host ready to take calls.
func (h *Host) Prepare() {
	h.changed = make(chan struct{})
	h.left = make(chan struct{})
	h.followers = make(map[string]*follower)
	h.counts = make(map[string]int64)
	h.client.InFlight = callsInFlight
	h.answered = time.Now()
}

// Serve answers the calls of other instances until ctx ends.
func (h *Host) Serve(ctx context.Context, l net.Listener) error {
	s := peer.Server{Handle: h.answer, InFlight: callsInFlight}
	return s.Serve(ctx, l)
}

// Config returns the configuration in force; nil means that there is none yet.
func (h *Host) Config() *fleet.Config {
	return h.policy.Load()
}

// Ready reports whether callers should be sent here: the configuration is known and the owner
// of the cell is within reach.
func (h *Host) Ready() bool {
	if h.Config() == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.leaving && time.Since(h.heard) < readySilence
}

// IsOwner reports whether this instance owns the cell.
func (h *Host) IsOwner() bool {
	d := h.term.Load()
	return d != nil && d.StoreReachable()
}

// setOwner notes who owns the cell and wakes requests that wait for it.
func (h *Host) setOwner(address string, epoch int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.owner == address && h.epoch == epoch {
		return
	}
	h.Log.WithField("owner", address).WithField("epoch", epoch).WithField("former", h.owner).Info("owner of the cell has changed")
	h.owner, h.epoch = address, epoch
	if address != "" {
		h.answered = time.Now()
	}
	close(h.changed)
	h.changed = make(chan struct{})
}

// hear notes that the owner is within reach.
func (h *Host) hear() {
	h.mu.Lock()
	h.heard = time.Now()
	h.answered = h.heard
	h.isolated = false
	h.mu.Unlock()
}

// silence returns how long the owner has not answered, and whether this instance is cut off from
// the store as well.
func (h *Host) silence() (d time.Duration, isolated bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.term.Load() != nil {
		return 0, false
	}
	return time.Since(h.answered), h.isolated
}

func (h *Host) setIsolated(isolated bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.isolated = isolated
}

func (h *Host) known() (owner string, heard time.Time, changed <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.owner, h.heard, h.changed
}

// apply puts a configuration in force if it is newer.
func (h *Host) apply(p *fleet.Config, from string) {
	for {
		old := h.policy.Load()
		if old != nil && old.Version >= p.Version {
			return
		}
		if h.policy.CompareAndSwap(old, p) {
			former := int64(0)
			if old != nil {
				former = old.Version
			}
			h.Log.WithField("version", p.Version).WithField("former", former).WithField("from", from).
				WithField("queues", len(p.Queues)).Info("configuration in force")
			return
		}
	}
}

// FollowConfig follows the configuration in the store until ctx ends.
func (h *Host) FollowConfig(ctx context.Context) error {
	var version int64
	away := false
	for ctx.Err() == nil {
		source, next, err := h.WatchConfig(ctx, version)
		if err != nil {
			if !away && ctx.Err() == nil {
				h.Log.WithError(err).Warn("configuration can not be read from the store")
			}
			away = true
			pause(ctx, policyRetry)
			version = 0
			continue
		}
		if away {
			h.Log.Info("configuration can be read from the store again")
		}
		away = false
		version = next
		if version == 0 {
			pause(ctx, policyRetry) // the store is empty, so that it can not hold a call for changes
		}
		if source == nil {
			continue
		}
		p, err := h.DecodeConfig(source)
		if err != nil {
			h.Log.WithError(err).Error("configuration in the store can not be used; the former one stays in force")
			continue
		}
		h.apply(p, "store")
	}
	return nil
}

// policyRetry is the pause before the configuration is read again; it must be in force within 2 s.
const policyRetry = 400 * time.Millisecond

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// answer answers one call of another instance.
func (h *Host) answer(ctx context.Context, req *wire.Request) *wire.Response {
	switch {
	case req.GetFollow() != nil:
		return &wire.Response{Body: &wire.Response_Follow{Follow: h.answerFollow(ctx, req.GetFollow())}}
	case req.GetAnnounce() != nil:
		return &wire.Response{Body: &wire.Response_Follow{Follow: h.answerAnnounce(req.GetAnnounce())}}
	case req.GetJobCall() != nil:
		return &wire.Response{Body: &wire.Response_JobReply{JobReply: h.answerJob(ctx, req.GetJobCall())}}
	case req.GetAdviceCall() != nil:
		return &wire.Response{Body: &wire.Response_AdviceReply{AdviceReply: h.answerAdvice(ctx, req.GetAdviceCall())}}
	case req.GetStoreCall() != nil:
		return &wire.Response{Body: &wire.Response_StoreReply{StoreReply: h.answerStore(ctx, req.GetStoreCall())}}
	}
	return nil
}
