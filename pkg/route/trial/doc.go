// Package trial compares load balancing policies in a simulation.
package trial
