// Package front serves the HTTP API of an entry instance.
//
// A single dispatcher goroutine queues the requests and decides which one runs next. A
// non-idempotent request then claims its idempotency key. After that the request takes a slot of
// a backend server and is forwarded. Every request ends with exactly one outcome.
package front
