// Package cell is the duty of the owner of a cell: it accepts jobs, decides which tasks run
// where, and keeps what must last.
//
// A Core decides. It is pure: time is passed in, one goroutine owns it, and what it wants
// done is returned as orders. A Driver joins a Core to executors, the store and the policy
// service.
package cell
