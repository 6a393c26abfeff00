package route

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// noTime is the reason of a request whose time ended before its first byte was written.
const noTime = "time ran out before the request was sent"

const (
	headerID       = "Request-Id"
	headerDeadline = "Request-Deadline-Ms"
	headerClass    = "Request-Class"
	// headerKey carries the caller's key. It is not called Idempotency-Key, since
	// net/http repeats requests with that header by itself.
	headerKey      = "Request-Key"
	headerRunState = "Run-State"
	headerState    = "Server-State"

	notRun = "not-run"
)

// result is the outcome of one attempt.
type result struct {
	outcome     Outcome
	status      int
	contentType string
	body        []byte
	reason      string
	retryable   bool // for an idempotent request
	local       bool // says nothing of the backend server
	abandoned   bool // cancelled after the linger time
}

// attempt phases; the change from waiting decides whether a byte may be written.
const (
	waiting int32 = iota
	writing
	withdrawn
)

// attempt is one try of a request at one backend server.
type attempt struct {
	router *Router
	server *server
	slot   Slot
	req    *Request
	start  time.Time
	end    time.Time // of the attempt's time, by the router's clock
	number int
	phase  atomic.Int32
	done   chan result
	link   *link

	// Router.mu guards the rest.
	late   bool // the outcome was decided without this attempt
	ended  bool
	judged bool // counted as a failure of the backend server
}

// withdraw reports whether the attempt was stopped before a byte could be written.
func (a *attempt) withdraw() bool {
	return a.phase.CompareAndSwap(waiting, withdrawn)
}

// run carries out the attempt and gives back its slot when the backend server has
// finished. ctx ends when nobody waits for a connection any more; it does not cancel
// a request that was written, because the backend server could go on with it unseen.
func (a *attempt) run(ctx context.Context) {
	res := a.try(ctx)
	r := a.router
	now := r.now()
	r.mu.Lock()
	a.noteLocked(now, res)
	r.giveBackLocked(a.slot)
	late := a.late
	r.mu.Unlock()
	a.done <- res
	if r.OnAttempt != nil {
		seen := a.describe(now, res)
		seen.Late = late
		r.OnAttempt(seen)
	}
}

func (a *attempt) describe(now time.Time, res result) Attempt {
	q := a.req
	return Attempt{
		ID: q.ID, Route: q.Route, Class: q.Class, Team: q.Team,
		Backend: a.slot.Backend, Number: a.number, Start: a.start, End: now,
		Outcome: res.outcome, Reason: res.reason, Status: res.status,
	}
}

func (a *attempt) try(ctx context.Context) result {
	ln, err := a.server.links.get(ctx, a.server)
	if err != nil {
		local := ctx.Err() != nil || errors.Is(err, errNoConnection) || errors.Is(err, errClosed)
		return result{outcome: Refused, reason: err.Error(), retryable: true, local: local}
	}
	a.link = ln
	left := a.end.Sub(a.router.now())
	if ctx.Err() != nil || left < time.Millisecond || !a.phase.CompareAndSwap(waiting, writing) {
		ln.conn.Release()
		return result{outcome: Refused, reason: noTime, local: true}
	}
	linger := orDefault(a.router.CancelGracePeriod, DefaultCancelGracePeriod)
	ctx, cancel := context.WithTimeout(context.Background(), left+linger)
	defer cancel()
	return a.exchange(ctx, ln, left)
}

// exchange writes the request once and reads the whole answer.
func (a *attempt) exchange(ctx context.Context, ln *link, left time.Duration) result {
	var wrote atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaders: func() { wrote.Store(true) }}
	req := a.request(httptrace.WithClientTrace(ctx, trace), left)
	res, err := ln.conn.RoundTrip(req)
	if err != nil {
		// After the end of ctx the library may still be about to write.
		if notProcessed(err) || (!wrote.Load() && ctx.Err() == nil) {
			return result{outcome: Refused, reason: err.Error(), retryable: true}
		}
		return result{outcome: Unknown, reason: err.Error(), retryable: true, abandoned: ctx.Err() != nil}
	}
	defer func() { _ = res.Body.Close() }()
	out := a.read(res)
	out.abandoned = out.outcome == Unknown && ctx.Err() != nil
	return out
}

