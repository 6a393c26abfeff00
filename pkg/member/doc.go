// Package member keeps one entry instance's view of the others.
//
// Three sources are ranked: what an instance says itself is taken at its word,
// what another instance or the lagging platform list says only adds instances,
// addresses, higher incarnations and departures. Suspicion steers traffic and
// decides nothing else.
//
// The package is pure: time is passed in and one goroutine owns a View.
package member
