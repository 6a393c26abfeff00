package plat

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"

	"github.com/cockroachdb/errors"
)

// HandlerTransport is an http.RoundTripper that calls a handler in the same process. Clients of a fake
// can therefore be tested with synthetic time (testing/synctest).
type HandlerTransport struct {
	Handler http.Handler
}

// RoundTrip calls the handler and returns its response. As over a network, it returns when the
// request's context ends, while the handler continues. If the handler aborts the response, RoundTrip
// returns an error.
func (l HandlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	var body []byte
	if r.Body != nil {
		defer func() { _ = r.Body.Close() }()
		var err error
		if body, err = io.ReadAll(r.Body); err != nil {
			return nil, errors.Wrap(err, "plat: unable to read request")
		}
	}
	in := httptest.NewRequestWithContext(r.Context(), r.Method, r.URL.String(), bytes.NewReader(body))
	in.Header = r.Header.Clone()
	replies := make(chan *http.Response, 1)
	go l.serve(in, replies)
	select {
	case res := <-replies:
		if res == nil {
			return nil, errors.New("plat: connection was closed without a response")
		}
		return res, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// serve sends the handler's response, or nil if the handler panics with http.ErrAbortHandler. It does
// not recover from other panics.
func (l HandlerTransport) serve(r *http.Request, replies chan<- *http.Response) {
	w := httptest.NewRecorder()
	defer func() {
		switch p := recover(); p {
		case nil:
			replies <- w.Result()
		case http.ErrAbortHandler:
			replies <- nil
		default:
			panic(p)
		}
	}()
	l.Handler.ServeHTTP(w, r)
}
