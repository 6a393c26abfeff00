package peer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/daisyrack/daisyrack/pkg/wire"
)

// Stream is a sequence of messages in both directions that lasts longer than one call. Send and
// Receive may be called concurrently with each other.
type Stream struct {
	stream *stream
	closed atomic.Bool
}

// Open opens a stream to the instance at address; req tells it what the stream is for. The stream
// ends when it is closed, when its connection fails, or when the other instance closes it.
func (c *Client) Open(ctx context.Context, address string, req *wire.Request) (*Stream, error) {
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	conn, err := c.connection(address)
	if err != nil {
		return nil, err
	}
	stream, err := c.openStream(ctx, conn, address)
	if err != nil {
		return nil, err
	}
	s := &Stream{stream: stream}
	deadline, _ := ctx.Deadline()
	if err := s.Send(req, time.Until(deadline)); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// Send sends one message; it fails if the other instance does not accept it within timeout.
func (s *Stream) Send(m proto.Message, timeout time.Duration) error {
	if err := s.stream.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return errors.Wrap(err, "peer: stream is closed")
	}
	return WriteMessage(s.stream, m)
}

// Receive waits for the next message, for at most timeout; 0 means without limit. After an error the
// stream must be closed, since part of a message may be lost.
func (s *Stream) Receive(m proto.Message, timeout time.Duration) error {
	var deadline time.Time
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	if err := s.stream.SetReadDeadline(deadline); err != nil {
		return errors.Wrap(err, "peer: stream is closed")
	}
	if s.closed.Load() {
		return errors.New("peer: stream is closed")
	}
	return ReadMessage(s.stream, m)
}

// Close ends the stream; calls of Receive that wait return an error.
func (s *Stream) Close() {
	s.closed.Store(true)
	_ = s.stream.Close()
	_ = s.stream.SetReadDeadline(expired)
}
