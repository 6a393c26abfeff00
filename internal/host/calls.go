package host

import (
	"context"
	"net"
	"slices"
	"sort"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/daisyrack/daisyrack/internal/cell"
	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/flow"
	"github.com/daisyrack/daisyrack/pkg/peer"
	"github.com/daisyrack/daisyrack/pkg/wire"
)

// Verbs of the job calls between instances.
const (
	verbSubmit = "submit"
	verbState  = "state"
	verbCancel = "cancel"
)

const (
	// holdTimeout is how long the owner may fail to respond before requests are no longer held for
	// it or its successor; a takeover takes about a second.
	holdTimeout = 1100 * time.Millisecond

	// inFlightTimeout is how long the owner may fail to respond before calls in flight are cancelled.
	inFlightTimeout = time.Second

	// deadlineMargin is the part of a client's deadline that is reserved for returning the response.
	deadlineMargin = 100 * time.Millisecond

	// retryInterval is the time before a request is sent to the same owner again.
	retryInterval = 40 * time.Millisecond

	// attemptTimeout is the timeout of one attempt at the owner; two commits in a slow store take
	// 2 s.
	attemptTimeout = 2500 * time.Millisecond

	// balancerReactionTime is how long after an instance is cut off the load balancer directs new
	// connections to other instances: the instance reports not ready after readyTimeout, and the load
	// balancer, which sends one probe per second, then needs two failed probes.
	balancerReactionTime = readyTimeout + 2200*time.Millisecond

	// noOwnerRetryAfter is the delay after which clients are told to retry while there is no owner.
	noOwnerRetryAfter = time.Second
)

// Submit submits a job. It is idempotent: a repeated call with the same id refers to the same job.
func (h *Host) Submit(ctx context.Context, id string, spec flow.Spec) cell.Reply {
	call := &wire.JobCall{Verb: verbSubmit, Job: id, Queue: spec.Queue, Record: spec.Record()}
	return h.route(ctx, call, func(ctx context.Context, d *cell.Driver) cell.Reply { return d.Submit(ctx, id, spec) })
}

// Cancel cancels a job.
func (h *Host) Cancel(ctx context.Context, id string) cell.Reply {
	return h.route(ctx, &wire.JobCall{Verb: verbCancel, Job: id}, func(ctx context.Context, d *cell.Driver) cell.Reply {
		return d.Cancel(ctx, id)
	})
}

// State returns the state of a job.
func (h *Host) State(ctx context.Context, id string) cell.Reply {
	return h.route(ctx, &wire.JobCall{Verb: verbState, Job: id}, func(ctx context.Context, d *cell.Driver) cell.Reply {
		return d.State(ctx, id)
	})
}

// QueueLength returns the number of accepted jobs of a queue that have not started, and false if no
// number newer than readyTimeout is known.
func (h *Host) QueueLength(ctx context.Context, queue string) (int64, bool) {
	if d := h.driver.Load(); d != nil {
		counts := d.PendingJobs(ctx)
		return counts[queue], counts != nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.queueLengths[queue], time.Since(h.lastHealthy) < readyTimeout
}

// route sends a call to the owner, and repeats it after errors and changes of the owner, until its
// outcome is known or time runs out. All calls are idempotent. While this instance is the owner
// itself, local executes the call.
func (h *Host) route(ctx context.Context, call *wire.JobCall, local func(context.Context, *cell.Driver) cell.Reply) cell.Reply {
	ctx, cancel := withDeadlineMargin(ctx)
	defer cancel()
	start := time.Now()
	sent := false
	last := cell.Reply{Outcome: cell.Unknown, Reason: "no outcome in time"}
	for {
		owner, _, changed := h.currentOwner()
		reply := cell.Reply{Outcome: cell.NotOwner}
		if d := h.driver.Load(); d != nil {
			reply = h.callLocal(ctx, d, local)
		} else if owner != "" && owner != h.Address {
			reply = h.callOwner(ctx, owner, changed, call)
		}
		switch reply.Outcome {
		case cell.NotOwner:
		case cell.Unknown:
			sent = true
			last = reply
		default:
			return reply
		}
		silence, _ := h.sinceLastResponse()
		if ctx.Err() != nil || silence > holdTimeout || !sent && time.Since(start) > holdTimeout {
			if !sent {
				return h.reject(call, start)
			}
			return last
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(retryInterval):
		}
	}
}

func withDeadlineMargin(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline.Add(-deadlineMargin))
}

func (h *Host) callLocal(ctx context.Context, d *cell.Driver, call func(context.Context, *cell.Driver) cell.Reply) cell.Reply {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return call(ctx, d)
}

