package front

import (
	"time"

	"github.com/daisyrack/daisyrack/pkg/queue"
	"github.com/daisyrack/daisyrack/pkg/route"
)

// decisionKind is what the dispatcher decided about a waiting request.
type decisionKind int

const (
	// decisionRun gives the request a slot of a backend server.
	decisionRun decisionKind = iota
	// decisionClaim tells the request to claim its key and to return for a slot.
	decisionClaim
	// decisionRefuse ends the request without running it.
	decisionRefuse
)

// decision is the dispatcher's reply to a waiting request.
type decision struct {
	kind       decisionKind
	slot       route.Slot
	status     int
	reason     string
	retryAfter time.Duration
}

// pendingRequest is a request that was handed to the dispatcher and has not finished.
type pendingRequest struct {
	request route.Request
	item    queue.Item
	// decisions can buffer all decisions about a request, so that the dispatcher never blocks.
	decisions chan decision
	// claiming is set while the request is claiming its key; only the dispatcher goroutine
	// reads or writes it.
	claiming bool
}

// maxDecisions is one decision to claim the key and one to run or to be refused.
const maxDecisions = 2

func newPendingRequest(r route.Request, class queue.Class, now time.Time) *pendingRequest {
	p := &pendingRequest{request: r, decisions: make(chan decision, maxDecisions)}
	p.item = queue.Item{
		ID:       r.ID,
		Team:     r.Team,
		Class:    class,
		Enqueued: now,
		Deadline: r.Deadline,
		Cost:     1,
		Value:    p,
	}
	return p
}
