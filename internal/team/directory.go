package team

import (
	"crypto/sha256"
	"slices"
	"strings"

	"github.com/daisyrack/daisyrack/internal/fleet"
)

// MaxKeyBytes is the maximum length of a key. A longer one identifies no team, so that no request costs more than one
// hash of this size.
const MaxKeyBytes = 512

// Directory finds the team of a key. It is immutable.
type Directory struct {
	// teams holds the name of the team by the hash of its key.
	teams map[fleet.KeyHash]string
	// Conflicts are keys that more than one team has.
	Conflicts []Conflict
}

// Conflict is a key that two teams have; the key itself is not kept.
type Conflict struct {
	// Holder is the team that the key identifies, Other the one that it does not.
	Holder, Other string
}

// NewDirectory returns the directory of the keys of teams. A key of several teams identifies the first of them in
// order of name.
func NewDirectory(teams []fleet.Team) *Directory {
	order := make([]*fleet.Team, len(teams))
	n := 0
	for i := range teams {
		order[i] = &teams[i]
		n += len(teams[i].KeyHashes)
	}
	slices.SortFunc(order, func(a, b *fleet.Team) int { return strings.Compare(a.Name, b.Name) })
	d := &Directory{teams: make(map[fleet.KeyHash]string, n)}
	for _, t := range order {
		for _, hash := range t.KeyHashes {
			holder, held := d.teams[hash]
			switch {
			case !held:
				d.teams[hash] = t.Name
			case holder != t.Name:
				d.Conflicts = append(d.Conflicts, Conflict{Holder: holder, Other: t.Name})
			}
		}
	}
	return d
}

// Lookup returns the team of a key, and false if there is none. It allocates no memory.
func (d *Directory) Lookup(key string) (string, bool) {
	if key == "" || len(key) > MaxKeyBytes {
		return "", false
	}
	var buf [MaxKeyBytes]byte
	name, ok := d.teams[sha256.Sum256(buf[:copy(buf[:], key)])]
	return name, ok
}

// Len returns the number of keys.
func (d *Directory) Len() int { return len(d.teams) }
