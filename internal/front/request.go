package front

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/daisyrack/daisyrack/pkg/config"
	"github.com/daisyrack/daisyrack/pkg/event"
	"github.com/daisyrack/daisyrack/pkg/queue"
	"github.com/daisyrack/daisyrack/pkg/route"
)

// HTTP headers of requests and responses.
const (
	HeaderUser           = "Daisyrack-User"
	HeaderTeam           = "Daisyrack-Team"
	HeaderClass          = "Daisyrack-Class"
	HeaderDeadline       = "Daisyrack-Deadline-Ms"
	HeaderNonIdempotent  = "Daisyrack-Non-Idempotent"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestID      = "Daisyrack-Request-Id"
	HeaderOutcome        = "Daisyrack-Outcome"
	HeaderReason         = "Daisyrack-Reason"
	HeaderInstance       = "Daisyrack-Instance"
)

const (
	maxNameBytes = 127
	maxKeyBytes  = 255
)

// clientRequest is a request with the values of its headers.
type clientRequest struct {
	pending        *pendingRequest
	user           string
	idempotencyKey string
}

// response is the response to a client.
type response struct {
	route.Response
	status int
}

func (s *Server) serveRequest(c *gin.Context) {
	s.counters.Received.Add(1)
	id := s.requestID()
	started := s.Now()
	req, resp := s.parse(c, id, started)
	if resp != nil {
		s.reply(c, id, started, *resp)
		return
	}
	s.RecordEvent(event.Event{Kind: event.RequestReceived, Request: id, Detail: c.Param("route")})
	s.reply(c, id, started, s.run(c.Request.Context(), req))
}

func refusedResponse(status int, reason string, retryAfter time.Duration) response {
	return response{
		Response: route.Response{Outcome: route.Refused, Reason: reason, RetryAfter: retryAfter},
		status:   status,
	}
}

func badRequest(reason string) *response {
	resp := refusedResponse(http.StatusBadRequest, reason, 0)
	return &resp
}

// parse reads and validates a request. For an invalid one it returns the response that refuses it.
func (s *Server) parse(c *gin.Context, id string, now time.Time) (*clientRequest, *response) {
	if reason := s.NotReadyReason(); reason != "" {
		resp := refusedResponse(http.StatusServiceUnavailable, reason, minRetryAfter)
		return nil, &resp
	}
	rt, ok := s.Config.Current().Routes[c.Param("route")]
	if !ok {
		resp := refusedResponse(http.StatusNotFound, "no route has this name", 0)
		return nil, &resp
	}
	req := &clientRequest{user: c.GetHeader(HeaderUser), idempotencyKey: c.GetHeader(HeaderIdempotencyKey)}
	if req.user == "" || len(req.user) > maxNameBytes || len(c.GetHeader(HeaderTeam)) > maxNameBytes {
		return nil, badRequest(HeaderUser + " is required, of at most 127 bytes, " + HeaderTeam + " likewise")
	}
	class, reason := parseClass(c.GetHeader(HeaderClass), rt)
	if reason != "" {
		return nil, badRequest(reason)
	}
	deadline, reason := parseDeadline(c.GetHeader(HeaderDeadline), rt)
	if reason != "" {
		return nil, badRequest(reason)
	}
	nonIdempotent, reason := s.parseNonIdempotent(c, rt, req.idempotencyKey)
	if reason != "" {
		return nil, badRequest(reason)
	}
	body, resp := readBody(c, rt)
	if resp != nil {
		return nil, resp
	}
	req.pending = newPendingRequest(route.Request{
		ID:            id,
		Route:         rt.Name,
		Class:         class.String(),
		Team:          config.Account(req.user, c.GetHeader(HeaderTeam)),
		Body:          body,
		ContentType:   c.ContentType(),
		NonIdempotent: nonIdempotent,
		Key:           keyIfNonIdempotent(nonIdempotent, req.idempotencyKey),
		Deadline:      now.Add(deadline),
	}, class, now)
	return req, nil
}