func (a *attempt) request(ctx context.Context, left time.Duration) *http.Request {
	q := a.req
	target := &url.URL{Scheme: "http", Host: a.link.address, Path: "/run/" + q.Route}
	header := http.Header{
		headerID:       {q.ID},
		headerDeadline: {strconv.FormatInt(left.Milliseconds(), 10)},
	}
	setIfAny(header, headerClass, q.Class)
	setIfAny(header, headerKey, q.Key)
	setIfAny(header, "Content-Type", q.ContentType)
	req := &http.Request{
		Method: http.MethodPost, URL: target, Host: target.Host, Header: header,
		Proto: "HTTP/2.0", ProtoMajor: 2,
		Body: http.NoBody, ContentLength: int64(len(q.Body)),
	}
	if len(q.Body) > 0 {
		// GetBody stays unset, so nothing can write the body twice.
		req.Body = io.NopCloser(bytes.NewReader(q.Body))
	}
	return req.WithContext(ctx)
}

func setIfAny(header http.Header, name, value string) {
	if value != "" {
		header[name] = []string{value}
	}
}

// read checks that the answer is whole and belongs to the request.
func (a *attempt) read(res *http.Response) result {
	if res.Header.Get(headerState) == "leaving" {
		a.router.markLeaving(a.server)
	}
	id := res.Header.Get(headerID)
	errorAnswer := res.StatusCode >= http.StatusInternalServerError
	if id != a.req.ID && (id != "" || !errorAnswer) {
		a.router.count(func(s *Stats) { s.WrongAnswers++ })
		return result{outcome: Unknown, reason: "answer carries the id of another request", retryable: true}
	}
	if res.StatusCode == http.StatusServiceUnavailable && res.Header.Get(headerRunState) == notRun {
		return result{outcome: Refused, reason: "backend server did not run the request", status: res.StatusCode, retryable: true}
	}
	body, err := readBody(res)
	if err != nil {
		return a.unreadable(res.StatusCode, err)
	}
	out := result{
		outcome: Answered, status: res.StatusCode, body: body,
		contentType: res.Header.Get("Content-Type"),
	}
	if errorAnswer {
		out.outcome, out.retryable = Failed, true
		out.reason = "backend server answered with status " + strconv.Itoa(res.StatusCode)
	}
	return out
}

var errTooLarge = errors.Newf("answer is larger than %d bytes", MaxResponseBytes)

func readBody(res *http.Response) ([]byte, error) {
	if res.ContentLength > MaxResponseBytes {
		return nil, errTooLarge
	}
	if res.ContentLength < 0 {
		return nil, errors.New("answer has no Content-Length")
	}
	body := make([]byte, res.ContentLength)
	if _, err := io.ReadFull(res.Body, body); err != nil {
		return nil, errors.Wrap(err, "answer is truncated")
	}
	// A body longer than its Content-Length is an error of the library here.
	if n, err := res.Body.Read(make([]byte, 1)); n > 0 || err != io.EOF {
		return nil, errors.New("answer does not end at its Content-Length")
	}
	return body, nil
}

func (a *attempt) unreadable(status int, err error) result {
	if errors.Is(err, errTooLarge) {
		return result{outcome: Failed, status: status, reason: err.Error()}
	}
	a.router.count(func(s *Stats) { s.TruncatedAnswers++ })
	return result{outcome: Unknown, reason: err.Error(), retryable: true}
}

// streamError has the fields of the library's stream error, which errors.As converts.
type streamError struct {
	StreamID uint32
	Code     uint32
	Cause    error
}

func (streamError) Error() string { return "stream error" }

const (
	refusedStream = 7 // HTTP/2 error code REFUSED_STREAM
	// goAwayText is the library's error for a stream above the last one that the server's
	// GOAWAY covers. It exports no value to compare with.
	goAwayText = "http2: Transport received Server's graceful shutdown GOAWAY"
)

// notProcessed reports whether HTTP/2 guarantees that the server did not process the request.
func notProcessed(err error) bool {
	var se streamError
	if errors.As(err, &se) {
		return se.Code == refusedStream
	}
	return err.Error() == goAwayText
}
