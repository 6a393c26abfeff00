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

// LoadGenerator sends requests at a constant rate. URLs and RequestsPerSecond
// must be set before Run; the counters may be read at any time.
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

// maxInFlight bounds the concurrent requests. A request that is due while the
// limit is reached is skipped.
const maxInFlight = 512

// routeCycle holds the example routes, used round-robin. Only reorder is not idempotent.
var routeCycle = []string{"booking", "reorder", "booking", "report"}

// Run sends requests until ctx is done, then waits for those in flight.
func (l *LoadGenerator) Run(ctx context.Context) {
	if l.Client == nil {
		l.Client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxInFlight}}
	}
	ticker := time.NewTicker(time.Second / time.Duration(l.RequestsPerSecond))
	defer ticker.Stop()
	slots := make(chan struct{}, maxInFlight)
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
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

// send sends request n. Every fifth non-idempotent request is sent again with
// the same key through another instance, like a client that got no response.
func (l *LoadGenerator) send(n int) {
	route := routeCycle[n%len(routeCycle)]
	key := fmt.Sprintf("key-%d", n)
	l.sendWithFailover(n, route, key)
	if route == "reorder" && n%10 == 1 {
		l.sendWithFailover(n+1, route, key)
	}
}

// sendWithFailover sends one request. When an attempt fails, the same request
// with the same key goes to the next instance, as behind a load balancer.
func (l *LoadGenerator) sendWithFailover(n int, route, key string) {
	l.Sent.Add(1)
	for i := range l.URLs {
		if l.attempt(l.URLs[(n+i)%len(l.URLs)], route, key) {
			return
		}
		l.Retries.Add(1)
	}
	l.WithoutOutcome.Add(1)
}

// attempt sends the request to one instance and reports whether a complete
// response arrived.
func (l *LoadGenerator) attempt(url, route, key string) bool {
	req, err := http.NewRequest(http.MethodPost, url+"/v1/requests/"+route, bytes.NewReader([]byte(key)))
	if err != nil {
		return false
	}
	req.Header.Set(front.HeaderUser, "example")
	req.Header.Set(front.HeaderIdempotencyKey, key)
	// Without GetBody the HTTP client cannot retry the request on its own.
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
	l.countOutcome(res.Header.Get(front.HeaderOutcome), key, body)
	return true
}

// countOutcome counts the response. The backend stand-in echoes the request
// body, here the key, as the last line of the response.
func (l *LoadGenerator) countOutcome(outcome, key string, body []byte) {
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
