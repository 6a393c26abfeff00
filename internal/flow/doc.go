// Package flow is the life of a job: steps that follow steps, attempts, gangs, occurrences
// and checkpoints. It is a pure state machine: it decides which tasks may start and what an
// end changes, and converts a job to and from its records.
package flow
