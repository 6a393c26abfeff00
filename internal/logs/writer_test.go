package logs_test

import (
	"bytes"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/logs"
)

// A line that a duty writes after a shutdown has run out of time must not end the process with a panic.
func TestWriteAfterCloseDoesNotPanic(t *testing.T) {
	var out bytes.Buffer
	w := logs.NewWriter(&out)
	for i := range 1000 {
		_, err := fmt.Fprintln(w, i)
		assert.NilError(t, err)
	}
	w.Close()
	written := out.String()
	_, err := fmt.Fprintln(w, "late")
	assert.NilError(t, err)
	assert.Equal(t, bytes.Count([]byte(written), []byte("\n")), 1000)
	assert.Equal(t, out.String(), written)
}