// keyIfNonIdempotent returns the key for a non-idempotent request and "" for all others, which
// are not deduplicated.
func keyIfNonIdempotent(nonIdempotent bool, key string) string {
	if nonIdempotent {
		return key
	}
	return ""
}

// parseClass returns the class of a request; without a header it is that of the route.
func parseClass(text string, rt config.Route) (queue.Class, string) {
	if text == "" {
		text = rt.Class
	}
	class, err := queue.ParseClass(text)
	if err != nil {
		return 0, HeaderClass + " must be urgent, normal or deferrable"
	}
	return class, ""
}

// parseDeadline returns the time that a request may take: the value of the header, at most that of
// the route.
func parseDeadline(text string, rt config.Route) (time.Duration, string) {
	if text == "" {
		return rt.Deadline(), ""
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 {
		return 0, HeaderDeadline + " must be a number of milliseconds above 0"
	}
	return min(time.Duration(min(ms, rt.DeadlineMS))*time.Millisecond, rt.Deadline()), ""
}

func (s *Server) parseNonIdempotent(c *gin.Context, rt config.Route, key string) (bool, string) {
	marked := rt.NonIdempotent
	switch c.GetHeader(HeaderNonIdempotent) {
	case "", "false":
	case "true":
		marked = true
	default:
		return false, HeaderNonIdempotent + " must be true or false"
	}
	if marked && (key == "" || len(key) > maxKeyBytes) {
		return false, "a non-idempotent request needs an " + HeaderIdempotencyKey + " of at most 255 bytes"
	}
	return marked, ""
}

func readBody(c *gin.Context, rt config.Route) ([]byte, *response) {
	body, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, rt.MaxBodyBytes))
	if err == nil {
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if ok := asMaxBytesError(err, &tooLarge); ok {
		resp := refusedResponse(http.StatusRequestEntityTooLarge, "the body is too large", 0)
		return nil, &resp
	}
	return nil, badRequest("the body could not be read")
}

// run queues a request, claims its key if it is non-idempotent, and forwards it to a backend server.
func (s *Server) run(ctx context.Context, req *clientRequest) response {
	if !s.Dispatcher.enqueue(req.pending) {
		return refusedResponse(http.StatusServiceUnavailable, "too many requests are arriving", minRetryAfter)
	}
	d := s.awaitDecision(ctx, req.pending)
	s.ObserveQueueWait(req.pending.request.Class, s.Now().Sub(req.pending.item.Enqueued))
	if d.kind == decisionRefuse {
		return refusedResponse(d.status, d.reason, d.retryAfter)
	}
	defer func() { s.Dispatcher.finished <- req.pending }()
	if d.kind == decisionClaim {
		return s.runOnce(ctx, req)
	}
	return toResponse(s.Router.Do(ctx, d.slot, req.pending.request))
}

// awaitDecision returns the first decision about a request. If the client disconnects meanwhile,
// the request is refused and a slot that it was given is released.
func (s *Server) awaitDecision(ctx context.Context, p *pendingRequest) decision {
	select {
	case d := <-p.decisions:
		return d
	case <-ctx.Done():
	}
	s.Dispatcher.cancelled <- p
	d := <-p.decisions
	if d.kind == decisionRefuse {
		return d
	}
	if d.kind == decisionRun {
		s.Router.Release(d.slot)
	}
	s.Dispatcher.finished <- p
	return refusal(http.StatusServiceUnavailable, "the caller has gone", 0)
}

func unknownResponse(reason string) response {
	return response{
		Response: route.Response{Outcome: route.Unknown, Reason: reason, MayHaveRun: true},
		status:   http.StatusGatewayTimeout,
	}
}

// toResponse adds the HTTP status for the client.
func toResponse(res route.Response) response {
	switch res.Outcome {
	case route.Answered:
		return response{Response: res, status: res.Status}
	case route.Failed:
		return response{Response: res, status: http.StatusBadGateway}
	case route.Unknown:
		return response{Response: res, status: http.StatusGatewayTimeout}
	default:
		return response{Response: res, status: http.StatusServiceUnavailable}
	}
}
