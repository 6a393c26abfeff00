// Package route chooses backend servers and forwards requests to them.
package route
