package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	adviceTime    = 20 * time.Millisecond
	adviceTimeFor = 300 * time.Microsecond
	ticketTime    = 2 * time.Second
)

// policy is a stand-in of the policy service. It allows a step on the executors for which allows returns true.
type policy struct {
	rec    *record
	allows func(step, executor string) bool

	mu sync.Mutex
	// issued holds, by ticket, what it allows and until when.
	issued map[string]issue
}

type issue struct {
	step, executor string
	until          time.Time
}

// ServeHTTP serves one call for advice.
func (p *policy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var req struct {
		Step    string
		Workers []string
	}
	_ = json.NewDecoder(r.Body).Decode(&req)
	time.Sleep(adviceTime + time.Duration(len(req.Workers))*adviceTimeFor)
	p.mu.Lock()
	defer p.mu.Unlock()
	good := [][2]string{}
	for _, id := range req.Workers {
		if !p.allows(req.Step, id) {
			continue
		}
		ticket := fmt.Sprintf("t%d", len(p.issued))
		p.issued[ticket] = issue{req.Step, id, time.Now().Add(ticketTime)}
		good = append(good, [2]string{id, ticket})
	}
	p.rec.log("policy service: step %s, asked for %d executors, allowed %v", req.Step, len(req.Workers), good)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"good": good, "valid_ms": ticketTime.Milliseconds()})
}

// valid reports whether a ticket allows a step on an executor now.
func (p *policy) valid(ticket, step, executor string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	i, ok := p.issued[ticket]
	return ok && i.step == step && i.executor == executor && time.Now().Before(i.until)
}
