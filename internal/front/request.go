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

// Headers of requests and answers.
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

// call is one caller's request with what the headers said.
type call struct {
	ticket *ticket
	user   string
	key    string
}

// outcome is what the caller is told.
type outcome struct {
	route.Response
	status int
}

func (f *Server) serveRequest(c *gin.Context) {
	f.counters.Received.Add(1)
	id := f.requestID()
	started := f.Now()
	call, refused := f.parse(c, id, started)
	if refused != nil {
		f.reply(c, id, started, *refused)
		return
	}
	f.RecordEvent(event.Event{Kind: event.RequestReceived, Request: id, Detail: c.Param("route")})
	f.reply(c, id, started, f.run(c.Request.Context(), call))
}

func refused(status int, reason string, retryAfter time.Duration) outcome {
	return outcome{
		Response: route.Response{Outcome: route.Refused, Reason: reason, RetryAfter: retryAfter},
		status:   status,
	}
}

func badRequest(reason string) *outcome {
	out := refused(http.StatusBadRequest, reason, 0)
	return &out
}

// parse reads a request; a fault in it is a refusal.
func (f *Server) parse(c *gin.Context, id string, now time.Time) (*call, *outcome) {
	if reason := f.NotReadyReason(); reason != "" {
		out := refused(http.StatusServiceUnavailable, reason, ringRetryAfter)
		return nil, &out
	}
	rt, ok := f.Config.Current().Routes[c.Param("route")]
	if !ok {
		out := refused(http.StatusNotFound, "no route has this name", 0)
		return nil, &out
	}
	k := &call{user: c.GetHeader(HeaderUser), key: c.GetHeader(HeaderIdempotencyKey)}
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

func (f *Server) nonIdempotent(c *gin.Context, rt config.Route, key string) (bool, string) {
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
func (f *Server) run(ctx context.Context, k *call) outcome {
	if !f.Dispatcher.offer(k.ticket) {
		return refused(http.StatusServiceUnavailable, "too many requests are arriving", ringRetryAfter)
	}
	t := f.wait(ctx, k.ticket)
	f.ObserveQueueWait(k.ticket.request.Class, f.Now().Sub(k.ticket.item.Enqueued))
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
func (f *Server) wait(ctx context.Context, k *ticket) turn {
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
		f.Router.Release(t.slot)
	}
	f.Dispatcher.finished <- k
	return refusal(http.StatusServiceUnavailable, "the caller has gone", 0)
}

func unknown(reason string) outcome {
	return outcome{
		Response: route.Response{Outcome: route.Unknown, Reason: reason, MayHaveRun: true},
		status:   http.StatusGatewayTimeout,
	}
}

// forwarded adds the status that the caller sees.
func forwarded(a route.Response) outcome {
	switch a.Outcome {
	case route.Answered:
		return outcome{Response: a, status: a.Status}
	case route.Failed:
		return outcome{Response: a, status: http.StatusBadGateway}
	case route.Unknown:
		return outcome{Response: a, status: http.StatusGatewayTimeout}
	default:
		return outcome{Response: a, status: http.StatusServiceUnavailable}
	}
}
