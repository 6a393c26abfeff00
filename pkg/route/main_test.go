package route_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that each run has the same result. Use
// -rapid.seed to try others.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}
