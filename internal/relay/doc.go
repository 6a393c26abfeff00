// Package relay makes the owner's calls to executors through other instances.
//
// The owner of a large cell decides on more calls than its own processor and network link can carry.
// A Sender distributes them over a few large followers, the relays, and groups them into batches; a
// Server on each relay makes the calls. A relay decides nothing: each call carries the owner's epoch,
// and a call whose relay fails ends like one whose executor does not respond. A delay in a relay only
// shortens leases, since the owner counts an executor's clock from the time a response reaches it.
package relay
