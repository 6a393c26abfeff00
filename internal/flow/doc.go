// Package flow models the lifecycle of a job: dependencies between steps, attempts, gangs,
// occurrences and checkpoints. It is a state machine without I/O: it decides which steps may
// start and how the end of a run changes a job, and converts jobs to and from their records.
package flow
