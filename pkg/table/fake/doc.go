// Package fake is an in-memory table service and object store with fault injection, for tests of
// packages that use pkg/table. It has no instance list.
package fake
