package plat

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Instance is one entry of the platform's instance list.
type Instance struct {
	Name          string `json:"name"`
	Role          string `json:"role"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Rack          string `json:"rack,omitempty"`
	State         string `json:"state"`
	Incarnation   int64  `json:"incarnation"`
}

// The roles and states of an instance.
const (
	RoleEntry   = "entry"
	RoleWorker  = "worker"
	RoleBackend = "backend"

	StateLive    = "live"
	StateLeaving = "leaving"
	StateGone    = "gone"
)

// InstanceList is the list as it was at one moment, in milliseconds since 1970.
type InstanceList struct {
	Instances []Instance `json:"instances"`
	AsOfMs    int64      `json:"as_of_ms"`
}

// ErrOutdated reports a change that the list has already moved past: it belongs to an earlier
// incarnation, or to an earlier state of the same one. Such a call was delayed on its way.
var ErrOutdated = errors.New("plat: a later incarnation or state is registered")

// states are in the order that an incarnation passes through them.
var states = []string{StateLive, StateLeaving, StateGone}

type change struct {
	at       time.Time
	instance Instance
}

// list holds the present instances, the lagging view and the changes in between.
type list struct {
	present map[string]Instance
	view    map[string]Instance
	pending []change
	asOf    time.Time
}

func (l *list) init() {
	l.present = make(map[string]Instance)
	l.view = make(map[string]Instance)
}

// publish moves the view to now minus lag; a longer lag never takes it back.
func (l *list) publish(now time.Time, lag time.Duration) {
	asOf := now.Add(-lag)
	if asOf.Before(l.asOf) {
		return
	}
	l.asOf = asOf
	n := 0
	for n < len(l.pending) && !l.pending[n].at.After(asOf) {
		l.view[l.pending[n].instance.Name] = l.pending[n].instance
		n++
	}
	l.pending = l.pending[n:]
}

func (l *list) put(now time.Time, in Instance) error {
	old, ok := l.present[in.Name]
	sameLife := in.Incarnation == old.Incarnation
	backwards := slices.Index(states, in.State) < slices.Index(states, old.State)
	if ok && (in.Incarnation < old.Incarnation || sameLife && backwards) {
		return ErrOutdated
	}
	l.present[in.Name] = in
	l.pending = append(l.pending, change{at: now, instance: in})
	return nil
}

// Register adds or changes an instance of the list.
func (s *Server) Register(in Instance) error {
	s.once.Do(s.start)
	if err := in.validate(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list.put(time.Now(), in)
}

// Remove takes an instance away; the list shows it as gone after the lag.
func (s *Server) Remove(name string) {
	s.once.Do(s.start)
	s.mu.Lock()
	defer s.mu.Unlock()
	in, ok := s.list.present[name]
	if !ok {
		return
	}
	in.State = StateGone
	_ = s.list.put(time.Now(), in)
}

func (in Instance) validate() error {
	if in.Name == "" || in.Address == "" || in.FailureDomain == "" {
		return errors.New("plat: name, address and failure_domain must not be empty")
	}
	if !slices.Contains([]string{RoleEntry, RoleWorker, RoleBackend}, in.Role) {
		return errors.Newf("plat: role %q must be entry, worker or backend", in.Role)
	}
	if !slices.Contains(states, in.State) {
		return errors.Newf("plat: state %q must be live, leaving or gone", in.State)
	}
	return nil
}

func (s *Server) instances(*http.Request) answer {
	s.list.publish(time.Now(), s.lag())
	out := InstanceList{Instances: []Instance{}, AsOfMs: s.list.asOf.UnixMilli()}
	for _, in := range s.list.view {
		out.Instances = append(out.Instances, in)
	}
	slices.SortFunc(out.Instances, func(a, b Instance) int { return cmp.Compare(a.Name, b.Name) })
	return answer{status: http.StatusOK, value: out}
}

// putInstance is no part of the real platform, so it is outside the rate limits and counts.
func (s *Server) putInstance(w http.ResponseWriter, r *http.Request) {
	var in Instance
	if err := ReadJSON(w, r, &in); err != nil {
		problem(http.StatusBadRequest, "instance: %v", err).send(w)
		return
	}
	s.serve(w, r, unlimited, func() (answer, bool) {
		return s.change(r.PathValue("name"), in), false
	})
}

func (s *Server) change(name string, in Instance) answer {
	if in.Name != name {
		return problem(http.StatusBadRequest, "name %q differs from the path", in.Name)
	}
	if err := in.validate(); err != nil {
		return problem(http.StatusBadRequest, "%v", err)
	}
	if err := s.list.put(time.Now(), in); err != nil {
		return problem(http.StatusConflict, "%v", err)
	}
	return answer{status: http.StatusOK, value: in}
}
