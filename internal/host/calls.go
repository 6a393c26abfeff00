package host

import (
	"context"
	"net"
	"net/http"
	"sort"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/daisyrack/daisyrack/internal/cell"
	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/flow"
	"github.com/daisyrack/daisyrack/pkg/peer"
	"github.com/daisyrack/daisyrack/pkg/wire"
)

// Verbs of calls about jobs between instances.
const (
	verbSubmit = "submit"
	verbState  = "state"
	verbCancel = "cancel"
)

const (
	// ownerWait is how long the owner may be silent before requests are no longer held for it or
	// its successor; a takeover takes about a second.
	ownerWait = 1100 * time.Millisecond

	// callSilence is how long the owner may be silent before calls in progress are given up.
	callSilence = time.Second

	// answerMargin is kept of a caller's deadline for the way back.
	answerMargin = 100 * time.Millisecond

	// retryPause is the pause before a request is handed to the same owner again.
	retryPause = 40 * time.Millisecond

	// tryTimeout bounds one hand-over to the owner; two commits in a slow store take 2 s.
	tryTimeout = 2500 * time.Millisecond

	// avoidedAfter is how long an instance must have been cut off for the balancer to have chosen
	// others: readiness is withdrawn, and two probes, one a second, have failed.
	avoidedAfter = readySilence + 2200*time.Millisecond

	// rejectWait is what callers are told to wait when there is no owner.
	rejectWait = time.Second
)

// Submit hands a job in; a repeat with the same id is the same job.
func (h *Host) Submit(ctx context.Context, id string, spec flow.Spec) cell.Reply {
	call := &wire.JobCall{Verb: verbSubmit, Job: id, Queue: spec.Queue, Record: spec.Record()}
	return h.route(ctx, call, func(ctx context.Context, d *cell.Driver) cell.Reply { return d.Submit(ctx, id, spec) })
}

// Cancel ends a job.
func (h *Host) Cancel(ctx context.Context, id string) cell.Reply {
	return h.route(ctx, &wire.JobCall{Verb: verbCancel, Job: id}, func(ctx context.Context, d *cell.Driver) cell.Reply {
		return d.Cancel(ctx, id)
	})
}

// State tells the state of a job.
func (h *Host) State(ctx context.Context, id string) cell.Reply {
	return h.route(ctx, &wire.JobCall{Verb: verbState, Job: id}, func(ctx context.Context, d *cell.Driver) cell.Reply {
		return d.State(ctx, id)
	})
}

// QueueLength returns the number of accepted jobs of a queue that have not begun; false means that
// no figure younger than the owner's silence is known.
func (h *Host) QueueLength(ctx context.Context, queue string) (int64, bool) {
	if d := h.term.Load(); d != nil {
		counts := d.PendingJobs(ctx)
		return counts[queue], counts != nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.counts[queue], time.Since(h.heard) < readySilence
}

// route hands a call to the owner, again after a change of the owner, until its outcome is known
// or time runs out. All calls can be repeated.
func (h *Host) route(ctx context.Context, call *wire.JobCall, local func(context.Context, *cell.Driver) cell.Reply) cell.Reply {
	ctx, cancel := withMargin(ctx)
	defer cancel()
	begun := time.Now()
	sent := false
	last := cell.Reply{Outcome: cell.Unknown, Reason: "no outcome in time"}
	for {
		owner, _, changed := h.known()
		reply := cell.Reply{Outcome: cell.NotOwner}
		if d := h.term.Load(); d != nil {
			reply = h.tryLocal(ctx, d, local)
		} else if owner != "" && owner != h.Address {
			reply = h.tryOwner(ctx, owner, changed, call)
		}
		switch reply.Outcome {
		case cell.NotOwner:
		case cell.Unknown:
			sent = true
			last = reply
		default:
			return reply
		}
		silence, _ := h.silence()
		if ctx.Err() != nil || silence > ownerWait || !sent && time.Since(begun) > ownerWait {
			if !sent {
				return h.reject(call, begun)
			}
			return last
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(retryPause):
		}
	}
}

func withMargin(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline.Add(-answerMargin))
}

func (h *Host) tryLocal(ctx context.Context, d *cell.Driver, local func(context.Context, *cell.Driver) cell.Reply) cell.Reply {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	return local(ctx, d)
}

// reject answers a request that never left this instance.
func (h *Host) reject(call *wire.JobCall, begun time.Time) cell.Reply {
	owner, heard, _ := h.known()
	silence, isolated := h.silence()
	wait := rejectWait
	if isolated && silence > avoidedAfter {
		wait = 0 // a new connection leads to another instance
	}
	h.Log.WithField("job", call.GetJob()).WithField("verb", call.GetVerb()).WithField("owner", owner).
		WithField("owner_heard_ms", time.Since(heard).Milliseconds()).
		WithField("waited_ms", time.Since(begun).Milliseconds()).WithField("isolated", isolated).
		Info("request rejected: no owner within reach")
	return cell.Reply{Outcome: cell.Rejected, Reason: "no owner within reach", RetryAfter: wait}
}

