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

// reasonNotSent is the reason for a request whose deadline passed before its first byte was written.
const reasonNotSent = "time ran out before the request was sent"

const (
	headerID       = "Request-Id"
	headerDeadline = "Request-Deadline-Ms"
	headerClass    = "Request-Class"
	// headerKey carries the caller's idempotency key. It is not called Idempotency-Key, because
	// net/http retries requests with that header on its own.
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
	localCause  bool // says nothing about the backend server
	abandoned   bool // cancelled after the grace period
}

// Phases of an attempt. An attempt leaves phaseWaiting once, either to be written or to be withdrawn.
const (
	phaseWaiting int32 = iota
	phaseWriting
	phaseWithdrawn
)

// attempt is one attempt to run a request on a backend server.
type attempt struct {
	router   *Router
	server   *server
	slot     Slot
	req      *Request
	start    time.Time
	deadline time.Time // of this attempt, by the router's clock
	number   int
	phase    atomic.Int32
	done     chan result
	conn     *clientConn

	// Router.mu guards the fields below.
	late           bool // Do no longer waits for this attempt
	ended          bool
	failureCounted bool // its timeout was counted as a failure of the backend server
}

// withdraw reports whether the attempt was stopped before a byte could be written.
func (a *attempt) withdraw() bool {
	return a.phase.CompareAndSwap(phaseWaiting, phaseWithdrawn)
}

