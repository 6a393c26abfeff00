// Package front serves the HTTP API of an entry instance.
package front