// tryOwner hands a call to another instance once, until that one no longer is the owner.
func (h *Host) tryOwner(ctx context.Context, owner string, changed <-chan struct{}, call *wire.JobCall) cell.Reply {
	if silence, _ := h.silence(); silence >= callSilence {
		return cell.Reply{Outcome: cell.NotOwner}
	}
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	go h.cancelInSilence(ctx, cancel, changed)
	res, outcome, err := h.client.Call(ctx, owner, &wire.Request{Body: &wire.Request_JobCall{JobCall: call}})
	r := res.GetJobReply()
	switch {
	case outcome == peer.NotSent, err == nil && res.GetFailure().GetNotRun():
		return cell.Reply{Outcome: cell.NotOwner}
	case err != nil:
		h.Log.WithField("job", call.GetJob()).WithField("verb", call.GetVerb()).WithField("owner", owner).
			WithError(err).Info("owner did not answer a request; it is repeated")
		return cell.Reply{Outcome: cell.Unknown, Reason: "the owner did not answer"}
	case r == nil:
		return cell.Reply{Outcome: cell.Unknown, Reason: res.GetFailure().GetReason()}
	}
	state, _ := flow.ParseState(r.GetState())
	return cell.Reply{
		Outcome: cell.ParseOutcome(r.GetOutcome()), State: state, Reason: r.GetReason(),
		RetryAfter: time.Duration(r.GetRetryAfterMs()) * time.Millisecond,
	}
}

