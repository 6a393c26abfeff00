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
	// remoteAnswerTimeout limits the wait for the answer to a request with the same key on
	// another instance, which records the answer with its next transaction.
	remoteAnswerTimeout = 2 * time.Second
	// remoteAnswerPollInterval is the time between reads of the row of the key.
	remoteAnswerPollInterval = 100 * time.Millisecond

	// withdrawTimeout limits how long a refused client waits for the withdrawal of its claim.
	withdrawTimeout = time.Second
)

// runOnce runs a non-idempotent request under a claim of its key. It continues when the client
// disconnects, so that the outcome is recorded.
func (s *Server) runOnce(ctx context.Context, req *clientRequest) response {
	r := &req.pending.request
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.Deadline)
	defer cancel()
	claim, verdict := s.claim(ctx, req)
	if verdict != once.Run {
		return s.responseWithoutClaim(claim, verdict)
	}
	return s.runClaimed(ctx, req, claim)
}

// claim claims the key of a request. While an earlier request with the same key is running on
// this instance, or may be running on another one, it waits for the answer of that request.
func (s *Server) claim(ctx context.Context, req *clientRequest) (once.Claim, once.ClaimResult) {
	r := &req.pending.request
	remoteDeadline := s.Now().Add(remoteAnswerTimeout)
	for {
		claim, verdict := s.Once.Claim(ctx, req.user, req.idempotencyKey, requestHash(r))
		switch {
		case verdict == once.InProgress:
			if answer, ok := claim.Wait(ctx); ok {
				return once.Claim{Response: answer}, once.Replay
			}
		case verdict == once.MayHaveRun && s.Now().Before(remoteDeadline):
			sleep(ctx, remoteAnswerPollInterval)
		default:
			return claim, verdict
		}
		if ctx.Err() != nil {
			return claim, once.MayHaveRun
		}
	}
}

// sleep waits until d has passed or ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// requestHash identifies route and body, to detect a key that is reused for another request.
func requestHash(r *route.Request) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(r.Route)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(r.Body)
	return h.Sum64()
}

// responseWithoutClaim returns the response to a request that did not get the claim of its key.
func (s *Server) responseWithoutClaim(claim once.Claim, v once.ClaimResult) response {
	switch v {
	case once.Replay:
		return s.replayed(claim.Response)
	case once.Mismatch:
		return refusedResponse(http.StatusBadRequest, "the key belongs to a request with another body", 0)
	case once.Unavailable:
		return refusedResponse(http.StatusServiceUnavailable, "the key can not be claimed while the table service is unavailable", minRetryAfter)
	default:
		return unknownResponse("an earlier request with this key may have run")
	}
}

// replayed returns the recorded answer of an earlier request with the same key.
func (s *Server) replayed(a once.Response) response {
	s.counters.Replayed.Add(1)
	res := route.Response{Outcome: route.Answered, Status: a.Status, Body: a.Body, ContentType: a.ContentType, Reason: "recorded answer"}
	if a.Status >= http.StatusInternalServerError {
		res.Outcome = route.Failed
	}
	return toResponse(res)
}

// runClaimed forwards a request whose key is claimed and records the answer. The claim is
// withdrawn if the request did not run.
func (s *Server) runClaimed(ctx context.Context, k *clientRequest, claim once.Claim) response {
	s.Dispatcher.claimed <- k.pending
	d := <-k.pending.decisions
	if d.kind == decisionRefuse {
		s.withdraw(claim)
		return refusedResponse(d.status, d.reason, d.retryAfter)
	}
	res := s.Router.Do(ctx, d.slot, k.pending.request)
	resp := toResponse(res)
	switch res.Outcome {
	case route.Refused:
		s.withdraw(claim)
	case route.Unknown:
		s.Once.Abandon(claim)
	default:
		s.recordAnswer(claim, once.Response{Status: resp.status, Body: res.Body, ContentType: res.ContentType})
	}
	return resp
}

// recordAnswer records an answer in the background, so that the client does not wait for the
// commit. If the instance crashes before the commit, a retry with the same key gets the outcome
// "unknown" and does not run again.
func (s *Server) recordAnswer(claim once.Claim, answer once.Response) {
	s.recording.Go(func() { s.Once.Finish(context.Background(), claim, answer) })
}

// Drain waits until the answers to non-idempotent requests are recorded or ctx ends.
func (s *Server) Drain(ctx context.Context) {
	recorded := make(chan struct{})
	go func() {
		s.recording.Wait()
		close(recorded)
	}()
	select {
	case <-recorded:
	case <-ctx.Done():
	}
	s.Once.Drain(ctx)
}

// withdraw releases the claim of a request that did not run. It uses a timeout of its own, since
// the deadline of the request may have passed.
func (s *Server) withdraw(claim once.Claim) {
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	s.Once.Release(ctx, claim)
}
