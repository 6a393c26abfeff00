package usage_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed so that property tests are reproducible; the flag
// -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}
