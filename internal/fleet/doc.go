// Package fleet has the model of what daisyrack talks to: executors that run tasks under
// a lease, the policy service that allows executors for a step, and the operator's queues.
package fleet
