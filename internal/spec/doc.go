// Package spec holds the contract tests of the three external interfaces: platform, worker and
// backend server.
//
// The test cases are tables in testdata. By default they run against the
// stand-ins. With a base URL in DAISYRACK_PLATFORM_URL, DAISYRACK_WORKER_URL
// or DAISYRACK_BACKEND_URL they run against a real adapter; docs/protocols.md
// describes what they need.
package spec
