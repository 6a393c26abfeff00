package plat

import (
	"cmp"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

// FailureDomainHeader names the caller's failure domain.
const FailureDomainHeader = "Daisyrack-Failure-Domain"

const (
	maxBodyBytes   = 1 << 20
	maxObjectBytes = 8 << 20

	// maxFaultMs is one day.
	maxFaultMs = 24 * 3600 * 1000

	// cutHold outlasts the callers' timeout of 2 s, so a cut looks like silence to them.
	cutHold = 3 * time.Second
)

// Server is a platform in memory; set the fields before the first call.
type Server struct {
	// WritesPerSecond and ReadsPerSecond bound the calls served; 0 means unlimited.
	WritesPerSecond float64
	ReadsPerSecond  float64

	// MaxTokens is how many commit tokens are remembered; 0 means 65,536.
	MaxTokens int

	// Seed drives the choice of answers that are lost.
	Seed uint64

	once   sync.Once
	writes *rate.Limiter
	reads  *rate.Limiter

	mu      sync.Mutex
	random  *rand.Rand
	faults  Faults
	counts  Counts
	table   table
	objects map[string][]byte
	list    list
}

// Faults are the faults in force; the zero value means none.
type Faults struct {
	// Down refuses every call with 503.
	Down bool `json:"down"`
	// DelayMs delays every call; the change takes effect after the delay even if the caller has given up.
	DelayMs int64 `json:"slow_ms"`
	// DropResponseRate is the probability that a write takes effect and its answer is lost.
	DropResponseRate float64 `json:"lose_answers"`
	// ListLagMs is how long a change of an instance stays invisible in the list.
	ListLagMs int64 `json:"list_lag_ms"`
	// PartitionedDomains are the failure domains whose calls are neither served nor answered.
	PartitionedDomains []string `json:"cut_domains"`
}

func (f Faults) validate() error {
	if f.DelayMs < 0 || f.DelayMs > maxFaultMs || f.ListLagMs < 0 || f.ListLagMs > maxFaultMs {
		return errors.Newf("slow_ms and list_lag_ms must be 0 to %d", maxFaultMs)
	}
	if f.DropResponseRate < 0 || f.DropResponseRate > 1 {
		return errors.New("lose_answers must be 0 to 1")
	}
	return nil
}

// Counts are the calls carried out since the start; calls answered with 429 or 503 and
// registrations of instances are not counted.
type Counts struct {
	Writes int64 `json:"writes"`
	Reads  int64 `json:"reads"`
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) {
	s.once.Do(s.start)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.publish(time.Now(), s.lag())
	s.faults = f
}

// Counts returns the calls served so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Server) lag() time.Duration {
	return time.Duration(s.faults.ListLagMs) * time.Millisecond
}

func (s *Server) start() {
	s.writes = limiter(s.WritesPerSecond)
	s.reads = limiter(s.ReadsPerSecond)
	s.random = rand.New(rand.NewPCG(s.Seed, s.Seed))
	s.objects = make(map[string][]byte)
	s.table.init(cmp.Or(s.MaxTokens, defaultTokens))
	s.list.init()
}

var unlimited = rate.NewLimiter(rate.Inf, 0)

// limiter allows a burst of one second's worth.
func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return unlimited
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Handler serves the platform's protocol.
func (s *Server) Handler() http.Handler {
	s.once.Do(s.start)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/table/commit", s.write(maxBodyBytes, s.commit))
	mux.HandleFunc("GET /v1/table/commits/{token...}", s.read(s.token))
	mux.HandleFunc("GET /v1/table/row", s.read(s.row))
	mux.HandleFunc("GET /v1/table/rows", s.read(s.rows))
	mux.HandleFunc("PUT /v1/objects/{name...}", s.write(maxObjectBytes, s.putObject))
	mux.HandleFunc("DELETE /v1/objects/{name...}", s.write(0, s.deleteObject))
	mux.HandleFunc("GET /v1/objects/{name...}", s.read(s.object))
	mux.HandleFunc("GET /v1/instances", s.read(s.instances))
	mux.HandleFunc("PUT /v1/instances/{name}", s.putInstance)
	mux.HandleFunc("POST /v1/faults", s.postFaults)
	return mux
}

// answer is the outcome of a call: a value sent as JSON, or plain bytes.
type answer struct {
	status int
	value  any
	bytes  []byte
}

func problem(status int, format string, args ...any) answer {
	return answer{status: status, value: ErrorReply{Error: errors.Newf(format, args...).Error()}}
}

func (a answer) send(w http.ResponseWriter) {
	if a.value != nil {
		WriteJSON(w, a.status, a.value)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.WriteHeader(a.status)
	_, _ = w.Write(a.bytes)
}

// write wraps a call that changes something; handle runs under the lock.
func (s *Server) write(limit int64, handle func(*http.Request, []byte) answer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
		if err != nil {
			problem(http.StatusRequestEntityTooLarge, "body is unreadable or above %d bytes", limit).send(w)
			return
		}
		s.serve(w, r, s.writes, func() (answer, bool) {
			s.counts.Writes++
			return handle(r, body), s.random.Float64() < s.faults.DropResponseRate
		})
	}
}

// read wraps a call that changes nothing; handle runs under the lock.
func (s *Server) read(handle func(*http.Request) answer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.serve(w, r, s.reads, func() (answer, bool) {
			s.counts.Reads++
			return handle(r), false
		})
	}
}

// serve applies the faults around act, which runs under the lock and says whether its answer is lost.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, limit *rate.Limiter, act func() (answer, bool)) {
	s.cut(r)
	s.mu.Lock()
	slow := time.Duration(s.faults.DelayMs) * time.Millisecond
	s.mu.Unlock()
	time.Sleep(slow)

	s.mu.Lock()
	if s.faults.Down {
		s.mu.Unlock()
		problem(http.StatusServiceUnavailable, "platform is down").send(w)
		return
	}
	if !limit.Allow() {
		s.mu.Unlock()
		problem(http.StatusTooManyRequests, "rate limit is exceeded").send(w)
		return
	}
	a, lost := act()
	s.mu.Unlock()

	s.cut(r)
	if lost {
		panic(http.ErrAbortHandler)
	}
	a.send(w)
}

// cut holds a call of a cut failure domain and then closes its connection without an answer.
func (s *Server) cut(r *http.Request) {
	s.mu.Lock()
	isCut := slices.Contains(s.faults.PartitionedDomains, r.Header.Get(FailureDomainHeader))
	s.mu.Unlock()
	if !isCut {
		return
	}
	select {
	case <-r.Context().Done():
	case <-time.After(cutHold):
	}
	panic(http.ErrAbortHandler)
}

func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := ReadJSON(w, r, &f); err != nil {
		problem(http.StatusBadRequest, "faults: %v", err).send(w)
		return
	}
	if err := f.validate(); err != nil {
		problem(http.StatusBadRequest, "faults: %v", err).send(w)
		return
	}
	s.SetFaults(f)
	WriteJSON(w, http.StatusOK, f)
}

// ErrorReply is the body of an answer that reports an error.
type ErrorReply struct {
	Error string `json:"error"`
}

// ReadJSON decodes the body of r, of at most 1 MiB, into v; unknown fields are errors.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) error {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if d.More() {
		return errors.New("body has more than one value")
	}
	return nil
}

// WriteJSON sends v with the given status.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
