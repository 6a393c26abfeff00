// Package queue implements admission control and fair queueing.
//
// A Queue guarantees each class a share of the service. A class that received
// less than its share is served first; service that no class is owed is lent to
// the classes in order of urgency. Within a class the teams are served by weighted
// fair queueing, and the items of a team in order of arrival. Service is measured
// as the cost of an item times its run time, so that long and short items are
// treated alike.
//
// The current time is passed as an argument. A Queue is not safe for concurrent use.
package queue
