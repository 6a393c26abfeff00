package guard

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrOverBudget means that a request holds more bytes than the budget has left. The request has not run.
var ErrOverBudget = errors.New("guard: too many bytes are held for requests")

type connKey struct{}

func withConn(ctx context.Context, nc net.Conn) context.Context {
	if c, ok := nc.(*conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

func connStateChanged(nc net.Conn, state http.ConnState) {
	if c, ok := nc.(*conn); ok && state == http.StateIdle {
		c.guard.budget.Enter(c.member, Idle, c.guard.now())
	}
}

// handler refuses requests beyond the budget before their body is read. A response that is sent before the whole
// body was read closes the connection, and the rest is not read.
func (g *Guard) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		b := &body{ReadCloser: r.Body, conn: c, complete: r.Body == nil || r.Body == http.NoBody, start: g.now()}
		rw := &responseWriter{ResponseWriter: w, body: b}
		guarded := *r
		guarded.Body = b
		switch {
		case countFields(r.Header) > g.Limits.HeaderFields && g.Limits.HeaderFields > 0:
			g.report(c.member.Source, CauseHeaderFields)
			refuse(rw, http.StatusRequestHeaderFieldsTooLarge)
		case !g.budget.Begin(c.member):
			g.report(c.member.Source, CauseRequests)
			rw.Header().Set("Retry-After", "1")
			refuse(rw, http.StatusServiceUnavailable)
		default:
			defer g.budget.End(c.member)
			g.budget.Enter(c.member, Run, g.now())
			next.ServeHTTP(rw, &guarded)
		}
		rw.finish()
	})
}

func refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Connection", "close")
	w.WriteHeader(status)
}

func countFields(h http.Header) int {
	n := 0
	for _, values := range h {
		n += len(values)
	}
	return n
}

// Hold sets the bytes that are held for the body of a request at least to n. It returns an error that wraps
// ErrOverBudget if the budget has no room for them.
func Hold(r *http.Request, n int64) error {
	b, ok := r.Body.(*body)
	if !ok || n <= b.held {
		return nil
	}
	g := b.conn.guard
	victims, ok := g.budget.Hold(b.conn.member, n-b.held, g.now())
	g.evict(victims)
	if !ok {
		g.report(b.conn.member.Source, CauseHeldBytes)
		return ErrOverBudget
	}
	b.held = n
	return nil
}

// body is the body of a request, whose sender has to make progress.
type body struct {
	io.ReadCloser
	conn *conn
	// start is when the head was complete, total how many bytes have arrived since.
	start       time.Duration
	total, held int64
	complete    bool
}

// Read waits for the next part of the body until it is too late by the limits.
func (b *body) Read(p []byte) (int, error) {
	if b.complete {
		return 0, io.EOF
	}
	g := b.conn.guard
	g.budget.Enter(b.conn.member, Body, g.now())
	if wait := g.Limits.wait(b.total, g.now()-b.start); wait > 0 {
		_ = b.conn.SetReadDeadline(time.Now().Add(wait))
	}
	n, err := b.ReadCloser.Read(p)
	// The server reads on after the body to notice that the client has gone; that has no time limit.
	_ = b.conn.SetReadDeadline(time.Time{})
	b.total += int64(n)
	b.complete = errors.Is(err, io.EOF)
	g.budget.Enter(b.conn.member, Run, g.now())
	if errors.Is(err, os.ErrDeadlineExceeded) {
		g.report(b.conn.member.Source, CauseStalled)
	}
	return n, err
}

// wait returns how long the next part of a body may take; 0 means no limit. A body that is too slow gets 1 ns.
func (l Limits) wait(total int64, elapsed time.Duration) time.Duration {
	if l.Stall <= 0 {
		return 0
	}
	wait := l.Stall
	if l.BytesPerSecond > 0 {
		due := l.Stall + time.Duration(float64(total)/float64(l.BytesPerSecond)*float64(time.Second))
		wait = min(wait, due-elapsed)
	}
	return max(wait, 1)
}

// responseWriter closes the connection after a response that is sent before the whole body was read.
type responseWriter struct {
	http.ResponseWriter
	body        *body
	wroteHeader bool
}

// WriteHeader sends the head of the response.
func (w *responseWriter) WriteHeader(status int) {
	if status >= http.StatusOK && !w.wroteHeader {
		w.wroteHeader = true
		if !w.body.complete {
			w.Header().Set("Connection", "close")
			w.body.conn.abandoned.Store(true)
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write sends a part of the body of the response.
func (w *responseWriter) Write(p []byte) (int, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the server's writer for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *responseWriter) finish() {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
}
