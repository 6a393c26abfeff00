package fleet_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/fleet"
)

// Guards against a rejected start that counts as a run: each status has to say what it proves.
func TestProofOfStart(t *testing.T) {
	want := map[fleet.Status]fleet.StartProof{
		fleet.Executed: fleet.HasRun, fleet.AlreadyEnded: fleet.HasRun,
		fleet.NoResponse: fleet.MayRun, fleet.Undelivered: fleet.MayRun,
		fleet.Fenced: fleet.HasNotRun, fleet.ArrivedLate: fleet.HasNotRun, fleet.InsufficientCapacity: fleet.HasNotRun,
		fleet.InvalidTicket: fleet.HasNotRun, fleet.Unavailable: fleet.HasNotRun, fleet.WrongExecutor: fleet.HasNotRun,
		fleet.Malformed: fleet.HasNotRun, fleet.NotSent: fleet.HasNotRun, fleet.Restarted: fleet.HasNotRun,
	}
	known := 0
	for s := fleet.Executed; s.String() != "unknown"; s++ {
		proof, ok := want[s]
		assert.Assert(t, ok, "%s is not in the table", s)
		assert.Equal(t, s.ProofOfStart(), proof, "%s", s)
		known++
	}
	assert.Equal(t, known, len(want))
	assert.Equal(t, fleet.Status(known).ProofOfStart(), fleet.MayRun, "unknown status")
}
