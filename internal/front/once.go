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
	// remoteResponseTimeout limits the wait for the response to a request with the same key on
	// another instance, which records the response with its next transaction.
	remoteResponseTimeout = 2 * time.Second
	// remoteResponsePollInterval is the time between reads of the row of the key.
	remoteResponsePollInterval = 100 * time.Millisecond

	// releaseTimeout limits how long a refused client waits for the release of its claim.
	releaseTimeout = time.Second
)

// runOnce runs a non-idempotent request under a claim of its key. It continues when the client
// disconnects, so that the outcome is recorded.
func (s *Server) runOnce(ctx context.Context, req *clientRequest) response {
	r := &req.pending.request
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.Deadline)
	defer cancel()
	claim, result := s.claim(ctx, req)
	if result != once.Run {
		return s.responseWithoutClaim(claim, result)
	}
	return s.runClaimed(ctx, req, claim)
}

// claim claims the key of a request. While an earlier request with the same key is running on
// this instance, or may be running on another one, it waits for the response to that request.
func (s *Server) claim(ctx context.Context, req *clientRequest) (once.Claim, once.ClaimResult) {
	r := &req.pending.request
	remoteDeadline := s.Now().Add(remoteResponseTimeout)
	for {
		claim, result := s.Once.Claim(ctx, req.user, req.idempotencyKey, requestHash(r))
		switch {
		case result == once.InProgress:
			if recorded, ok := claim.Wait(ctx); ok {
				return once.Claim{Response: recorded}, once.Replay
			}
		case result == once.MayHaveRun && s.Now().Before(remoteDeadline):
			sleep(ctx, remoteResponsePollInterval)
		default:
			return claim, result
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
func (s *Server) responseWithoutClaim(claim once.Claim, result once.ClaimResult) response {
	switch result {
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

// replayed returns the recorded response to an earlier request with the same key.
func (s *Server) replayed(recorded once.Response) response {
	s.counters.Replayed.Add(1)
	res := route.Response{Outcome: route.Answered, Status: recorded.Status, Body: recorded.Body, ContentType: recorded.ContentType, Reason: "recorded answer"}
	if recorded.Status >= http.StatusInternalServerError {
		res.Outcome = route.Failed
	}
	return toResponse(res)
}

// runClaimed forwards a request whose key is claimed and records the response. It releases the
// claim if the request did not run.
func (s *Server) runClaimed(ctx context.Context, req *clientRequest, claim once.Claim) response {
	s.Dispatcher.claimed <- req.pending
	d := <-req.pending.decisions
	if d.kind == decisionRefuse {
		s.releaseClaim(claim)
		return refusedResponse(d.status, d.reason, d.retryAfter)
	}
	res := s.Router.Do(ctx, d.slot, req.pending.request)
	resp := toResponse(res)
	switch res.Outcome {
	case route.Refused:
		s.releaseClaim(claim)
	case route.Unknown:
		s.Once.Abandon(claim)
	default:
		s.recordResponse(claim, once.Response{Status: resp.status, Body: res.Body, ContentType: res.ContentType})
	}
	return resp
}

// recordResponse records a response in the background, so that the client does not wait for the
// commit. If the instance crashes before the commit, a retry with the same key gets the outcome
// "unknown" and does not run again.
func (s *Server) recordResponse(claim once.Claim, res once.Response) {
	s.recording.Go(func() { s.Once.Finish(context.Background(), claim, res) })
}

// Drain waits until the responses to non-idempotent requests are recorded or ctx ends.
func (s *Server) Drain(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		s.recording.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
	s.Once.Drain(ctx)
}

// releaseClaim releases the claim of a request that did not run. It uses a timeout of its own, since
// the deadline of the request may have passed.
func (s *Server) releaseClaim(claim once.Claim) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	s.Once.Release(ctx, claim)
}
