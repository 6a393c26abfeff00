// Package logs writes log lines asynchronously, so that logging never blocks the caller.
package logs
