package peer

import (
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// MaxMessageBytes bounds one message, the length prefix not counted.
const MaxMessageBytes = 4 << 20

const lengthBytes = 4

// ErrTooLarge reports a message above MaxMessageBytes.
var ErrTooLarge = errors.New("peer: message is too large")

// WriteMessage writes m with its length before it.
func WriteMessage(w io.Writer, m proto.Message) error {
	body, err := proto.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "peer: unable to encode message")
	}
	if len(body) > MaxMessageBytes {
		return ErrTooLarge
	}
	frame := make([]byte, lengthBytes, lengthBytes+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	frame = append(frame, body...)
	_, err = w.Write(frame)
	return errors.Wrap(err, "peer: unable to write message")
}

// ReadMessage reads one message into m; a message cut short is an error.
func ReadMessage(r io.Reader, m proto.Message) error {
	var prefix [lengthBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return errors.Wrap(err, "peer: unable to read message length")
	}
	n := binary.BigEndian.Uint32(prefix[:])
	if n > MaxMessageBytes {
		return ErrTooLarge
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return errors.Wrap(err, "peer: unable to read message")
	}
	return errors.Wrap(proto.Unmarshal(body, m), "peer: unable to decode message")
}