// run executes the attempt and releases its slot when the backend server has finished. The end of
// ctx only stops the wait for a connection. It does not cancel a request that was written, because
// the backend server could keep running it while its slot counts as free.
func (a *attempt) run(ctx context.Context) {
	res := a.execute(ctx)
	r := a.router
	now := r.now()
	r.mu.Lock()
	a.applyResultLocked(now, res)
	r.releaseLocked(a.slot)
	late := a.late
	r.mu.Unlock()
	a.done <- res
	if r.OnAttempt != nil {
		report := a.describe(now, res)
		report.Late = late
		r.OnAttempt(report)
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

func (a *attempt) execute(ctx context.Context) result {
	reserved, err := a.server.pool.reserve(ctx, a.server)
	if err != nil {
		localCause := ctx.Err() != nil || errors.Is(err, errNoConnection) || errors.Is(err, errClosed)
		return result{outcome: Refused, reason: err.Error(), retryable: true, localCause: localCause}
	}
	a.conn = reserved
	remaining := a.deadline.Sub(a.router.now())
	if ctx.Err() != nil || remaining < time.Millisecond || !a.phase.CompareAndSwap(phaseWaiting, phaseWriting) {
		reserved.h2.Release()
		return result{outcome: Refused, reason: reasonNotSent, localCause: true}
	}
	gracePeriod := orDefault(a.router.CancelGracePeriod, DefaultCancelGracePeriod)
	ctx, cancel := context.WithTimeout(context.Background(), remaining+gracePeriod)
	defer cancel()
	return a.roundTrip(ctx, reserved, remaining)
}

// roundTrip writes the request once and reads the whole response.
func (a *attempt) roundTrip(ctx context.Context, conn *clientConn, remaining time.Duration) result {
	var wrote atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaders: func() { wrote.Store(true) }}
	req := a.newRequest(httptrace.WithClientTrace(ctx, trace), remaining)
	res, err := conn.h2.RoundTrip(req)
	if err != nil {
		// After the end of ctx, headers not yet reported as written may still be written.
		if notProcessed(err) || (!wrote.Load() && ctx.Err() == nil) {
			return result{outcome: Refused, reason: err.Error(), retryable: true}
		}
		return result{outcome: Unknown, reason: err.Error(), retryable: true, abandoned: ctx.Err() != nil}
	}
	defer func() { _ = res.Body.Close() }()
	out := a.readResponse(res)
	out.abandoned = out.outcome == Unknown && ctx.Err() != nil
	return out
}

func (a *attempt) newRequest(ctx context.Context, remaining time.Duration) *http.Request {
	q := a.req
	target := &url.URL{Scheme: "http", Host: a.conn.address, Path: "/run/" + q.Route}
	header := http.Header{
		headerID:       {q.ID},
		headerDeadline: {strconv.FormatInt(remaining.Milliseconds(), 10)},
	}
	setNonEmpty(header, headerClass, q.Class)
	setNonEmpty(header, headerKey, q.Key)
	setNonEmpty(header, "Content-Type", q.ContentType)
	req := &http.Request{
		Method: http.MethodPost, URL: target, Host: target.Host, Header: header,
		Proto: "HTTP/2.0", ProtoMajor: 2,
		Body: http.NoBody, ContentLength: int64(len(q.Body)),
	}
	if len(q.Body) > 0 {
		// GetBody stays unset, so that net/http can't send the body a second time.
		req.Body = io.NopCloser(bytes.NewReader(q.Body))
	}
	return req.WithContext(ctx)
}

func setNonEmpty(header http.Header, name, value string) {
	if value != "" {
		header[name] = []string{value}
	}
}

// readResponse reads the response and checks that it is complete and belongs to the request.
func (a *attempt) readResponse(res *http.Response) result {
	if res.Header.Get(headerState) == "leaving" {
		a.router.markLeaving(a.server)
	}
	id := res.Header.Get(headerID)
	serverError := res.StatusCode >= http.StatusInternalServerError
	if id != a.req.ID && (id != "" || !serverError) {
		a.router.updateStats(func(s *Stats) { s.WrongAnswers++ })
		return result{outcome: Unknown, reason: "answer carries the id of another request", retryable: true}
	}
	if res.StatusCode == http.StatusServiceUnavailable && res.Header.Get(headerRunState) == notRun {
		return result{outcome: Refused, reason: "backend server did not run the request", status: res.StatusCode, retryable: true}
	}
	body, err := readBody(res)
	if err != nil {
		return a.bodyErrorResult(res.StatusCode, err)
	}
	out := result{
		outcome: Answered, status: res.StatusCode, body: body,
		contentType: res.Header.Get("Content-Type"),
	}
	if serverError {
		out.outcome, out.retryable = Failed, true
		out.reason = "backend server answered with status " + strconv.Itoa(res.StatusCode)
	}
	return out
}

var errResponseTooLarge = errors.Newf("answer is larger than %d bytes", MaxResponseBytes)

func readBody(res *http.Response) ([]byte, error) {
	if res.ContentLength > MaxResponseBytes {
		return nil, errResponseTooLarge
	}
	if res.ContentLength < 0 {
		return nil, errors.New("answer has no Content-Length")
	}
	body := make([]byte, res.ContentLength)
	if _, err := io.ReadFull(res.Body, body); err != nil {
		return nil, errors.Wrap(err, "answer is truncated")
	}
	// net/http returns an error here if the body is longer than its Content-Length.
	if n, err := res.Body.Read(make([]byte, 1)); n > 0 || err != io.EOF {
		return nil, errors.New("answer does not end at its Content-Length")
	}
	return body, nil
}

func (a *attempt) bodyErrorResult(status int, err error) result {
	if errors.Is(err, errResponseTooLarge) {
		return result{outcome: Failed, status: status, reason: err.Error()}
	}
	a.router.updateStats(func(s *Stats) { s.TruncatedAnswers++ })
	return result{outcome: Unknown, reason: err.Error(), retryable: true}
}

// streamError has the fields of the unexported stream error of net/http, so that errors.As can
// convert it.
type streamError struct {
	StreamID uint32
	Code     uint32
	Cause    error
}

func (streamError) Error() string { return "stream error" }

const (
	errCodeRefusedStream = 7 // HTTP/2 error code REFUSED_STREAM
	// goAwayMessage is the error text of net/http for a stream with a higher ID than the last one
	// that the server's GOAWAY covers. net/http exports no error value to compare with.
	goAwayMessage = "http2: Transport received Server's graceful shutdown GOAWAY"
)

// notProcessed reports whether HTTP/2 guarantees that the server did not process the request.
func notProcessed(err error) bool {
	var se streamError
	if errors.As(err, &se) {
		return se.Code == errCodeRefusedStream
	}
	return err.Error() == goAwayMessage
}
