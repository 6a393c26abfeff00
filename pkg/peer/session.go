package peer

import (
	"io"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	// keepAliveInterval and writeTimeout close an unresponsive connection within 3 s;
	// the library's defaults (30 s and 10 s) are too long for a lease of 5 s.
	keepAliveInterval = time.Second
	writeTimeout      = 2 * time.Second

	streamCloseTimeout = 5 * time.Second
)

func sessionConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.KeepAliveInterval = keepAliveInterval
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.StreamOpenTimeout = writeTimeout
	cfg.StreamCloseTimeout = streamCloseTimeout
	cfg.LogOutput = io.Discard
	return cfg
}
