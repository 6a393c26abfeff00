package place_test

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/pkg/place"
)

// Guards against a report that cannot be decoded by the instance that receives it.
func TestCapacityReportJSONRoundTrip(t *testing.T) {
	c := cellOf(2, place.Resources{CPUMillis: 1000, MemoryMB: 1000})
	c.Cordon("w0000", true)
	text, err := json.Marshal(c.Capacity())
	assert.NilError(t, err)
	var back place.CapacityReport
	assert.NilError(t, json.Unmarshal(text, &back))
	assert.DeepEqual(t, back, c.Capacity())
}
