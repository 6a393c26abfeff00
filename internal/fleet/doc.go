// Package fleet defines the types shared with the systems outside a cell: executors, which run
// tasks under a lease, the policy service, which issues tickets for executors, and the
// operator's configuration of queues and services.
package fleet
