package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"

	"github.com/daisyrack/daisyrack/pkg/wire"
)

const (
	// DefaultMaxInFlight is the default limit of calls in flight on one connection.
	DefaultMaxInFlight = 64

	// requestReadTimeout limits the time until the request on an accepted stream has been read.
	requestReadTimeout = 2 * time.Second

	// responseWriteTimeout limits the time for writing a response.
	responseWriteTimeout = 5 * time.Second
)

// Server handles calls from other instances. Set the fields before calling Serve or ServeConn.
type Server struct {
	// Handle returns the response to one call; nil means that the call is not supported.
	Handle func(ctx context.Context, req *wire.Request) *wire.Response

	// HandleStream serves a stream that req opens until it ends. It returns false, without using the
	// stream, if req is a call. Nil means that streams are not supported.
	HandleStream func(ctx context.Context, req *wire.Request, s *Stream) bool

	// MaxInFlight limits the calls in flight on one connection; 0 means DefaultMaxInFlight.
	MaxInFlight int
}

// Serve accepts and serves connections until ctx is cancelled, then closes them and returns.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()

	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		conn, err := l.Accept()
		if ctx.Err() != nil {
			closeQuietly(conn)
			return nil
		}
		if err != nil {
			cancel()
			return errors.Wrap(err, "peer: unable to accept connection")
		}
		wg.Go(func() { s.ServeConn(ctx, conn) })
	}
}

func closeQuietly(conn net.Conn) {
	if conn != nil {
		_ = conn.Close()
	}
}

// ServeConn handles the calls of one connection until it closes or ctx is cancelled.
func (s *Server) ServeConn(ctx context.Context, conn net.Conn) {
	session, err := newSession(conn, yamux.Server)
	if err != nil {
		_ = conn.Close()
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	defer func() { _ = session.Close() }()

	slots := make(chan struct{}, s.maxInFlight())
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		stream, err := session.accept()
		if err != nil {
			return
		}
		wg.Go(func() { s.serveStream(ctx, stream, slots) })
	}
}

func (s *Server) maxInFlight() int {
	if s.MaxInFlight > 0 {
		return s.MaxInFlight
	}
	return DefaultMaxInFlight
}

func (s *Server) serveStream(ctx context.Context, stream *stream, slots chan struct{}) {
	defer func() { _ = stream.Close() }()
	_ = stream.SetReadDeadline(time.Now().Add(requestReadTimeout))
	var req wire.Request
	if err := ReadMessage(stream, &req); err != nil {
		return
	}
	if s.HandleStream != nil {
		_ = stream.SetReadDeadline(time.Time{})
		if s.HandleStream(ctx, &req, &Stream{stream: stream}) {
			return
		}
	}
	res := s.respond(ctx, &req, slots)
	_ = stream.SetWriteDeadline(time.Now().Add(responseWriteTimeout))
	_ = WriteMessage(stream, res)
}

func (s *Server) respond(ctx context.Context, req *wire.Request, slots chan struct{}) *wire.Response {
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	default:
		return NotRunResponse("too many calls in progress")
	}
	if req.GetDeadlineMs() > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(req.GetDeadlineMs())*time.Millisecond)
		defer cancel()
	}
	if res := s.Handle(ctx, req); res != nil {
		return res
	}
	return NotRunResponse("call is not supported")
}

// NotRunResponse returns a response which states that the call was not executed.
func NotRunResponse(reason string) *wire.Response {
	failure := &wire.Failure{Reason: reason, NotRun: true}
	return &wire.Response{Body: &wire.Response_Failure{Failure: failure}}
}
