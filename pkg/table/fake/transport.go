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

// Call describes a call into which a fault may be injected.
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

// Fault is a fault to inject into a call. The zero value is no fault.
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

// ErrFault is the error of calls with DropRequest, DropResponse or LateEffect.
var ErrFault = errors.New("fake: connection reset")

// Client returns a client that calls the table without a network connection.
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
	status, respBody := tr.t.serve(req, body)
	if fault.DropResponse {
		return nil, ErrFault
	}
	if err := sleep(req.Context(), fault.ResponseDelay); err != nil {
		return nil, err
	}
	return response(req, status, respBody), nil
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

// serve executes a call and returns the status and body of its response.
func (t *Table) serve(req *http.Request, body []byte) (int, []byte) {
	path := req.URL.Path
	query := req.URL.Query()
	switch {
	case path == "/v1/table/commit":
		return t.serveCommit(body)
	case strings.HasPrefix(path, "/v1/table/commits/"):
		version, ok := t.readToken(strings.TrimPrefix(path, "/v1/table/commits/"))
		return jsonResponse(ok, map[string]any{"version": version})
	case path == "/v1/table/row":
		row, ok := t.readRow(query.Get("key"))
		return jsonResponse(ok, row)
	case path == "/v1/table/rows":
		limit, _ := strconv.Atoi(query.Get("limit"))
		rows, version := t.readPage(query.Get("prefix"), query.Get("after"), limit)
		return jsonResponse(true, map[string]any{"rows": rows, "version": version})
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
		_, respBody := jsonResponse(true, map[string]any{"conflicts": res.Conflicts})
		return http.StatusConflict, respBody
	}
	return jsonResponse(true, map[string]any{"version": res.Version})
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

func jsonResponse(ok bool, v any) (int, []byte) {
	if !ok {
		return http.StatusNotFound, nil
	}
	b, err := json.Marshal(v)
	if err != nil {
		return http.StatusInternalServerError, nil
	}
	return http.StatusOK, b
}

// Sequence returns a function that injects the faults in order, into writes only or into all
// calls. The last fault applies to all later calls.
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

// Random returns a function that injects a random fault into five in twelve calls, and a request
// and a response delay of up to delay each into the others.
func Random(seed uint64, delay time.Duration) func(Call) Fault {
	const kinds, maxDelay = 12, 5 * time.Second
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
			return Fault{LateEffect: time.Duration(rng.Int64N(int64(maxDelay)))}
		case 4:
			return Fault{ResponseDelay: table.DefaultTimeout + time.Second}
		}
		before, after := rng.Int64N(int64(delay)), rng.Int64N(int64(delay))
		return Fault{RequestDelay: time.Duration(before), ResponseDelay: time.Duration(after)}
	}
}