// reject returns the reply to a request that was never sent to an owner.
func (h *Host) reject(call *wire.JobCall, start time.Time) cell.Reply {
	owner, lastHealthy, _ := h.currentOwner()
	silence, isolated := h.sinceLastResponse()
	wait := noOwnerRetryAfter
	if isolated && silence > balancerReactionTime {
		wait = 0 // the load balancer directs a new connection to another instance
	}
	h.Log.WithField("job", call.GetJob()).WithField("verb", call.GetVerb()).WithField("owner", owner).
		WithField("owner_heard_ms", time.Since(lastHealthy).Milliseconds()).
		WithField("waited_ms", time.Since(start).Milliseconds()).WithField("isolated", isolated).
		Info("request rejected: no reachable owner")
	return cell.Reply{Outcome: cell.Rejected, Reason: "no owner within reach", RetryAfter: wait}
}

// callOwner makes one attempt of a call at the owner, which is another instance. The attempt is
// cancelled when the owner changes.
func (h *Host) callOwner(ctx context.Context, owner string, changed <-chan struct{}, call *wire.JobCall) cell.Reply {
	if silence, _ := h.sinceLastResponse(); silence >= inFlightTimeout {
		return cell.Reply{Outcome: cell.NotOwner}
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	go h.cancelWhenOwnerLost(ctx, cancel, changed)
	res, outcome, err := h.peerClient.Call(ctx, owner, &wire.Request{Body: &wire.Request_JobCall{JobCall: call}})
	r := res.GetJobReply()
	switch {
	case outcome == peer.NotSent, err == nil && res.GetFailure().GetNotRun():
		return cell.Reply{Outcome: cell.NotOwner}
	case err != nil:
		h.Log.WithField("job", call.GetJob()).WithField("verb", call.GetVerb()).WithField("owner", owner).
			WithError(err).Info("owner did not respond to a request; retrying")
		return cell.Reply{Outcome: cell.Unknown, Reason: "the owner did not answer"}
	case r == nil:
		return cell.Reply{Outcome: cell.Unknown, Reason: res.GetFailure().GetReason()}
	}
	state, _ := flow.ParseState(r.GetState())
	return cell.Reply{
		Outcome: cell.ParseOutcome(r.GetOutcome()), State: state, Reason: r.GetReason(),
		RetryAfter: fleet.Millis(r.GetRetryAfterMs()),
	}
}

// cancelWhenOwnerLost cancels a call to the owner when the owner changes or has not responded for
// inFlightTimeout.
func (h *Host) cancelWhenOwnerLost(ctx context.Context, cancel context.CancelFunc, changed <-chan struct{}) {
	for {
		silence, _ := h.sinceLastResponse()
		if silence >= inFlightTimeout {
			cancel()
			return
		}
		t := time.NewTimer(inFlightTimeout - silence)
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		case <-t.C:
			continue
		}
		t.Stop()
		return
	}
}

// handleJobCall executes a job call that another instance received from a client.
func (h *Host) handleJobCall(ctx context.Context, call *wire.JobCall) *wire.JobReply {
	r := cell.Reply{Outcome: cell.NotOwner}
	if d := h.driver.Load(); d != nil {
		switch call.GetVerb() {
		case verbSubmit:
			r = d.Submit(ctx, call.GetJob(), flow.SpecFromRecord(call.GetRecord()))
		case verbCancel:
			r = d.Cancel(ctx, call.GetJob())
		case verbState:
			r = d.State(ctx, call.GetJob())
		default:
			r = cell.Reply{Outcome: cell.Rejected, Reason: "unknown verb " + call.GetVerb()}
		}
	}
	return &wire.JobReply{
		Outcome: r.Outcome.String(), State: r.State.String(), Reason: r.Reason,
		RetryAfterMs: r.RetryAfter.Milliseconds(),
	}
}

// handleFollow serves a single follow call: it holds the call for followHoldTime and returns the
// state of the cell.
func (h *Host) handleFollow(ctx context.Context, f *wire.Follow) *wire.FollowReply {
	d := h.driver.Load()
	if d == nil {
		return h.followReply(nil, f)
	}
	h.recordFollower(f)
	if h.Config().Version <= f.GetConfigVersion() && !f.GetAtOnce() {
		sleepDuringTerm(ctx, d, followHoldTime)
	}
	if h.driver.Load() != d {
		return resigned(d)
	}
	return h.followReply(d, f)
}

// sleepDuringTerm sleeps for wait, or until the term of d ends if that is sooner.
func sleepDuringTerm(ctx context.Context, d *cell.Driver, wait time.Duration) {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-d.Done():
	case <-t.C:
	}
}

