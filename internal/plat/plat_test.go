package plat_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/plat"
)

// do sends one call to the handler; a status of 0 means that the connection was cut without an answer.
func do(s *plat.Server, method, target, body string) (status int, answer string) {
	w := httptest.NewRecorder()
	defer func() {
		if p := recover(); p != nil {
			if p != http.ErrAbortHandler { //nolint:errorlint // a panic value, not a wrapped error
				panic(p)
			}
			status, answer = 0, ""
		}
	}()
	r := httptest.NewRequest(method, target, strings.NewReader(body))
	r.Header.Set(plat.DomainHeader, "a")
	s.Handler().ServeHTTP(w, r)
	return w.Code, strings.TrimSpace(w.Body.String())
}

// Guards against a lost answer that can not be resolved, and against a repeat that applies twice.
func TestLostAnswerIsResolvedByItsToken(t *testing.T) {
	const commit = `{"token":"t1","checks":[{"key":"k","version":0}],"puts":[{"key":"k","value":"eA=="}]}`
	var s plat.Server
	s.SetFaults(plat.Faults{LoseAnswers: 1})
	status, _ := do(&s, "POST", "/v1/table/commit", commit)
	assert.Equal(t, status, 0)

	s.SetFaults(plat.Faults{})
	_, answer := do(&s, "GET", "/v1/table/commits/t1", "")
	assert.Equal(t, answer, `{"version":1}`)
	_, answer = do(&s, "POST", "/v1/table/commit", commit)
	assert.Equal(t, answer, `{"version":1}`)
	_, answer = do(&s, "GET", "/v1/table/row?key=k", "")
	assert.Equal(t, answer, `{"key":"k","value":"eA==","version":1}`)
}
