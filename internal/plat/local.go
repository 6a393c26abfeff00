package plat

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"

	"github.com/cockroachdb/errors"
)

// HandlerTransport is an http.RoundTripper that calls a handler in the same process, so that the clients
// of a stand-in work under synthetic time.
type HandlerTransport struct {
	Handler http.Handler
}

// RoundTrip carries out one call. Like a network it returns when the caller gives up, while the
// handler goes on; an answer that the handler aborts is an error.
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
	answered := make(chan *http.Response, 1)
	go l.serve(in, answered)
	select {
	case res := <-answered:
		if res == nil {
			return nil, errors.New("plat: connection was cut without an answer")
		}
		return res, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// serve hands over nil when the handler aborts; any other panic is a fault of the handler.
func (l HandlerTransport) serve(r *http.Request, answered chan<- *http.Response) {
	w := httptest.NewRecorder()
	defer func() {
		switch p := recover(); p {
		case nil:
			answered <- w.Result()
		case http.ErrAbortHandler:
			answered <- nil
		default:
			panic(p)
		}
	}()
	l.Handler.ServeHTTP(w, r)
}
