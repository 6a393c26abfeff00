package config_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property tests, so that they are reproducible. A run with
// another seed is started with -rapid.seed.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}
