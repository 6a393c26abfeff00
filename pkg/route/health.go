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

// report is a backend server's answer to a health poll.
type report struct {
	State       State `json:"state"`
	Slots       int   `json:"slots"`
	Busy        int   `json:"busy"`
	Incarnation int64 `json:"incarnation"`
}

const maxReportBytes = 64 << 10

// pollAll starts a poll of each backend server.
func (r *Router) pollAll(ctx context.Context, polls *sync.WaitGroup) {
	r.mu.Lock()
	r.sweepLocked(r.now())
	servers := r.servers
	r.mu.Unlock()
	for _, s := range servers {
		r.startPoll(ctx, s, polls)
	}
}

// startPoll starts a poll of a backend server that has none in progress.
func (r *Router) startPoll(ctx context.Context, s *server, polls *sync.WaitGroup) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.polling || s.gone() || r.closed {
		return
	}
	s.polling = true
	polls.Go(func() { r.poll(ctx, s) })
}

// poll asks one backend server over a connection that requests use too.
func (r *Router) poll(run context.Context, s *server) {
	ctx, cancel := context.WithTimeout(run, orDefault(r.PollInterval, DefaultPollInterval))
	defer cancel()
	ln, err := s.links.get(ctx, s)
	var rep report
	if err == nil {
		rep, err = ln.report(ctx)
	}
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	s.polling = false
	if err == nil {
		s.report(rep)
		r.signalLocked()
		return
	}
	if run.Err() != nil {
		return
	}
	r.stats.PollFailures++
	// A poll without an answer can mean a silent connection, which is replaced.
	if ln == nil && !errors.Is(err, errNoConnection) {
		s.failed(now)
	}
}

func (ln *link) report(ctx context.Context) (report, error) {
	var rep report
	target := &url.URL{Scheme: "http", Host: ln.address, Path: "/health"}
	req := &http.Request{Method: http.MethodGet, URL: target, Host: target.Host, Header: http.Header{}}
	res, err := ln.conn.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return rep, err
	}
	defer func() { _ = res.Body.Close() }()
	err = json.NewDecoder(io.LimitReader(res.Body, maxReportBytes)).Decode(&rep)
	return rep, err
}

// report takes over a health report, unless it is of an earlier incarnation.
func (s *server) report(rep report) {
	if rep.Incarnation != 0 && rep.Incarnation < s.Incarnation {
		return
	}
	if rep.Incarnation > s.Incarnation {
		s.restarted(rep.Incarnation)
	}
	if rep.State == Leaving {
		s.selfMarked = true
	}
}

// markLeaving notes a backend server's own mark in an answer.
func (r *Router) markLeaving(s *server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.selfMarked = true
}
