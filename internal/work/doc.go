// Package work is a stand-in for a worker.
package work
