package lease

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/daisyrack/daisyrack/pkg/table"
)

// Lease describes one ownership of a failure domain.
type Lease struct {
	FailureDomain string
	Holder        string
	Address       string
	Epoch         int64

	// EpochVersion is the version that the acquisition gave to the row epoch/<domain>. Only the
	// holder knows it.
	EpochVersion int64
}

// FencingCheck returns the check to include in each commit of the holder. The commit conflicts
// once another holder has acquired the lease.
func (l Lease) FencingCheck() table.Check {
	return table.Check{Key: EpochKey(l.FailureDomain), Version: l.EpochVersion}
}

// OwnerKey returns the key of the row that names the owner of a failure domain.
func OwnerKey(failureDomain string) string {
	return "own/" + failureDomain
}

// EpochKey returns the key of the row that holds the epoch. Renewals leave it unchanged; only
// acquisitions write it.
func EpochKey(failureDomain string) string {
	return "epoch/" + failureDomain
}

// ownerRecord is the value of the row own/<domain>.
type ownerRecord struct {
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
