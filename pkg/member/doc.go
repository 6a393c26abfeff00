// Package member tracks the membership and state of entry instances as seen by one of them.
//
// Reports come from three sources. What an instance reports about itself is
// authoritative. Reports by other instances and the platform's list, which lags,
// can only add instances, addresses, higher incarnations and departures. The
// state suspect affects where traffic is sent and nothing else.
//
// The package does no I/O and starts no goroutines: callers pass in the time, and
// a View must be used by one goroutine only.
package member
