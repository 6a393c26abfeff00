package once

import "sync/atomic"

// Stats holds the counters of a Deduplicator. The field names are also metric names.
type Stats struct {
	// Verdicts counts the results of Claim, indexed by ClaimResult.
	Verdicts [Unavailable + 1]atomic.Int64
	// UnknownClaims counts claims that were not run because their commit stayed unknown.
	UnknownClaims atomic.Int64
	// Unreadable counts rows and objects that can't be decoded.
	Unreadable atomic.Int64
	// Retries counts row changes that were tried again in the background.
	Retries atomic.Int64
	// Dropped counts row changes that were given up; their rows stay claimed until the sweep.
	Dropped atomic.Int64
	// Swept counts rows deleted by Sweep.
	Swept atomic.Int64
}

func (s *Stats) count(v ClaimResult) {
	s.Verdicts[v].Add(1)
}
