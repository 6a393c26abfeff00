// Package plat is a stand-in for the platform: table service, object store and lagging instance list.
//
// Everything is kept in memory. The protocol is described in docs/protocols.md.
package plat
