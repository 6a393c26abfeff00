// Package duty runs background goroutines for the lifetime of an application.
package duty
