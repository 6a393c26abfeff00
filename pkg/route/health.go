package route

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sync"

	"github.com/cockroachdb/errors"
)

// healthReport is the response of a backend server to a health poll.
type healthReport struct {
	State       State `json:"state"`
	Slots       int   `json:"slots"`
	Busy        int   `json:"busy"`
	Incarnation int64 `json:"incarnation"`
}

const maxHealthReportBytes = 64 << 10

// pollAll starts a poll of each backend server.
func (r *Router) pollAll(ctx context.Context, polls *sync.WaitGroup) {
	r.mu.Lock()
	r.refreshServersLocked(r.now())
	servers := r.servers
	r.mu.Unlock()
	for _, s := range servers {
		r.startPoll(ctx, s, polls)
	}
}

// startPoll starts a poll of a backend server unless one is in progress.
func (r *Router) startPoll(ctx context.Context, s *server, polls *sync.WaitGroup) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.polling || s.gone() || r.closed {
		return
	}
	s.polling = true
	polls.Go(func() { r.poll(ctx, s) })
}

// poll polls one backend server over a connection that is shared with requests.
func (r *Router) poll(run context.Context, s *server) {
	ctx, cancel := context.WithTimeout(run, orDefault(r.PollInterval, DefaultPollInterval))
	defer cancel()
	conn, err := s.pool.reserve(ctx, s)
	var rep healthReport
	if err == nil {
		rep, err = conn.fetchHealth(ctx)
	}
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	s.polling = false
	if err == nil {
		s.applyHealth(rep)
		s.notifyState(now)
		r.signalSlotLocked()
		return
	}
	if run.Err() != nil {
		return
	}
	r.stats.PollFailures++
	// A poll that got no response over an open connection is no failure of the server: the
	// connection may be unresponsive and will be replaced.
	if conn == nil && !errors.Is(err, errNoConnection) {
		s.recordFailure(now)
	}
}

func (c *clientConn) fetchHealth(ctx context.Context) (healthReport, error) {
	var rep healthReport
	target := &url.URL{Scheme: "http", Host: c.address, Path: "/health"}
	req := &http.Request{Method: http.MethodGet, URL: target, Host: target.Host, Header: http.Header{}}
	res, err := c.h2.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return rep, err
	}
	defer func() { _ = res.Body.Close() }()
	err = json.NewDecoder(io.LimitReader(res.Body, maxHealthReportBytes)).Decode(&rep)
	return rep, err
}

// applyHealth applies a health report, unless it is from an earlier incarnation.
func (s *server) applyHealth(rep healthReport) {
	if rep.Incarnation != 0 && rep.Incarnation < s.Incarnation {
		return
	}
	if rep.Incarnation > s.Incarnation {
		s.resetForIncarnation(rep.Incarnation)
	}
	s.busy = rep.Busy
	if s.slotsFromHealth {
		s.Slots = max(rep.Slots, 0)
	}
	if rep.State == Leaving {
		s.reportedLeaving = true
	}
}

// markLeaving records that a backend server reported in a response that it is leaving.
func (r *Router) markLeaving(s *server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.reportedLeaving = true
	s.notifyState(r.now())
}
