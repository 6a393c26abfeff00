package front

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/daisyrack/daisyrack/pkg/once"
	"github.com/daisyrack/daisyrack/pkg/route"
)

const (
	// elsewhereWait bounds the wait for the answer of a request with the same key
	// on another instance, which records it at its next transaction;
	// elsewherePoll is the pause between looks at the row.
	elsewhereWait = 2 * time.Second
	elsewherePoll = 100 * time.Millisecond

	// withdrawTimeout bounds the wait of a refused caller for its claim's withdrawal.
	withdrawTimeout = time.Second
)

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
func (f *Front) claim(ctx context.Context, k *call) (once.Claim, once.ClaimResult) {
	r := &k.ticket.request
	elsewhere := f.Now().Add(elsewhereWait)
	for {
		claim, verdict := f.Once.Claim(ctx, k.user, k.key, hashOf(r))
		switch {
		case verdict == once.InProgress:
			if answer, ok := claim.Wait(ctx); ok {
				return once.Claim{Response: answer}, once.Replay
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

func (f *Front) unclaimed(claim once.Claim, v once.ClaimResult) outcome {
	switch v {
	case once.Replay:
		return f.replayed(claim.Response)
	case once.Mismatch:
		return refused(http.StatusBadRequest, "the key belongs to a request with another body", 0)
	case once.Unavailable:
		return refused(http.StatusServiceUnavailable, "the key can not be claimed while the table service is unavailable", ringRetryAfter)
	default:
		return unknown("an earlier request with this key may have run")
	}
}

func (f *Front) replayed(a once.Response) outcome {
	f.counters.Replayed.Add(1)
	answer := route.Response{Outcome: route.Answered, Status: a.Status, Body: a.Body, ContentType: a.ContentType, Reason: "recorded answer"}
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
		f.finish(claim, once.Response{Status: out.status, Body: answer.Body, ContentType: answer.ContentType})
	}
	return out
}

// finish records an answer without keeping the caller waiting for the commit. If
// the instance dies before, a repeat gets "unknown" and does not run again.
func (f *Front) finish(claim once.Claim, answer once.Response) {
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
	f.Once.Release(ctx, claim)
}
