// Package work is a fake worker. It simulates tasks and accepts commands from one owner at a time.
//
// It keeps a history of all runs, with which a test can verify that no task had two concurrent runs
// and that the granted resources never exceeded the capacity.
// The protocol is described in docs/protocols.md.
package work
