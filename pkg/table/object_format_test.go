package table_test

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/daisyrack/daisyrack/pkg/table"
)

// Guards against the use of an object that is damaged or of another kind, and against a wrong
// error for it.
func TestDecodeObjectErrors(t *testing.T) {
	encoded := table.EncodeObject("usage", 7, []byte("payload"))
	newer := bytes.Clone(encoded)
	newer[4]++
	cases := []struct {
		name string
		b    []byte
		want error
	}{
		{"complete", encoded, nil},
		{"empty", nil, table.ErrCorrupt},
		{"cut off within the header", encoded[:6], table.ErrCorrupt},
		{"last byte missing", encoded[:len(encoded)-1], table.ErrCorrupt},
		{"byte appended", append(bytes.Clone(encoded), 0), table.ErrCorrupt},
		{"other kind", table.EncodeObject("other", 7, []byte("payload")), table.ErrWrongKind},
		{"not an encoded object", []byte(`{"version":7}`), table.ErrWrongKind},
		{"newer format", newer, table.ErrNewerFormat},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			payload, version, err := table.DecodeObject("usage", tc.b)
			assert.ErrorIs(t, err, tc.want)
			if tc.want == nil {
				assert.Equal(t, string(payload), "payload")
				assert.Equal(t, version, int64(7))
			}
		})
	}
}

// Guards against damage to a single bit that the checksum does not detect.
func TestDecodeObjectDetectsDamage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		payload := rapid.SliceOf(rapid.Byte()).Draw(t, "payload")
		kind := rapid.String().Draw(t, "kind")
		encoded := table.EncodeObject(kind, rapid.Int64().Draw(t, "version"), payload)
		at := rapid.IntRange(0, len(encoded)-1).Draw(t, "at")
		encoded[at] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		_, _, err := table.DecodeObject(kind, encoded)
		assert.Assert(t, err != nil)
	})
}
