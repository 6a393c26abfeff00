// Package fake is an in-memory platform with faults, for tests of packages that use the table.
// It holds rows, tokens and objects, but no instance list.
package fake
