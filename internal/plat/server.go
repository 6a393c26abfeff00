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

// FailureDomainHeader is the request header that names the client's failure domain.
const FailureDomainHeader = "Daisyrack-Failure-Domain"

const (
	maxBodyBytes   = 1 << 20
	maxObjectBytes = 8 << 20

	// maxFaultMs limits the delays in Faults to one day.
	maxFaultMs = 24 * 3600 * 1000

	// partitionHold is longer than the clients' timeout of 2 s, so that clients of a partitioned failure
	// domain see a timeout and not a closed connection.
	partitionHold = 3 * time.Second
)

// Server is an in-memory fake of the platform. Its fields must be set before the first call.
type Server struct {
	// WritesPerSecond and ReadsPerSecond are the rate limits for calls; 0 means unlimited.
	WritesPerSecond float64
	ReadsPerSecond  float64

	// MaxTokens is the number of recent commit tokens that are kept; 0 means 65,536.
	MaxTokens int

	// Seed seeds the random choice of the responses that are dropped.
	Seed uint64

	once   sync.Once
	writes *rate.Limiter
	reads  *rate.Limiter

	mu       sync.Mutex
	random   *rand.Rand
	faults   Faults
	counts   Counts
	table    table
	objects  map[string][]byte
	registry registry
}

// Faults configures the injected faults; the zero value means none.
type Faults struct {
	// Down makes every call fail with status 503.
	Down bool `json:"down"`
	// DelayMs delays every call. A write takes effect after the delay even if the client has given up.
	DelayMs int64 `json:"slow_ms"`
	// DropResponseRate is the probability that the response to an executed write is dropped.
	DropResponseRate float64 `json:"lose_answers"`
	// ListLagMs is the time until a change of an instance becomes visible in the instance list.
	ListLagMs int64 `json:"list_lag_ms"`
	// PartitionedDomains are the failure domains whose calls are not executed and get no response.
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

// Counts are the numbers of calls executed since the start. Calls that got status 429 or 503 and
// registrations of instances are not counted.
type Counts struct {
	Writes int64 `json:"writes"`
	Reads  int64 `json:"reads"`
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.once.Do(s.initialize)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.publish(time.Now(), s.listLag())
	s.faults = f
}

// Counts returns the numbers of calls executed so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Server) listLag() time.Duration {
	return time.Duration(s.faults.ListLagMs) * time.Millisecond
}

func (s *Server) initialize() {
	s.writes = newLimiter(s.WritesPerSecond)
	s.reads = newLimiter(s.ReadsPerSecond)
	s.random = rand.New(rand.NewPCG(s.Seed, s.Seed))
	s.objects = make(map[string][]byte)
	s.table.init(cmp.Or(s.MaxTokens, defaultMaxTokens))
	s.registry.init()
}

var unlimited = rate.NewLimiter(rate.Inf, 0)

// newLimiter returns a token bucket whose burst is the number of calls allowed per second.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return unlimited
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Handler returns the HTTP handler for the platform's protocol.
func (s *Server) Handler() http.Handler {
	s.once.Do(s.initialize)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/table/commit", s.writeHandler(maxBodyBytes, s.commit))
	mux.HandleFunc("GET /v1/table/commits/{token...}", s.readHandler(s.getCommit))
	mux.HandleFunc("GET /v1/table/row", s.readHandler(s.getRow))
	mux.HandleFunc("GET /v1/table/rows", s.readHandler(s.scanRows))
	mux.HandleFunc("PUT /v1/objects/{name...}", s.writeHandler(maxObjectBytes, s.putObject))
	mux.HandleFunc("DELETE /v1/objects/{name...}", s.writeHandler(0, s.deleteObject))
	mux.HandleFunc("GET /v1/objects/{name...}", s.readHandler(s.getObject))
	mux.HandleFunc("GET /v1/instances", s.readHandler(s.listInstances))
	mux.HandleFunc("PUT /v1/instances/{name}", s.putInstance)
	mux.HandleFunc("POST /v1/faults", s.postFaults)
	return mux
}

// reply is the response to a call: a value that is sent as JSON, or raw bytes.
type reply struct {
	status int
	value  any
	bytes  []byte
}

func errorReply(status int, format string, args ...any) reply {
	return reply{status: status, value: ErrorReply{Error: errors.Newf(format, args...).Error()}}
}

func (rep reply) send(w http.ResponseWriter) {
	if rep.value != nil {
		WriteJSON(w, rep.status, rep.value)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.WriteHeader(rep.status)
	_, _ = w.Write(rep.bytes)
}

// writeHandler returns the HTTP handler of a call that writes. It calls handle with s.mu held.
func (s *Server) writeHandler(limit int64, handle func(*http.Request, []byte) reply) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
		if err != nil {
			errorReply(http.StatusRequestEntityTooLarge, "body is unreadable or above %d bytes", limit).send(w)
			return
		}
		s.serve(w, r, s.writes, func() (reply, bool) {
			s.counts.Writes++
			return handle(r, body), s.random.Float64() < s.faults.DropResponseRate
		})
	}
}

// readHandler returns the HTTP handler of a call that only reads. It calls handle with s.mu held.
func (s *Server) readHandler(handle func(*http.Request) reply) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.serve(w, r, s.reads, func() (reply, bool) {
			s.counts.Reads++
			return handle(r), false
		})
	}
}

// serve executes a call subject to the injected faults and the rate limit. It calls execute with s.mu
// held; execute reports whether the response must be dropped.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, limit *rate.Limiter, execute func() (reply, bool)) {
	s.abortIfPartitioned(r)
	s.mu.Lock()
	delay := time.Duration(s.faults.DelayMs) * time.Millisecond
	s.mu.Unlock()
	time.Sleep(delay)

	s.mu.Lock()
	if s.faults.Down {
		s.mu.Unlock()
		errorReply(http.StatusServiceUnavailable, "platform is down").send(w)
		return
	}
	if !limit.Allow() {
		s.mu.Unlock()
		errorReply(http.StatusTooManyRequests, "rate limit is exceeded").send(w)
		return
	}
	res, dropped := execute()
	s.mu.Unlock()

	s.abortIfPartitioned(r)
	if dropped {
		panic(http.ErrAbortHandler)
	}
	res.send(w)
}

// abortIfPartitioned holds a call from a partitioned failure domain until it is cancelled or
// partitionHold has passed, and then aborts it without a response.
func (s *Server) abortIfPartitioned(r *http.Request) {
	s.mu.Lock()
	partitioned := slices.Contains(s.faults.PartitionedDomains, r.Header.Get(FailureDomainHeader))
	s.mu.Unlock()
	if !partitioned {
		return
	}
	select {
	case <-r.Context().Done():
	case <-time.After(partitionHold):
	}
	panic(http.ErrAbortHandler)
}

func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := ReadJSON(w, r, &f); err != nil {
		errorReply(http.StatusBadRequest, "faults: %v", err).send(w)
		return
	}
	if err := f.validate(); err != nil {
		errorReply(http.StatusBadRequest, "faults: %v", err).send(w)
		return
	}
	s.SetFaults(f)
	WriteJSON(w, http.StatusOK, f)
}

// ErrorReply is the body of a response that reports an error.
type ErrorReply struct {
	Error string `json:"error"`
}

// ReadJSON decodes the body of r into v. It returns an error if the body has more than 1 MiB, unknown
// fields or more than one value.
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

// WriteJSON sends v as JSON with the given status.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
