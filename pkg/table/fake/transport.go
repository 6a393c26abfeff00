package fake

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/daisyrack/daisyrack/pkg/table"
)

// Call is a call that a fault is decided for.
type Call struct {
	// Caller is the name given to Client.
	Caller string
	// Method and Path are those of the HTTP request.
	Method, Path string
}

// IsWrite reports whether the call is a commit.
func (c Call) IsWrite() bool {
	return c.Method == http.MethodPost
}

// Fault is what goes wrong with a call. The zero value is no fault.
type Fault struct {
	// RequestDelay and ResponseDelay delay the call before and after it takes effect.
	RequestDelay, ResponseDelay time.Duration
	// Status is returned without any effect if it is not 0.
	Status int
	// DropRequest fails the call without any effect.
	DropRequest bool
	// DropResponse fails the call after it took effect.
	DropResponse bool
	// LateEffect fails the call at once and lets it take effect after this time.
	LateEffect time.Duration
}

// ErrFault is the error of dropped, lost and late calls.
var ErrFault = errors.New("fake: connection reset")

// Client returns a client whose calls reach the table without any socket.
func (t *Table) Client(caller string) *table.Client {
	return &table.Client{BaseURL: "http://table", HTTP: &http.Client{Transport: transport{t: t, caller: caller}}}
}

type transport struct {
	t      *Table
	caller string
}

// RoundTrip implements http.RoundTripper.
func (tr transport) RoundTrip(req *http.Request) (*http.Response, error) {
	fault := tr.fault(req)
	body, err := readBody(req)
	if err != nil {
		return nil, err
	}
	if err := sleep(req.Context(), fault.RequestDelay); err != nil {
		return nil, err
	}
	switch {
	case fault.Status != 0:
		return response(req, fault.Status, nil), nil
	case fault.DropRequest:
		return nil, ErrFault
	case fault.LateEffect > 0:
		time.AfterFunc(fault.LateEffect, func() { tr.t.serve(req, body) })
		return nil, ErrFault
	}
	status, answer := tr.t.serve(req, body)
	if fault.DropResponse {
		return nil, ErrFault
	}
	if err := sleep(req.Context(), fault.ResponseDelay); err != nil {
		return nil, err
	}
	return response(req, status, answer), nil
}

func (tr transport) fault(req *http.Request) Fault {
	tr.t.mu.Lock()
	fault := tr.t.Fault
	tr.t.mu.Unlock()
	if fault == nil {
		return Fault{}
	}
	return fault(Call{Caller: tr.caller, Method: req.Method, Path: req.URL.Path})
}

func readBody(req *http.Request) ([]byte, error) {
	if req.Body == nil {
		return nil, nil
	}
	defer func() { _ = req.Body.Close() }()
	return io.ReadAll(req.Body)
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

func response(req *http.Request, status int, body []byte) *http.Response {
	return &http.Response{
		StatusCode: status,
		Header:     http.Header{},
		Body:       io.NopCloser(bytes.NewReader(body)),
		Request:    req,
	}
}

// serve carries out a call and returns its answer.
func (t *Table) serve(req *http.Request, body []byte) (int, []byte) {
	path := req.URL.Path
	query := req.URL.Query()
	switch {
	case path == "/v1/table/commit":
		return t.serveCommit(body)
	case strings.HasPrefix(path, "/v1/table/commits/"):
		version, ok := t.token(strings.TrimPrefix(path, "/v1/table/commits/"))
		return found(ok, map[string]any{"version": version})
	case path == "/v1/table/row":
		row, ok := t.row(query.Get("key"))
		return found(ok, row)
	case path == "/v1/table/rows":
		limit, _ := strconv.Atoi(query.Get("limit"))
		rows, version := t.page(query.Get("prefix"), query.Get("after"), limit)
		return found(true, map[string]any{"rows": rows, "version": version})
	case strings.HasPrefix(path, "/v1/objects/"):
		return t.serveObject(req.Method, strings.TrimPrefix(path, "/v1/objects/"), body)
	}
	return http.StatusNotFound, nil
}

func (t *Table) serveCommit(body []byte) (int, []byte) {
	var tx table.Transaction
	if err := json.Unmarshal(body, &tx); err != nil {
		return http.StatusBadRequest, nil
	}
	res := t.apply(tx)
	if res.Outcome == table.Conflict {
		_, answer := found(true, map[string]any{"conflicts": res.Conflicts})
		return http.StatusConflict, answer
	}
	return found(true, map[string]any{"version": res.Version})
}

func (t *Table) serveObject(method, name string, body []byte) (int, []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	switch method {
	case http.MethodPut:
		t.objects[name] = body
		return http.StatusOK, nil
	case http.MethodDelete:
		delete(t.objects, name)
		return http.StatusOK, nil
	}
	b, ok := t.objects[name]
	if !ok {
		return http.StatusNotFound, nil
	}
	return http.StatusOK, b
}

func found(ok bool, v any) (int, []byte) {
	if !ok {
		return http.StatusNotFound, nil
	}
	b, err := json.Marshal(v)
	if err != nil {
		return http.StatusInternalServerError, nil
	}
	return http.StatusOK, b
}

// Sequence yields the faults in order for all calls, or for writes only, and then the last one.
func Sequence(writesOnly bool, faults ...Fault) func(Call) Fault {
	var mu sync.Mutex
	calls := 0
	return func(call Call) Fault {
		mu.Lock()
		defer mu.Unlock()
		if writesOnly && !call.IsWrite() || len(faults) == 0 {
			return Fault{}
		}
		calls++
		return faults[min(calls, len(faults))-1]
	}
}

// Random yields faults of every kind for five in twelve calls, and delays up to twice delay for
// the others.
func Random(seed uint64, delay time.Duration) func(Call) Fault {
	const kinds, latest = 12, 5 * time.Second
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, seed))
	return func(Call) Fault {
		mu.Lock()
		defer mu.Unlock()
		switch rng.IntN(kinds) {
		case 0:
			return Fault{DropResponse: true}
		case 1:
			return Fault{DropRequest: true}
		case 2:
			return Fault{Status: http.StatusServiceUnavailable}
		case 3:
			return Fault{LateEffect: time.Duration(rng.Int64N(int64(latest)))}
		case 4:
			return Fault{ResponseDelay: table.DefaultTimeout + time.Second}
		}
		before, after := rng.Int64N(int64(delay)), rng.Int64N(int64(delay))
		return Fault{RequestDelay: time.Duration(before), ResponseDelay: time.Duration(after)}
	}
}
