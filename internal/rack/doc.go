// Package rack runs a whole rack in one process.
package rack
