package front

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gin-gonic/gin"

	"github.com/daisyrack/daisyrack/pkg/config"
	"github.com/daisyrack/daisyrack/pkg/event"
	"github.com/daisyrack/daisyrack/pkg/once"
	"github.com/daisyrack/daisyrack/pkg/queue"
	"github.com/daisyrack/daisyrack/pkg/route"
)

// Headers of requests and answers.
const (
	HeaderUser          = "Daisyrack-User"
	HeaderTeam          = "Daisyrack-Team"
	HeaderClass         = "Daisyrack-Class"
	HeaderDeadline      = "Daisyrack-Deadline-Ms"
	HeaderNonIdempotent = "Daisyrack-Non-Idempotent"
	HeaderKey           = "Idempotency-Key"
	HeaderRequestID     = "Daisyrack-Request-Id"
	HeaderOutcome       = "Daisyrack-Outcome"
	HeaderReason        = "Daisyrack-Reason"
	HeaderInstance      = "Daisyrack-Instance"
)

const (
	maxNameBytes = 127
	maxKeyBytes  = 255

	// elsewhereWait bounds the wait for the answer of a request with the same key
	// on another instance, which records it at its next transaction;
	// elsewherePoll is the pause between looks at the row.
	elsewhereWait = 2 * time.Second
	elsewherePoll = 100 * time.Millisecond

	// withdrawTimeout bounds the wait of a refused caller for its claim's withdrawal.
	withdrawTimeout = time.Second
)

// call is one caller's request with what the headers said.
type call struct {
	ticket *ticket
	user   string
	key    string
}

// outcome is what the caller is told.
type outcome struct {
	route.Answer
	status int
}

func (f *Front) serveRequest(c *gin.Context) {
	f.counters.Received.Add(1)
	id := f.requestID()
	started := f.Now()
	call, refused := f.parse(c, id, started)
	if refused != nil {
		f.reply(c, id, started, *refused)
		return
	}
	f.Record(event.Event{Kind: event.RequestReceived, Request: id, Detail: c.Param("route")})
	f.reply(c, id, started, f.run(c.Request.Context(), call))
}

func refused(status int, reason string, retryAfter time.Duration) outcome {
	return outcome{
		Answer: route.Answer{Outcome: route.Refused, Reason: reason, RetryAfter: retryAfter},
		status: status,
	}
}

func badRequest(reason string) *outcome {
	out := refused(http.StatusBadRequest, reason, 0)
	return &out
}

// parse reads a request; a fault in it is a refusal.
func (f *Front) parse(c *gin.Context, id string, now time.Time) (*call, *outcome) {
	if reason := f.Ready(); reason != "" {
		out := refused(http.StatusServiceUnavailable, reason, ringRetryAfter)
		return nil, &out
	}
	rt, ok := f.Config.Current().Routes[c.Param("route")]
	if !ok {
		out := refused(http.StatusNotFound, "no route has this name", 0)
		return nil, &out
	}
	k := &call{user: c.GetHeader(HeaderUser), key: c.GetHeader(HeaderKey)}
	if k.user == "" || len(k.user) > maxNameBytes || len(c.GetHeader(HeaderTeam)) > maxNameBytes {
		return nil, badRequest(HeaderUser + " is required, of at most 127 bytes, " + HeaderTeam + " likewise")
	}
	class, reason := classOf(c.GetHeader(HeaderClass), rt)
	if reason != "" {
		return nil, badRequest(reason)
	}
	deadline, reason := deadlineOf(c.GetHeader(HeaderDeadline), rt)
	if reason != "" {
		return nil, badRequest(reason)
	}
	nonIdempotent, reason := f.nonIdempotent(c, rt, k.key)
	if reason != "" {
		return nil, badRequest(reason)
	}
	body, out := readBody(c, rt)
	if out != nil {
		return nil, out
	}
	k.ticket = newTicket(route.Request{
		ID:            id,
		Route:         rt.Name,
		Class:         class.String(),
		Team:          config.Account(k.user, c.GetHeader(HeaderTeam)),
		Body:          body,
		ContentType:   c.ContentType(),
		NonIdempotent: nonIdempotent,
		Key:           keyIf(nonIdempotent, k.key),
		Deadline:      now.Add(deadline),
	}, class, now)
	return k, nil
}

