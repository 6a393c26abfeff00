// Package conns keeps connections to executors and records which incarnation of an executor is at the other end of
// each. A connection belongs to one process and ends with it, so that a call on it reaches no later incarnation.
package conns
