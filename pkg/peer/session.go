package peer

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
)

const (
	// keepAliveInterval and writeTimeout close an unresponsive connection within 3 s;
	// the library's defaults (30 s and 10 s) are too long for a lease of 5 s.
	keepAliveInterval = time.Second
	writeTimeout      = 2 * time.Second

	streamCloseTimeout = 5 * time.Second
)

func sessionConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.KeepAliveInterval = keepAliveInterval
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.StreamOpenTimeout = writeTimeout
	cfg.StreamCloseTimeout = streamCloseTimeout
	cfg.LogOutput = io.Discard
	return cfg
}

// session is a yamux session that ends the reads and writes of its streams before it closes its connection.
//
// In yamux v0.1.2, a Read or Write that waits on a stream repeats without a pause from the moment at which
// the session begins to close until the session has closed the stream. On one processor these goroutines
// keep those from running that the session waits for. An expired deadline ends them.
type session struct {
	*yamux.Session
	mu      sync.Mutex
	streams map[*stream]struct{}
}

// newSession begins a session on conn; begin is yamux.Client or yamux.Server.
func newSession(conn net.Conn, begin func(io.ReadWriteCloser, *yamux.Config) (*yamux.Session, error)) (*session, error) {
	s := &session{streams: make(map[*stream]struct{})}
	ys, err := begin(&sessionConn{Conn: conn, expire: s.expire}, sessionConfig())
	s.Session = ys
	return s, err
}

// open opens a stream.
func (s *session) open() (*stream, error) { return s.add(s.OpenStream()) }

// accept waits for the next stream that the other instance opens.
func (s *session) accept() (*stream, error) { return s.add(s.AcceptStream()) }

func (s *session) add(ys *yamux.Stream, err error) (*stream, error) {
	if err != nil {
		return nil, err
	}
	st := &stream{Stream: ys, session: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams[st] = struct{}{}
	return st, nil
}

func (s *session) remove(st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, st)
}

// expire ends the reads and writes that wait on the session's streams.
func (s *session) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for st := range s.streams {
		_ = st.SetDeadline(expired)
	}
}

// sessionConn is the connection of a session, which closes it right after it has begun to close.
type sessionConn struct {
	net.Conn
	expire func()
}

func (c *sessionConn) Close() error {
	c.expire()
	return c.Conn.Close()
}

// stream is a stream of a session.
type stream struct {
	*yamux.Stream
	session *session
}

// Read reads data that has arrived, even if the session is closing, or waits for data.
func (s *stream) Read(b []byte) (int, error) {
	if s.session.IsClosed() {
		_ = s.SetReadDeadline(expired)
	}
	n, err := s.Stream.Read(b)
	if errors.Is(err, yamux.ErrTimeout) && s.session.IsClosed() {
		err = io.EOF
	}
	return n, err
}

func (s *stream) Write(b []byte) (int, error) {
	if s.session.IsClosed() {
		return 0, yamux.ErrSessionShutdown
	}
	return s.Stream.Write(b)
}

func (s *stream) Close() error {
	s.session.remove(s)
	return s.Stream.Close()
}

// expired is a deadline in the past.
var expired = time.Unix(1, 0)
