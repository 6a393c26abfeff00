package table

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/cockroachdb/errors"
)

var (
	// ErrCorrupt means that an object is truncated or damaged.
	ErrCorrupt = errors.New("object is truncated or damaged")
	// ErrWrongKind means that the content was not written by EncodeObject or is of another kind.
	ErrWrongKind = errors.New("object is of another kind")
	// ErrNewerFormat means that a newer version of the program wrote the object.
	ErrNewerFormat = errors.New("object has a newer format")
)

const (
	objectMagic  = "DRSO"
	objectFormat = 1

	// Layout of an encoded object, integers in big endian: magic, format (1 byte), length of the
	// kind (2), kind, version (8), length of the payload (8), payload, CRC-32C of all of these (4).
	headerBytes   = len(objectMagic) + 1 + 2
	checksumBytes = 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// EncodeObject adds a header and a checksum to a payload, so that DecodeObject can verify that
// the object is complete and of the expected kind.
func EncodeObject(kind string, version int64, payload []byte) []byte {
	b := make([]byte, 0, headerBytes+len(kind)+16+len(payload)+checksumBytes)
	b = append(b, objectMagic...)
	b = append(b, objectFormat)
	b = binary.BigEndian.AppendUint16(b, uint16(len(kind)))
	b = append(b, kind...)
	b = binary.BigEndian.AppendUint64(b, uint64(version))
	b = binary.BigEndian.AppendUint64(b, uint64(len(payload)))
	b = append(b, payload...)
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// DecodeObject verifies an encoded object and returns its payload and version. The error wraps
// ErrCorrupt, ErrWrongKind or ErrNewerFormat.
func DecodeObject(kind string, b []byte) ([]byte, int64, error) {
	if len(b) >= len(objectMagic) && string(b[:len(objectMagic)]) != objectMagic {
		return nil, 0, errors.Wrapf(ErrWrongKind, "table: %q expected, content is no encoded object", kind)
	}
	if len(b) < headerBytes {
		return nil, 0, errors.Wrapf(ErrCorrupt, "table: %q has %d bytes, less than a header", kind, len(b))
	}
	if format := b[len(objectMagic)]; format > objectFormat {
		return nil, 0, errors.Wrapf(ErrNewerFormat, "table: %q has format %d, known up to %d", kind, format, objectFormat)
	}
	body, sum := b[:len(b)-checksumBytes], binary.BigEndian.Uint32(b[len(b)-checksumBytes:])
	if computed := crc32.Checksum(body, castagnoli); computed != sum {
		return nil, 0, errors.Wrapf(ErrCorrupt, "table: %q has checksum %08x, %08x expected", kind, computed, sum)
	}
	return decodeBody(kind, body)
}

// decodeBody decodes an object, without its checksum, which has been verified.
func decodeBody(kind string, body []byte) ([]byte, int64, error) {
	rest := body[len(objectMagic)+1:]
	kindBytes := int(binary.BigEndian.Uint16(rest))
	rest = rest[2:]
	if len(rest) < kindBytes+16 {
		return nil, 0, errors.Wrapf(ErrCorrupt, "table: %q ends within its header", kind)
	}
	if found := string(rest[:kindBytes]); found != kind {
		return nil, 0, errors.Wrapf(ErrWrongKind, "table: %q expected, %q found", kind, found)
	}
	rest = rest[kindBytes:]
	version := int64(binary.BigEndian.Uint64(rest))
	payload := rest[16:]
	if size := binary.BigEndian.Uint64(rest[8:]); size != uint64(len(payload)) {
		return nil, 0, errors.Wrapf(ErrCorrupt, "table: %q has %d payload bytes, %d expected", kind, len(payload), size)
	}
	return payload, version, nil
}
