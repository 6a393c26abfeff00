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

// Roles and states of an instance.
const (
	RoleEntry   = "entry"
	RoleWorker  = "worker"
	RoleBackend = "backend"

	StateLive    = "live"
	StateLeaving = "leaving"
	StateGone    = "gone"
)

// InstanceList is the state of the instance list at time AsOfMs, in milliseconds since the Unix epoch.
type InstanceList struct {
	Instances []Instance `json:"instances"`
	AsOfMs    int64      `json:"as_of_ms"`
}

// ErrOutdated is returned for a registration with an earlier incarnation than the registered one, or
// with an earlier state of the same incarnation. This happens when a call was delayed in transit.
var ErrOutdated = errors.New("plat: a later incarnation or state is registered")

// stateOrder lists the states in the order in which an incarnation goes through them.
var stateOrder = []string{StateLive, StateLeaving, StateGone}

type change struct {
	at       time.Time
	instance Instance
}

// registry holds the current instances, the delayed list that clients see, and the changes that the
// delayed list does not contain yet.
type registry struct {
	current map[string]Instance
	visible map[string]Instance
	pending []change
	asOf    time.Time
}

func (r *registry) init() {
	r.current = make(map[string]Instance)
	r.visible = make(map[string]Instance)
}

// publish applies to the visible list all changes that are at least lag old. The visible list never
// goes back in time, even if the lag increases.
func (r *registry) publish(now time.Time, lag time.Duration) {
	asOf := now.Add(-lag)
	if asOf.Before(r.asOf) {
		return
	}
	r.asOf = asOf
	n := 0
	for n < len(r.pending) && !r.pending[n].at.After(asOf) {
		r.visible[r.pending[n].instance.Name] = r.pending[n].instance
		n++
	}
	r.pending = r.pending[n:]
}

func (r *registry) set(now time.Time, in Instance) error {
	old, ok := r.current[in.Name]
	sameIncarnation := in.Incarnation == old.Incarnation
	goesBack := slices.Index(stateOrder, in.State) < slices.Index(stateOrder, old.State)
	if ok && (in.Incarnation < old.Incarnation || sameIncarnation && goesBack) {
		return ErrOutdated
	}
	r.current[in.Name] = in
	r.pending = append(r.pending, change{at: now, instance: in})
	return nil
}

// Register adds an instance to the list or updates it.
func (s *Server) Register(in Instance) error {
	s.once.Do(s.initialize)
	if err := in.validate(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.set(time.Now(), in)
}

// Remove marks an instance as gone. The change becomes visible in the list after the lag.
func (s *Server) Remove(name string) {
	s.once.Do(s.initialize)
	s.mu.Lock()
	defer s.mu.Unlock()
	in, ok := s.registry.current[name]
	if !ok {
		return
	}
	in.State = StateGone
	_ = s.registry.set(time.Now(), in)
}

func (in Instance) validate() error {
	if in.Name == "" || in.Address == "" || in.FailureDomain == "" {
		return errors.New("plat: name, address and failure_domain must not be empty")
	}
	if !slices.Contains([]string{RoleEntry, RoleWorker, RoleBackend}, in.Role) {
		return errors.Newf("plat: role %q must be entry, worker or backend", in.Role)
	}
	if !slices.Contains(stateOrder, in.State) {
		return errors.Newf("plat: state %q must be live, leaving or gone", in.State)
	}
	return nil
}

func (s *Server) listInstances(*http.Request) reply {
	s.registry.publish(time.Now(), s.listLag())
	out := InstanceList{Instances: []Instance{}, AsOfMs: s.registry.asOf.UnixMilli()}
	for _, in := range s.registry.visible {
		out.Instances = append(out.Instances, in)
	}
	slices.SortFunc(out.Instances, func(a, b Instance) int { return cmp.Compare(a.Name, b.Name) })
	return reply{status: http.StatusOK, value: out}
}

// putInstance is not part of the real platform's protocol, so it is neither rate-limited nor counted.
func (s *Server) putInstance(w http.ResponseWriter, r *http.Request) {
	var in Instance
	if err := ReadJSON(w, r, &in); err != nil {
		errorReply(http.StatusBadRequest, "instance: %v", err).send(w)
		return
	}
	s.serve(w, r, unlimited, func() (reply, bool) {
		return s.setInstance(r.PathValue("name"), in), false
	})
}

func (s *Server) setInstance(name string, in Instance) reply {
	if in.Name != name {
		return errorReply(http.StatusBadRequest, "name %q differs from the path", in.Name)
	}
	if err := in.validate(); err != nil {
		return errorReply(http.StatusBadRequest, "%v", err)
	}
	if err := s.registry.set(time.Now(), in); err != nil {
		return errorReply(http.StatusConflict, "%v", err)
	}
	return reply{status: http.StatusOK, value: in}
}
