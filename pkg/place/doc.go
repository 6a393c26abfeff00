// Package place decides which worker holds a task.
package place
