package once

import "sync/atomic"

// Stats holds the counters of a Deduplicator. The field names are also metric names.
type Stats struct {
	// Verdicts counts the results of Claim, indexed by ClaimResult.
	Verdicts [Unavailable + 1]atomic.Int64
	// UnknownClaims counts requests that were not run because the commit of their claim had an
	// unknown outcome.
	UnknownClaims atomic.Int64
	// Unreadable counts rows and objects that could not be decoded.
	Unreadable atomic.Int64
	// Retries counts attempts to apply row changes in the background.
	Retries atomic.Int64
	// Dropped counts row changes that were given up; their rows stay claimed until the sweep.
	Dropped atomic.Int64
	// Swept counts rows deleted by Sweep.
	Swept atomic.Int64
}

func (s *Stats) count(result ClaimResult) {
	s.Verdicts[result].Add(1)
}
