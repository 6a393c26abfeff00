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
	// DefaultMaxInFlight bounds the calls in progress on one connection.
	DefaultMaxInFlight = 64

	// requestReadTimeout bounds the wait for a request on an opened stream.
	requestReadTimeout = 2 * time.Second

	// answerWriteTimeout bounds the sending of an answer.
	answerWriteTimeout = 5 * time.Second
)

// Server answers the calls of other instances; set the fields before Serve.
type Server struct {
	// Handle answers one call; nil is sent as a failure.
	Handle func(ctx context.Context, req *wire.Request) *wire.Response

	// MaxInFlight bounds the calls in progress on one connection; 0 means DefaultMaxInFlight.
	MaxInFlight int
}

// Serve accepts connections until ctx ends, then closes them and returns.
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

// ServeConn answers the calls of one connection until it closes or ctx ends.
func (s *Server) ServeConn(ctx context.Context, conn net.Conn) {
	session, err := yamux.Server(conn, sessionConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	defer func() { _ = session.Close() }()

	slots := make(chan struct{}, s.inFlight())
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		wg.Go(func() { s.serveStream(ctx, stream, slots) })
	}
}

func (s *Server) inFlight() int {
	if s.MaxInFlight > 0 {
		return s.MaxInFlight
	}
	return DefaultMaxInFlight
}

func (s *Server) serveStream(ctx context.Context, stream *yamux.Stream, slots chan struct{}) {
	defer func() { _ = stream.Close() }()
	_ = stream.SetReadDeadline(time.Now().Add(requestReadTimeout))
	var req wire.Request
	if err := ReadMessage(stream, &req); err != nil {
		return
	}
	res := s.answer(ctx, &req, slots)
	_ = stream.SetWriteDeadline(time.Now().Add(answerWriteTimeout))
	_ = WriteMessage(stream, res)
}

func (s *Server) answer(ctx context.Context, req *wire.Request, slots chan struct{}) *wire.Response {
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

// NotRunResponse returns an answer which says that the call was not carried out.
func NotRunResponse(reason string) *wire.Response {
	failure := &wire.Failure{Reason: reason, NotRun: true}
	return &wire.Response{Body: &wire.Response_Failure{Failure: failure}}
}
