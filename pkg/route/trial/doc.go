// Package trial compares policies of backend server selection in simulated time.
package trial
