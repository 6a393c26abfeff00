// Package event records the time line of events over all processes.
package event
