package guard

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
)

// Guard applies a budget to one listener. Set the exported fields before Listen.
type Guard struct {
	// Name is the name of the listener in metrics and log lines.
	Name   string
	Limits Limits
	Log    log.Interface

	budget Budget
	lines  lineLimiter
	start  time.Time
}

// Listen returns a listener whose connections are in the budget. With respond, a connection that is refused gets the
// response 503; otherwise it is only closed.
func (g *Guard) Listen(l net.Listener, respond bool) net.Listener {
	g.budget.Limits = g.Limits
	g.start = time.Now()
	return &listener{Listener: l, guard: g, respond: respond}
}

// Configure makes a server for the guard's listener report the state of its connections, and guards its handler.
func (g *Guard) Configure(s *http.Server) {
	s.ConnContext = withConn
	s.ConnState = connStateChanged
	s.Handler = g.handler(s.Handler)
}

// now returns the time since the guard was started, by the monotonic clock.
func (g *Guard) now() time.Duration { return time.Since(g.start) }

// evict closes connections that were removed from the budget to make room.
func (g *Guard) evict(victims []*Member) {
	for _, m := range victims {
		g.report(m.Source, CauseEvicted)
		m.Close()
	}
}

// report counts a refusal or a closed connection. It writes one log line for each source and second.
func (g *Guard) report(source, cause string) {
	metrics.GetOrCreateCounter(`guard_refused_total{listener="` + g.Name + `",cause="` + cause + `"}`).Inc()
	if unlogged, ok := g.lines.allow(source, g.now()); ok {
		u := g.budget.Usage()
		g.Log.WithField("listener", g.Name).WithField("source", source).WithField("cause", cause).
			WithField("connections", u.Connections).WithField("requests", u.Requests).WithField("held_bytes", u.HeldBytes).
			WithField("unlogged", unlogged).Info("client refused or connection closed")
	}
}

// WriteMetrics writes the use of the budget in the Prometheus text format.
func (g *Guard) WriteMetrics(w io.Writer) {
	u := g.budget.Usage()
	for _, line := range []struct {
		name         string
		value, limit int64
	}{
		{"connections", int64(u.Connections), int64(g.Limits.Connections)},
		{"requests", int64(u.Requests), int64(g.Limits.Requests)},
		{"held_bytes", u.HeldBytes, g.Limits.HeldBytes},
	} {
		_, _ = fmt.Fprintf(w, "guard_%s{listener=%q} %d\nguard_%s_limit{listener=%q} %d\n", line.name, g.Name, line.value, line.name, g.Name, line.limit)
	}
	_, _ = fmt.Fprintf(w, "guard_sources{listener=%q} %d\n", g.Name, u.Sources)
}
