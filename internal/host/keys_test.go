package host_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/host"
)

// Guards against an instance that polls its clock all the time although nothing depends on how recent its configuration
// is: the smallest instances have 0.144 of a core.
func TestInstanceWithoutKeysIsIdle(t *testing.T) {
	var readings atomic.Int64
	h := &host.Host{BootTime: func() time.Duration { return time.Hour + time.Duration(readings.Add(1)) }}
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	assert.NilError(t, h.ConfirmConfig(ctx))
	assert.Assert(t, readings.Load() <= 10, "%d readings", readings.Load())
}
