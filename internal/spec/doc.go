// Package spec holds the contract tests of the three outside interfaces.
//
// The cases are tables in testdata. They run against the stand-ins, or against
// a real adapter when its base URL is in DAISYRACK_PLATFORM_URL,
// DAISYRACK_WORKER_URL or DAISYRACK_BACKEND_URL; docs/protocols.md describes
// what they need.
package spec
