package once

import (
	"encoding/json"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/daisyrack/daisyrack/pkg/table"
)

const (
	rowPrefix  = "once/"
	objectKind = "once"

	// MaxInlineBytes is the largest response body that is stored in the row itself.
	MaxInlineBytes = 16 << 10

	stateClaimed = "claimed"
	stateDone    = "done"
)

// record is the value of the row once/<user>/<key>.
type record struct {
	State       string `json:"state"`
	Holder      string `json:"holder"`
	Nonce       string `json:"nonce"`
	BodyHash    uint64 `json:"body_hash"`
	ClaimedMS   int64  `json:"claimed_ms"`
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`

	// ObjectVersion is the version of the object that holds the response body; 0 means that the
	// body is in Body.
	ObjectVersion int64 `json:"object_version,omitempty"`
}

func (r record) encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic(errors.Wrap(err, "once: unable to encode row"))
	}
	return b
}

func decodeRecord(row table.Row) (record, error) {
	var r record
	err := json.Unmarshal(row.Value, &r)
	return r, errors.Wrapf(err, "once: unable to decode row %q", row.Key)
}

// rowKey returns the key of the row, which is also the name of the object that holds a large body.
func rowKey(user, key string) string {
	return rowPrefix + escapeSegment(user) + "/" + escapeSegment(key)
}

// escapeSegment escapes a part of a row key, so that no two pairs of user and key share a row, and
// no part changes the path of an object.
func escapeSegment(name string) string {
	if strings.Trim(name, ".") == "" {
		return strings.ReplaceAll(name, ".", "%2E")
	}
	return url.PathEscape(name)
}
