// Package cell implements the owner of a cell: it accepts jobs, decides which tasks run on which
// executors, and persists the state that a later owner needs.
//
// Core makes the decisions. It does no I/O and is not safe for concurrent use: the current time is
// passed in, and the calls to executors that it decides on are returned as commands. Driver
// connects a Core to the executors, the store and the policy service.
package cell
