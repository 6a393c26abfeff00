package front

import (
	"time"

	"github.com/daisyrack/daisyrack/pkg/queue"
	"github.com/daisyrack/daisyrack/pkg/route"
)

// turnKind says what a waiting request may do next.
type turnKind int

const (
	// turnSlot gives the request a slot of a backend server.
	turnSlot turnKind = iota
	// turnClaim asks the request to claim its key and to come back for a slot.
	turnClaim
	// turnRefused ends the request; it did not run.
	turnRefused
)

// turn is the dispatcher's answer to a waiting request.
type turn struct {
	kind       turnKind
	slot       route.Slot
	status     int
	reason     string
	retryAfter time.Duration
}

// ticket is one request on its way through the dispatcher.
type ticket struct {
	request route.Request
	item    queue.Item
	// turns has room for every turn that a ticket can get, so that the
	// dispatcher never waits.
	turns chan turn
	// claiming is set while the request claims its key; only the dispatcher uses it.
	claiming bool
}

// maxTurns is one turn to claim and one to run or to be refused.
const maxTurns = 2

func newTicket(r route.Request, class queue.Class, now time.Time) *ticket {
	k := &ticket{request: r, turns: make(chan turn, maxTurns)}
	k.item = queue.Item{
		ID:       r.ID,
		Team:     r.Team,
		Class:    class,
		Enqueued: now,
		Deadline: r.Deadline,
		Cost:     1,
		Value:    k,
	}
	return k
}
