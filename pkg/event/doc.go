// Package event records the events of all instances and merges them into one timeline.
package event
