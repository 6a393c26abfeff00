// Package host is one instance of the cell: it follows the owner, becomes the owner when that
// one is gone, and hands callers' requests to whoever owns the cell.
package host
