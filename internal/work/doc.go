// Package work is a stand-in for a worker: it simulates tasks and obeys one owner at a time.
//
// It keeps a permanent record of its runs, from which a test can prove that no
// task ran twice at the same time and that no more was granted than there is.
// The protocol is described in docs/protocols.md.
package work
