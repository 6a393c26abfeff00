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

// Load sends requests at a steady rate; set the exported fields before Run.
type Load struct {
	// URLs are the entry instances, used in turn.
	URLs []string

	// PerSecond is the rate of requests.
	PerSecond int

	// Client sends the requests; nil means one with connections of its own.
	Client *http.Client

	Sent     atomic.Int64
	Answered atomic.Int64
	Refused  atomic.Int64
	Failed   atomic.Int64
	Unknown  atomic.Int64

	// Retried counts broken connections after which a request went elsewhere.
	Retried atomic.Int64

	// Broken counts requests without an outcome, Mixed answers that belong to
	// another request.
	Broken atomic.Int64
	Mixed  atomic.Int64
}

// maxConcurrent bounds the requests in progress; above it a request is not sent.
const maxConcurrent = 512

var routes = []string{"booking", "reorder", "booking", "report"}

// Run sends requests until ctx ends, then waits for those in progress.
func (l *Load) Run(ctx context.Context) {
	if l.Client == nil {
		l.Client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxConcurrent}}
	}
	tick := time.NewTicker(time.Second / time.Duration(l.PerSecond))
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
func (l *Load) send(n int) {
	route := routes[n%len(routes)]
	key := fmt.Sprintf("key-%d", n)
	l.sendFrom(n, route, key)
	if route == "reorder" && n%10 == 1 {
		l.sendFrom(n+1, route, key)
	}
}

// sendFrom sends one request. When the connection breaks, the same request with
// the same key goes to the next instance, as through a balancer.
func (l *Load) sendFrom(n int, route, key string) {
	l.Sent.Add(1)
	for try := range l.URLs {
		if l.sendTo(l.URLs[(n+try)%len(l.URLs)], route, key) {
			return
		}
		l.Retried.Add(1)
	}
	l.Broken.Add(1)
}

// sendTo tells whether the request got an outcome.
func (l *Load) sendTo(url, route, key string) bool {
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

func (l *Load) judge(outcome, key string, body []byte) {
	switch outcome {
	case "answered":
		l.Answered.Add(1)
		if !bytes.HasSuffix(body, []byte("\n"+key)) {
			l.Mixed.Add(1)
		}
	case "refused":
		l.Refused.Add(1)
	case "failed":
		l.Failed.Add(1)
	case "unknown":
		l.Unknown.Add(1)
	default:
		l.Broken.Add(1)
	}
}
