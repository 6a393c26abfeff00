package table_test

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/daisyrack/daisyrack/pkg/table"
)

// Guards against the use of an object that is not what its reader expects.
func TestOpenNamesTheReason(t *testing.T) {
	sealed := table.Seal("usage", 7, []byte("payload"))
	newer := bytes.Clone(sealed)
	newer[4]++
	cases := []struct {
		name string
		b    []byte
		want error
	}{
		{"whole", sealed, nil},
		{"empty", nil, table.ErrTorn},
		{"cut off within the header", sealed[:6], table.ErrTorn},
		{"last byte missing", sealed[:len(sealed)-1], table.ErrTorn},
		{"byte appended", append(bytes.Clone(sealed), 0), table.ErrTorn},
		{"other kind", table.Seal("other", 7, []byte("payload")), table.ErrForeign},
		{"no sealed object", []byte(`{"version":7}`), table.ErrForeign},
		{"newer format", newer, table.ErrNewer},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			payload, version, err := table.Open("usage", tc.b)
			assert.ErrorIs(t, err, tc.want)
			if tc.want == nil {
				assert.Equal(t, string(payload), "payload")
				assert.Equal(t, version, int64(7))
			}
		})
	}
}

// Guards against damage that the checksum does not cover.
func TestOpenRefusesAnyDamage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		payload := rapid.SliceOf(rapid.Byte()).Draw(t, "payload")
		kind := rapid.String().Draw(t, "kind")
		sealed := table.Seal(kind, rapid.Int64().Draw(t, "version"), payload)
		at := rapid.IntRange(0, len(sealed)-1).Draw(t, "at")
		sealed[at] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		_, _, err := table.Open(kind, sealed)
		assert.Assert(t, err != nil)
	})
}
