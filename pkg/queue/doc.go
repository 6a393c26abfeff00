// Package queue decides which work is admitted and which runs next.
package queue
