// Package back is a stand-in for a backend server: it runs requests in slots and echoes their bodies.
//
// It keeps a record of how often each request and each idempotency key ran,
// from which a test can prove that nothing ran twice. The protocol is
// described in docs/protocols.md.
package back
