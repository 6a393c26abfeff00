package peer

import (
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// MaxMessageBytes is the maximum size of a message without its length prefix.
const MaxMessageBytes = 4 << 20

const (
	prefixBytes = 4

	// firstReadBytes is how much memory is allocated for a message before any of it has arrived: the sender of a
	// length alone would take MaxMessageBytes.
	firstReadBytes = 64 << 10
)

// ErrTooLarge means that a message is larger than MaxMessageBytes.
var ErrTooLarge = errors.New("peer: message is too large")

// WriteMessage writes m, preceded by its length.
func WriteMessage(w io.Writer, m proto.Message) error {
	body, err := proto.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "peer: unable to encode message")
	}
	if len(body) > MaxMessageBytes {
		return ErrTooLarge
	}
	frame := make([]byte, prefixBytes, prefixBytes+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	frame = append(frame, body...)
	_, err = w.Write(frame)
	return errors.Wrap(err, "peer: unable to write message")
}

// ReadMessage reads one message into m; a truncated message is an error.
func ReadMessage(r io.Reader, m proto.Message) error {
	var prefix [prefixBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return errors.Wrap(err, "peer: unable to read message length")
	}
	n := binary.BigEndian.Uint32(prefix[:])
	if n > MaxMessageBytes {
		return ErrTooLarge
	}
	body, err := readBody(r, int(n))
	if err != nil {
		return errors.Wrap(err, "peer: unable to read message")
	}
	return errors.Wrap(proto.Unmarshal(body, m), "peer: unable to decode message")
}

// readBody reads n bytes, into memory that at most doubles with each part that has arrived.
func readBody(r io.Reader, n int) ([]byte, error) {
	body := make([]byte, min(n, firstReadBytes))
	read := 0
	for {
		if _, err := io.ReadFull(r, body[read:]); err != nil {
			return nil, err
		}
		if read = len(body); read == n {
			return body, nil
		}
		body = append(body, make([]byte, min(read, n-read))...)
	}
}
