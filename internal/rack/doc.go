// Package rack runs a whole cluster in one process over loopback: entry
// instances in several failure domains, and stand-ins for the platform, the
// workers and the backend servers.
//
// It also generates load and checks from the responses and from the stand-ins'
// records that nothing was lost, run twice or overcommitted.
package rack
