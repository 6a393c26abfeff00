// Package agent implements the client side of the protocol between the owner of a failure domain
// and its workers.
package agent
