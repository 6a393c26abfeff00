// Package host implements one instance of a cell. The instance follows the owner of the cell, takes the
// cell over when the owner fails, and forwards the requests of clients to the owner.
package host
