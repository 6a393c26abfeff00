package rack

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/daisyrack/daisyrack/internal/front"
)

// LoadGenerator sends requests at a constant rate. URLs, RequestsPerSecond and
// Client must be set before Run; the counters may be read at any time.
type LoadGenerator struct {
	// URLs are the base URLs of the entry instances, used round-robin.
	URLs []string

	RequestsPerSecond int

	// Client sends the requests; if nil, Run creates one with its own connection pool.
	Client *http.Client

	// Sent counts requests, each once however often it is retried. Answered,
	// Refused, Failed and Unknown count the outcomes stated by the responses.
	Sent     atomic.Int64
	Answered atomic.Int64
	Refused  atomic.Int64
	Failed   atomic.Int64
	Unknown  atomic.Int64

	// Retries counts attempts that failed without a complete response, after
	// which the next entry instance, if any, was tried.
	Retries atomic.Int64

	// WithoutOutcome counts requests that got no valid outcome,
	// MismatchedResponses those whose response belongs to another request.
	WithoutOutcome      atomic.Int64
	MismatchedResponses atomic.Int64
}

// maxConcurrent bounds the requests in progress; above it a request is not sent.
const maxConcurrent = 512

var routes = []string{"booking", "reorder", "booking", "report"}

// Run sends requests until ctx ends, then waits for those in progress.
func (l *LoadGenerator) Run(ctx context.Context) {
	if l.Client == nil {
		l.Client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxConcurrent}}
	}
	tick := time.NewTicker(time.Second / time.Duration(l.RequestsPerSecond))
	defer tick.Stop()
	slots := make(chan struct{}, maxConcurrent)
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		select {
		case slots <- struct{}{}:
		default:
			continue
		}
		wg.Go(func() {
			defer func() { <-slots }()
			l.send(n)
		})
	}
}

// send sends one request; every tenth non-idempotent one is repeated with the
// same key through another instance, as a caller without an answer would do.
func (l *LoadGenerator) send(n int) {
	route := routes[n%len(routes)]
	key := fmt.Sprintf("key-%d", n)
	l.sendFrom(n, route, key)
	if route == "reorder" && n%10 == 1 {
		l.sendFrom(n+1, route, key)
	}
}

// sendFrom sends one request. When the connection breaks, the same request with
// the same key goes to the next instance, as through a balancer.
func (l *LoadGenerator) sendFrom(n int, route, key string) {
	l.Sent.Add(1)
	for try := range l.URLs {
		if l.sendTo(l.URLs[(n+try)%len(l.URLs)], route, key) {
			return
		}
		l.Retries.Add(1)
	}
	l.WithoutOutcome.Add(1)
}

// sendTo tells whether the request got an outcome.
func (l *LoadGenerator) sendTo(url, route, key string) bool {
	req, err := http.NewRequest(http.MethodPost, url+"/v1/requests/"+route, bytes.NewReader([]byte(key)))
	if err != nil {
		return false
	}
	req.Header.Set(front.HeaderUser, "example")
	req.Header.Set(front.HeaderIdempotencyKey, key)
	// The caller's own library must not repeat the request by itself.
	req.GetBody = nil
	res, err := l.Client.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return false
	}
	l.judge(res.Header.Get(front.HeaderOutcome), key, body)
	return true
}

func (l *LoadGenerator) judge(outcome, key string, body []byte) {
	switch outcome {
	case "answered":
		l.Answered.Add(1)
		if !bytes.HasSuffix(body, []byte("\n"+key)) {
			l.MismatchedResponses.Add(1)
		}
	case "refused":
		l.Refused.Add(1)
	case "failed":
		l.Failed.Add(1)
	case "unknown":
		l.Unknown.Add(1)
	default:
		l.WithoutOutcome.Add(1)
	}
}
