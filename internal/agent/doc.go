// Package agent is the client of the worker protocol.
package agent