// cancelInSilence ends a call to the owner when another instance owns the cell or the owner has
// been silent for long.
func (h *Host) cancelInSilence(ctx context.Context, cancel context.CancelFunc, changed <-chan struct{}) {
	for {
		silence, _ := h.silence()
		if silence >= callSilence {
			cancel()
			return
		}
		t := time.NewTimer(callSilence - silence)
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

// answerJob carries out a call that another instance took from a caller.
func (h *Host) answerJob(ctx context.Context, call *wire.JobCall) *wire.JobReply {
	r := cell.Reply{Outcome: cell.NotOwner}
	if d := h.term.Load(); d != nil {
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

// answerFollow holds the call of a follower for a while and tells it the state of the cell.
func (h *Host) answerFollow(ctx context.Context, f *wire.Follow) *wire.FollowReply {
	d := h.term.Load()
	if d == nil {
		owner, _, _ := h.known()
		if owner == h.Address {
			owner = ""
		}
		return &wire.FollowReply{OwnerAddress: owner, Resigned: h.isLeaving() || h.isYielding()}
	}
	h.noteFollower(f)
	p := h.Config()
	if p.Version <= f.GetConfigVersion() && !f.GetAtOnce() {
		pauseTerm(ctx, d, followHold)
		p = h.Config()
	}
	if h.term.Load() != d {
		return &wire.FollowReply{Resigned: true}
	}
	h.mu.Lock()
	r := &wire.FollowReply{Epoch: max(h.epoch, 1), ConfigVersion: p.Version, Followers: h.candidates(), StoreAway: !d.StoreReachable()}
	h.mu.Unlock()
	if p.Version > f.GetConfigVersion() {
		r.Config = p.Source
	}
	for queue, n := range d.LastPendingJobs() {
		r.Counts = append(r.Counts, &wire.QueueCount{Queue: queue, Waiting: n})
	}
	return r
}

func pauseTerm(ctx context.Context, d *cell.Driver, wait time.Duration) {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-d.Done():
	case <-t.C:
	}
}

func (h *Host) noteFollower(f *wire.Follow) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.followers[f.GetName()] == nil {
		h.Log.WithField("follower", f.GetName()).WithField("address", f.GetAddress()).Info("instance follows")
	}
	h.followers[f.GetName()] = &follower{
		name: f.GetName(), address: f.GetAddress(), domain: f.GetFailureDomain(), weight: f.GetWeight(),
		seen: time.Now(), leaving: f.GetLeaving(),
	}
}

// live returns the followers that called lately, the largest first. The caller holds mu.
func (h *Host) live() []*follower {
	var out []*follower
	for _, f := range h.followers {
		if time.Since(f.seen) < followerMemory && !f.leaving {
			out = append(out, f)
		}
	}
	sort.Slice(out, func(i, k int) bool {
		if out[i].weight != out[k].weight {
			return out[i].weight > out[k].weight
		}
		return out[i].name < out[k].name
	})
	return out
}

// candidates returns the addresses of the followers in the order in which they take over.
func (h *Host) candidates() []string {
	var out []string
	for _, f := range h.live() {
		out = append(out, f.address)
	}
	return out
}

// advisers returns who can call the policy service now: the followers and the owner itself.
func (h *Host) advisers() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append(h.candidates(), h.Address)
}

// ask makes one call of the policy service through an instance.
func (h *Host) ask(ctx context.Context, adviser string, q *cell.AdviceRequest) ([]fleet.Ticket, time.Duration, error) {
	if adviser == h.Address {
		return h.Advise(ctx, q.Step, q.Executors)
	}
	res, _, err := h.client.Call(ctx, adviser, &wire.Request{Body: &wire.Request_AdviceCall{AdviceCall: &wire.AdviceCall{
		Job: q.Step.Job, Occurrence: int64(q.Step.Occurrence), Step: int64(q.Step.Step), Executors: q.Executors,
	}}})
	if err != nil {
		return nil, 0, err
	}
	r := res.GetAdviceReply()
	if r.GetOutcome() != adviceAnswered {
		return nil, 0, errors.Newf("host: advice through %s: %s", adviser, r.GetOutcome())
	}
	tickets := make([]fleet.Ticket, 0, len(r.GetTickets()))
	for _, t := range r.GetTickets() {
		tickets = append(tickets, fleet.Ticket{Executor: t.GetExecutor(), Value: t.GetValue()})
	}
	return tickets, time.Duration(r.GetValidMs()) * time.Millisecond, nil
}

// Outcomes of advice calls between instances.
const (
	adviceAnswered = "answered"
	adviceFailed   = "failed"
)

func (h *Host) answerAdvice(ctx context.Context, c *wire.AdviceCall) *wire.AdviceReply {
	step := fleet.StepID{Job: c.GetJob(), Occurrence: int(c.GetOccurrence()), Step: int(c.GetStep())}
	tickets, valid, err := h.Advise(ctx, step, c.GetExecutors())
	if err != nil {
		h.Log.WithField("job", step.Job).WithField("step", step.Step).WithError(err).Info("policy service did not answer")
		return &wire.AdviceReply{Outcome: adviceFailed}
	}
	r := &wire.AdviceReply{Outcome: adviceAnswered, ValidMs: valid.Milliseconds()}
	for _, t := range tickets {
		r.Tickets = append(r.Tickets, &wire.Ticket{Executor: t.Executor, Value: t.Value})
	}
	return r
}

// readStagger and commitStagger are the pauses before a call to the store is tried through one
// more instance. Copies of a transaction wait behind each other in a slow store.
const (
	readStagger   = 80 * time.Millisecond
	commitStagger = 900 * time.Millisecond
)

// relayWidth bounds the instances through which one call is tried.
const relayWidth = 4

// Relay makes a call to the store through followers, one after another until one is served. A
// refusal is returned only if all were refused; status 0 means that there is no answer, and sent
// tells whether a copy may have reached the store without being refused.
func (h *Host) Relay(ctx context.Context, method, target string, body []byte) (status int, answer []byte, sent bool) {
	through := h.relays()
	if len(through) == 0 {
		return 0, nil, false
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		address string
		outcome peer.Outcome
		reply   *wire.StoreReply
	}
	results := make(chan result, len(through))
	started, open := 0, 0
	pause := readStagger
	if method != http.MethodGet {
		pause = commitStagger
	}
	stagger := time.NewTimer(0)
	defer stagger.Stop()
	for {
		select {
		case <-stagger.C:
			if started == len(through) {
				continue
			}
			a := through[started]
			started++
			open++
			stagger.Reset(pause)
			go func() {
				res, outcome, _ := h.client.Call(ctx, a, &wire.Request{Body: &wire.Request_StoreCall{StoreCall: &wire.StoreCall{
					Method: method, Target: target, Body: body,
				}}})
				results <- result{a, outcome, res.GetStoreReply()}
			}()
		case r := <-results:
			open--
			refusal := r.reply.GetStatus() == http.StatusServiceUnavailable || r.reply.GetStatus() == http.StatusTooManyRequests
			sent = sent || r.outcome != peer.NotSent && !refusal
			if refusal {
				status = int(r.reply.GetStatus())
			}
			if r.reply.GetStatus() != 0 && !refusal {
				h.mu.Lock()
				h.relay = r.address
				h.mu.Unlock()
				return int(r.reply.GetStatus()), r.reply.GetBody(), true
			}
			if open == 0 && started == len(through) {
				if sent {
					status = 0
				}
				return status, nil, sent
			}
			stagger.Reset(0)
		case <-ctx.Done():
			return 0, nil, true
		}
	}
}

// relays returns the followers to try, the last one that had an answer first, then those of
// other failure domains, since a domain often loses the store as a whole.
func (h *Host) relays() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.term.Load() == nil {
		return nil
	}
	live := h.live()
	sort.SliceStable(live, func(i, k int) bool {
		return h.relayOrder(live[i]) < h.relayOrder(live[k])
	})
	out := make([]string, 0, relayWidth)
	for _, f := range live[:min(len(live), relayWidth)] {
		out = append(out, f.address)
	}
	return out
}

func (h *Host) relayOrder(f *follower) int {
	switch {
	case f.address == h.relay:
		return 0
	case f.domain != h.Domain:
		return 1
	}
	return 2
}

func (h *Host) answerStore(ctx context.Context, c *wire.StoreCall) *wire.StoreReply {
	status, body := h.StoreCall(ctx, c.GetMethod(), c.GetTarget(), c.GetBody())
	return &wire.StoreReply{Status: int64(status), Body: body}
}

// refused reports whether no process listens at the address that was called.
func refused(err error) bool {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return true
	}
	var op *net.OpError
	return errors.As(err, &op) && strings.Contains(op.Error(), "connection refused")
}