// keyIf passes a key on only where it names the one run of a request.
func keyIf(nonIdempotent bool, key string) string {
	if nonIdempotent {
		return key
	}
	return ""
}

func classOf(text string, rt config.Route) (queue.Class, string) {
	if text == "" {
		text = rt.Class
	}
	class, err := queue.ParseClass(text)
	if err != nil {
		return 0, HeaderClass + " must be urgent, normal or deferrable"
	}
	return class, ""
}

func deadlineOf(text string, rt config.Route) (time.Duration, string) {
	if text == "" {
		return rt.Deadline(), ""
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 {
		return 0, HeaderDeadline + " must be a number of milliseconds above 0"
	}
	return min(time.Duration(min(ms, rt.DeadlineMS))*time.Millisecond, rt.Deadline()), ""
}

func (f *Front) nonIdempotent(c *gin.Context, rt config.Route, key string) (bool, string) {
	marked := rt.NonIdempotent
	switch c.GetHeader(HeaderNonIdempotent) {
	case "", "false":
	case "true":
		marked = true
	default:
		return false, HeaderNonIdempotent + " must be true or false"
	}
	if marked && (key == "" || len(key) > maxKeyBytes) {
		return false, "a non-idempotent request needs an " + HeaderKey + " of at most 255 bytes"
	}
	return marked, ""
}

func readBody(c *gin.Context, rt config.Route) ([]byte, *outcome) {
	body, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, rt.MaxBodyBytes))
	if err == nil {
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if ok := asTooLarge(err, &tooLarge); ok {
		out := refused(http.StatusRequestEntityTooLarge, "the body is too large", 0)
		return nil, &out
	}
	return nil, badRequest("the body could not be read")
}

// run takes a request through queue, claim and backend server.
func (f *Front) run(ctx context.Context, k *call) outcome {
	if !f.Dispatcher.offer(k.ticket) {
		return refused(http.StatusServiceUnavailable, "too many requests are arriving", ringRetryAfter)
	}
	t := f.wait(ctx, k.ticket)
	f.Waited(k.ticket.request.Class, f.Now().Sub(k.ticket.item.Enqueued))
	if t.kind == turnRefused {
		return refused(t.status, t.reason, t.retryAfter)
	}
	defer func() { f.Dispatcher.finished <- k.ticket }()
	if t.kind == turnClaim {
		return f.runOnce(ctx, k)
	}
	return forwarded(f.Router.Do(ctx, t.slot, k.ticket.request))
}

// wait returns the request's turn; when the caller goes, a request that still
// waits is refused.
func (f *Front) wait(ctx context.Context, k *ticket) turn {
	select {
	case t := <-k.turns:
		return t
	case <-ctx.Done():
	}
	f.Dispatcher.leavers <- k
	t := <-k.turns
	if t.kind == turnRefused {
		return t
	}
	if t.kind == turnSlot {
		f.Router.GiveBack(t.slot)
	}
	f.Dispatcher.finished <- k
	return refusal(http.StatusServiceUnavailable, "the caller has gone", 0)
}

// runOnce runs a non-idempotent request under a claim of its key. It goes on
// when the caller has gone, so that the outcome is recorded.
func (f *Front) runOnce(ctx context.Context, k *call) outcome {
	r := &k.ticket.request
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.Deadline)
	defer cancel()
	claim, verdict := f.claim(ctx, k)
	if verdict != once.Run {
		return f.unclaimed(claim, verdict)
	}
	return f.runClaimed(ctx, k, claim)
}

