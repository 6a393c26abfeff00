// Package duty runs the goroutines of an application from its start to its stop.
package duty
