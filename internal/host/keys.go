package host

import (
	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/team"
)

// activeConfig is the configuration in force with the directory of its keys.
type activeConfig struct {
	config    *fleet.Config
	directory *team.Directory
}

// logConflicts logs that teams of a configuration have the same key.
func (h *Host) logConflicts(a *activeConfig) {
	if conflicts := a.directory.Conflicts; len(conflicts) > 0 {
		h.Log.WithField("version", a.config.Version).WithField("keys", len(conflicts)).
			WithField("holder", conflicts[0].Holder).WithField("other", conflicts[0].Other).
			Warn("teams have the same key; it identifies the first of them by name")
	}
}

// Authorize finds the team of a request by its key, which is empty if the request has none. It must be called after the
// head of the request was read.
func (h *Host) Authorize(key string) team.Decision {
	a := h.active.Load()
	if a == nil || !a.config.KeysRequired {
		return team.Decision{Verdict: team.Allowed}
	}
	return team.Decide(a.directory, key)
}
