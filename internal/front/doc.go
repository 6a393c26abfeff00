// Package front serves the HTTP API of an entry instance.
//
// A request waits in the queue of one dispatcher goroutine until its turn: then
// it claims its key if it is non-idempotent, takes a slot of a backend server
// and is forwarded. Every request ends with exactly one outcome.
package front
