package plat_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property-based tests, so that every run has the same result. Use
// -rapid.seed to try other seeds.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}
