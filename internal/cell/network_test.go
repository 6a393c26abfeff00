package cell_test

import (
	"time"
)

// retransmission is the time between two attempts of the network to reach an executor that does not respond.
const retransmission = 20 * time.Millisecond

// call is one call of an owner to an executor. Exactly one of its functions is called.
type call struct {
	owner *owner
	id    string
	// incarnation is the only one that may execute the call; 0 is any.
	incarnation int64
	epoch       int64
	timeout     time.Duration

	// execute is called when the process at the address of the executor receives the call.
	execute func(x *fakeExecutor)
	// misdirected is called instead when another incarnation responds on a new connection.
	misdirected func(x *fakeExecutor)
	// fail is called when the connection breaks or the time is up. If sent is not set, no connection was opened.
	fail func(sent bool)
}

// send makes the call, which takes the given time to arrive.
//
// It uses a connection to the incarnation that runs, or one to a former incarnation, which breaks when the next one is
// back, or a new one. A new one is opened as soon as the executor is back or the partition ends, since the network
// repeats packets, and leads to whatever incarnation runs then.
func (c *call) send(delay time.Duration) {
	sim := c.owner.env
	x := sim.execs[c.id]
	connectedTo, end := x.incarnation, sim.now.Add(c.timeout)
	if stale := c.incarnation != 0 && c.incarnation != x.incarnation; stale || !c.owner.reaches(x) {
		connectedTo = 0
		if sim.network.IntN(2) == 0 {
			connectedTo = x.incarnation
			if stale {
				connectedTo = c.incarnation
			}
		}
	}
	sim.schedule(delay, func() { c.arrive(connectedTo, end) })
}

// arrive executes the call if the executor is reached, and otherwise tries again until its end.
func (c *call) arrive(connectedTo int64, end time.Time) {
	sim := c.owner.env
	x := sim.execs[c.id]
	switch {
	case x.replaced:
		c.execute(x)
	case x.down && x.refuses:
		c.fail(false)
	case !c.owner.reaches(x):
		if left := end.Sub(sim.now); left > 0 {
			sim.schedule(min(retransmission, left), func() { c.arrive(connectedTo, end) })
			return
		}
		c.fail(connectedTo != 0)
	case connectedTo != 0 && connectedTo != x.incarnation:
		sim.schedule(messageDelay, func() { c.fail(true) })
	case c.incarnation != 0 && c.incarnation != x.incarnation && !sim.unbound:
		// The poll that a new connection begins with names the epoch.
		x.maxEpoch = max(x.maxEpoch, c.epoch)
		c.misdirected(x)
	default:
		c.execute(x)
	}
}
