package team_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/team"
)

// Guards against a key that identifies another team on another instance, which would depend on the order of a map.
func TestKeyOfSeveralTeamsBelongsToTheFirstByName(t *testing.T) {
	shared := fleet.HashKey("shared")
	d := team.NewDirectory([]fleet.Team{
		{Name: "c", KeyHashes: []fleet.KeyHash{shared, fleet.HashKey("k-c")}},
		{Name: "a", KeyHashes: []fleet.KeyHash{shared, shared}},
		{Name: "b", KeyHashes: []fleet.KeyHash{shared}},
	})
	for key, want := range map[string]string{"shared": "a", "k-c": "c", "": "", "k": "", strings.Repeat("k", team.MaxKeyBytes+1): ""} {
		name, ok := d.Lookup(key)
		assert.Equal(t, name, want)
		assert.Equal(t, ok, want != "")
	}
	assert.DeepEqual(t, d.Conflicts, []team.Conflict{{Holder: "a", Other: "b"}, {Holder: "a", Other: "c"}})
	assert.Equal(t, d.Len(), 2)
}

// largeTeams returns teams and keys of the size that an instance has to carry.
func largeTeams() []fleet.Team {
	teams := make([]fleet.Team, 1000)
	for i := range teams {
		teams[i].Name = fmt.Sprintf("team-%04d", i)
		for k := range 10 {
			teams[i].KeyHashes = append(teams[i].KeyHashes, fleet.HashKey(largeKey(i, k)))
		}
	}
	return teams
}

func largeKey(i, k int) string { return fmt.Sprintf("key-%08d-%08d-0123456789abcdef", i, k) }

// Guards against a directory that takes a large part of the memory of an instance of 144 MB: 5 MB are allowed for it
// and for all that quotas and shares keep.
func TestDirectoryIsSmall(t *testing.T) {
	teams := largeTeams()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	d := team.NewDirectory(teams)
	runtime.GC()
	runtime.ReadMemStats(&after)
	assert.Equal(t, d.Len(), 10_000)
	size := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	t.Logf("directory: %d bytes", size)
	assert.Assert(t, size < 2<<20, "%d bytes", size)
	runtime.KeepAlive(teams)
}

// Guards against a lookup that makes the collector run more often under load.
func TestLookupAllocatesNothing(t *testing.T) {
	d := team.NewDirectory(largeTeams())
	key := largeKey(17, 3)
	assert.Equal(t, testing.AllocsPerRun(100, func() { _, _ = d.Lookup(key) }), 0.0)
}

func BenchmarkLookup(b *testing.B) {
	d := team.NewDirectory(largeTeams())
	keys := make([]string, 0, 10_000)
	for i := range 1000 {
		for k := range 10 {
			keys = append(keys, largeKey(i, k))
		}
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		if _, ok := d.Lookup(keys[i%len(keys)]); !ok {
			b.Fatal("key is not known")
		}
	}
}
