package table_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that each run has the same result. The flag
// -rapid.seed sets another one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}
