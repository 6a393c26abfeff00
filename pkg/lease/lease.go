package lease

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/daisyrack/daisyrack/pkg/table"
)

// Lease is the ownership of a failure domain.
type Lease struct {
	FailureDomain string
	Holder        string
	Address       string
	Epoch         int64

	// EpochVersion is the version of the row epoch/<domain> after the acquisition; it is known
	// to the holder only.
	EpochVersion int64
}

// Check is the fence of the holder's commits: it fails once another holder has taken over.
func (l Lease) FencingCheck() table.Check {
	return table.Check{Key: EpochKey(l.FailureDomain), Version: l.EpochVersion}
}

// OwnKey is the key of the row that names the owner of a failure domain.
func OwnerKey(failureDomain string) string {
	return "own/" + failureDomain
}

// EpochKey is the key of the row that only acquisitions change.
func EpochKey(failureDomain string) string {
	return "epoch/" + failureDomain
}

// record is the value of the row own/<domain>.
type record struct {
	Holder  string `json:"holder"`
	Address string `json:"address"`
	Epoch   int64  `json:"epoch"`
	Nonce   string `json:"nonce"`
}

// epochRecord is the value of the row epoch/<domain>.
type epochRecord struct {
	Epoch int64 `json:"epoch"`
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(errors.Wrap(err, "lease: unable to encode row"))
	}
	return b
}

func decode(row table.Row, v any) error {
	return errors.Wrapf(json.Unmarshal(row.Value, v), "lease: unable to decode row %q", row.Key)
}
