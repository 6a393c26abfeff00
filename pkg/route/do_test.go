package route_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/pkg/route"
)

// Guards against a request that is lost, run twice or answered with a partial body.
func TestRequestRunsOnceAndIsAnswered(t *testing.T) {
	f := newFake(t, "b1")
	r := &route.Router{Instance: "e1"}
	r.SetPeers(1)
	r.Set([]route.Backend{f.listen()})
	ans := send(t, r, request("q1"))
	assert.Equal(t, ans.Outcome, route.Answered)
	assert.Equal(t, string(ans.Body), "done")
	assert.Equal(t, ans.Attempts, 1)
	assert.Equal(t, f.ran("q1"), 1)
	assert.NilError(t, r.Drain(t.Context()))
	assert.Equal(t, r.Stats().Answered, uint64(1))
}

// Guards against a refusal that is reported for a request which ran, and the other way round.
func TestServerRefusalsAreRetriedElsewhere(t *testing.T) {
	busy, free := newFake(t, "busy"), newFake(t, "free")
	busy.handle = busy.refuse
	r := &route.Router{Instance: "e1", Random: func(int) int { return 0 }}
	r.SetPeers(1)
	r.Set([]route.Backend{busy.listen(), free.listen()})
	req := request("q1")
	req.NonIdempotent = true
	ans := send(t, r, req)
	assert.Equal(t, ans.Outcome, route.Answered)
	assert.Equal(t, free.ran("q1"), 1)

	free.handle = func(w http.ResponseWriter, q *http.Request) { free.refuse(w, q) }
	ans = send(t, r, request("q2"))
	assert.Equal(t, ans.Outcome, route.Refused)
	assert.Check(t, !ans.MayHaveRun)
	assert.Equal(t, busy.ran("q2")+free.ran("q2"), 0)
}