// claim claims the key of a request. While an earlier request with the key is
// running here, or may be running on another instance, it waits for that answer.
func (f *Front) claim(ctx context.Context, k *call) (once.Claim, once.Verdict) {
	r := &k.ticket.request
	elsewhere := f.Now().Add(elsewhereWait)
	for {
		claim, verdict := f.Once.Claim(ctx, k.user, k.key, hashOf(r))
		switch {
		case verdict == once.InProgress:
			if answer, ok := claim.Wait(ctx); ok {
				return once.Claim{Answer: answer}, once.Replay
			}
		case verdict == once.MayHaveRun && f.Now().Before(elsewhere):
			pause(ctx, elsewherePoll)
		default:
			return claim, verdict
		}
		if ctx.Err() != nil {
			return claim, once.MayHaveRun
		}
	}
}

// pause waits for a time or the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func hashOf(r *route.Request) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(r.Route)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(r.Body)
	return h.Sum64()
}

func unknown(reason string) outcome {
	return outcome{
		Answer: route.Answer{Outcome: route.Unknown, Reason: reason, MayHaveRun: true},
		status: http.StatusGatewayTimeout,
	}
}

func (f *Front) unclaimed(claim once.Claim, v once.Verdict) outcome {
	switch v {
	case once.Replay:
		return f.replayed(claim.Answer)
	case once.Mismatch:
		return refused(http.StatusBadRequest, "the key belongs to a request with another body", 0)
	case once.Unavailable:
		return refused(http.StatusServiceUnavailable, "the key can not be claimed while the table service is unavailable", ringRetryAfter)
	default:
		return unknown("an earlier request with this key may have run")
	}
}

func (f *Front) replayed(a once.Answer) outcome {
	f.counters.Replayed.Add(1)
	answer := route.Answer{Outcome: route.Answered, Status: a.Status, Body: a.Body, ContentType: a.ContentType, Reason: "recorded answer"}
	if a.Status >= http.StatusInternalServerError {
		answer.Outcome = route.Failed
	}
	return forwarded(answer)
}

// runClaimed forwards a request whose key it holds, and records the outcome.
func (f *Front) runClaimed(ctx context.Context, k *call, claim once.Claim) outcome {
	f.Dispatcher.returns <- k.ticket
	t := <-k.ticket.turns
	if t.kind == turnRefused {
		f.withdraw(claim)
		return refused(t.status, t.reason, t.retryAfter)
	}
	answer := f.Router.Do(ctx, t.slot, k.ticket.request)
	out := forwarded(answer)
	switch answer.Outcome {
	case route.Refused:
		f.withdraw(claim)
	case route.Unknown:
		f.Once.Abandon(claim)
	default:
		f.finish(claim, once.Answer{Status: out.status, Body: answer.Body, ContentType: answer.ContentType})
	}
	return out
}

// finish records an answer without keeping the caller waiting for the commit. If
// the instance dies before, a repeat gets "unknown" and does not run again.
func (f *Front) finish(claim once.Claim, answer once.Answer) {
	f.recording.Go(func() { f.Once.Finish(context.Background(), claim, answer) })
}

// Drain waits until the answers of non-idempotent requests are recorded.
func (f *Front) Drain(ctx context.Context) {
	recorded := make(chan struct{})
	go func() {
		f.recording.Wait()
		close(recorded)
	}()
	select {
	case <-recorded:
	case <-ctx.Done():
	}
	f.Once.Drain(ctx)
}

// withdraw gives a claim back although the request's deadline may have passed.
func (f *Front) withdraw(claim once.Claim) {
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	f.Once.Withdraw(ctx, claim)
}

// forwarded adds the status that the caller sees.
func forwarded(a route.Answer) outcome {
	switch a.Outcome {
	case route.Answered:
		return outcome{Answer: a, status: a.Status}
	case route.Failed:
		return outcome{Answer: a, status: http.StatusBadGateway}
	case route.Unknown:
		return outcome{Answer: a, status: http.StatusGatewayTimeout}
	default:
		return outcome{Answer: a, status: http.StatusServiceUnavailable}
	}
}
