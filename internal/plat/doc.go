// Package plat is an in-memory fake of the platform: table service, object store and an instance
// list whose updates become visible after a configurable delay.
//
// It can inject faults such as outages, slow calls and lost responses. The protocol is described in
// docs/protocols.md.
package plat
