// Package back is a fake backend server. It runs a limited number of requests concurrently and echoes
// their bodies.
//
// It counts the runs of each request and each idempotency key, so that a test can verify that no
// request ran twice. The protocol is described in docs/protocols.md.
package back
