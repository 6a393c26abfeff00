// Package table is the client of the platform's table service, object store and instance list.
package table