// recordFollower stores the state that a follower sent.
func (h *Host) recordFollower(f *wire.Follow) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.followers[f.GetName()]
	if old == nil {
		h.Log.WithField("follower", f.GetName()).WithField("address", f.GetAddress()).Info("new follower")
	}
	if old == nil || old.leaving != f.GetLeaving() {
		h.live.listedAt = time.Time{}
	}
	h.followers[f.GetName()] = &follower{
		name: f.GetName(), address: f.GetAddress(), domain: f.GetFailureDomain(), weight: f.GetWeight(),
		lastCall: time.Now(), leaving: f.GetLeaving(), readsPlaces: f.GetReadsPlaces(),
		tellsIncarnations: f.GetTellsIncarnations(),
	}
}

// hasFormerFollowers reports whether an instance of a former version, which does not read the places of jobs from
// rows of their own, may take over.
func (h *Host) hasFormerFollowers() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, f := range h.liveFollowers().followers {
		if !f.readsPlaces {
			return true
		}
	}
	return false
}

// liveListInterval is how long a list of live followers is used before it is made anew.
const liveListInterval = 20 * time.Millisecond

// liveList is a list of the live followers, in the order in which they take over.
type liveList struct {
	listedAt  time.Time
	followers []*follower
	addresses []string
	// hash identifies the addresses; it is never 0.
	hash uint64
}

// liveFollowers returns the followers that called within followerTTL and are not leaving, those
// with the highest weight first. The caller must hold h.mu and not change the list.
func (h *Host) liveFollowers() *liveList {
	if time.Since(h.live.listedAt) < liveListInterval {
		return &h.live
	}
	l := liveList{listedAt: time.Now()}
	for _, f := range h.followers {
		if time.Since(f.lastCall) < followerTTL && !f.leaving {
			l.followers = append(l.followers, f)
		}
	}
	sort.Slice(l.followers, func(i, k int) bool {
		if l.followers[i].weight != l.followers[k].weight {
			return l.followers[i].weight > l.followers[k].weight
		}
		return l.followers[i].name < l.followers[k].name
	})
	for _, f := range l.followers {
		l.addresses = append(l.addresses, f.address)
	}
	l.hash = xxhash.Sum64String(strings.Join(l.addresses, " ")) | 1
	h.live = l
	return &h.live
}

// maxAdvisers limits the advisers. Each serves one call at a time, and a connection to each costs
// processor time even without calls.
const maxAdvisers = 128

// advisers returns the addresses of the advisers, the instances through which the policy service can
// be called: the largest live followers and this instance.
func (h *Host) advisers() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	followers := h.liveFollowers().addresses
	return append(slices.Clone(followers[:min(len(followers), maxAdvisers)]), h.Address)
}

// requestAdvice makes one call to the policy service through the instance at address adviser.
func (h *Host) requestAdvice(ctx context.Context, adviser string, req *cell.AdviceRequest) ([]fleet.Ticket, time.Duration, error) {
	if adviser == h.Address {
		return h.Advise(ctx, req.Step, req.Executors)
	}
	res, _, err := h.peerClient.Call(ctx, adviser, &wire.Request{Body: &wire.Request_AdviceCall{AdviceCall: &wire.AdviceCall{
		Job: req.Step.Job, Occurrence: int64(req.Step.Occurrence), Step: int64(req.Step.Step), Executors: req.Executors,
	}}})
	if err != nil {
		return nil, 0, err
	}
	r := res.GetAdviceReply()
	if r.GetOutcome() != adviceAnswered {
		return nil, 0, errors.Newf("host: call to the policy service through %s ended with outcome %q", adviser, r.GetOutcome())
	}
	tickets := make([]fleet.Ticket, 0, len(r.GetTickets()))
	for _, t := range r.GetTickets() {
		tickets = append(tickets, fleet.Ticket{Executor: t.GetExecutor(), Value: t.GetValue()})
	}
	return tickets, fleet.Millis(r.GetValidMs()), nil
}

// Outcomes of advice calls between instances.
const (
	adviceAnswered = "answered"
	adviceFailed   = "failed"
)

func (h *Host) handleAdviceCall(ctx context.Context, c *wire.AdviceCall) *wire.AdviceReply {
	step := fleet.StepID{Job: c.GetJob(), Occurrence: int(c.GetOccurrence()), Step: int(c.GetStep())}
	tickets, valid, err := h.Advise(ctx, step, c.GetExecutors())
	if err != nil {
		h.Log.WithField("job", step.Job).WithField("step", step.Step).WithError(err).Info("policy service did not respond")
		return &wire.AdviceReply{Outcome: adviceFailed}
	}
	r := &wire.AdviceReply{Outcome: adviceAnswered, ValidMs: valid.Milliseconds()}
	for _, t := range tickets {
		r.Tickets = append(r.Tickets, &wire.Ticket{Executor: t.Executor, Value: t.Value})
	}
	return r
}

// connectionRefused reports whether no process listens at the address that was called.
func connectionRefused(err error) bool {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return true
	}
	var op *net.OpError
	return errors.As(err, &op) && strings.Contains(op.Error(), "connection refused")
}
