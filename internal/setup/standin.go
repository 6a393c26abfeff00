package setup

import "github.com/daisyrack/daisyrack/pkg/config"

// Platform holds the settings of the stand-in for the platform.
type Platform struct {
	Address         string  `json:"address"`
	WritesPerSecond float64 `json:"writes_per_second,omitempty"`
	ReadsPerSecond  float64 `json:"reads_per_second,omitempty"`
	ListLagMS       int64   `json:"list_lag_ms,omitempty"`
}

// Worker holds the settings of a stand-in for a worker.
type Worker struct {
	Name          string           `json:"name"`
	FailureDomain string           `json:"failure_domain"`
	Rack          string           `json:"rack"`
	Address       string           `json:"address"`
	PlatformURL   string           `json:"platform"`
	Capacity      config.Resources `json:"capacity"`
	Seed          uint64           `json:"seed,omitempty"`
}

// Backend holds the settings of a stand-in for a backend server.
type Backend struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	Address       string `json:"address"`
	PlatformURL   string `json:"platform"`
	Slots         int    `json:"slots"`
	Connections   int    `json:"connections"`
	ServiceMS     int64  `json:"service_ms,omitempty"`
	Seed          uint64 `json:"seed,omitempty"`
}

// LoadPlatform loads and validates the settings of a platform stand-in.
func LoadPlatform(file string) (Platform, []config.Violation, error) {
	var p Platform
	violations, err := load(KindPlatform, file, &p)
	if err == nil && len(violations) == 0 {
		violations = addressViolations(file, "address", p.Address)
	}
	return p, violations, err
}

// LoadWorker loads and validates the settings of a worker stand-in.
func LoadWorker(file string) (Worker, []config.Violation, error) {
	var w Worker
	violations, err := load(KindWorker, file, &w)
	if err == nil && len(violations) == 0 {
		violations = addressViolations(file, "address", w.Address)
	}
	return w, violations, err
}

// LoadBackend loads and validates the settings of a backend server stand-in.
func LoadBackend(file string) (Backend, []config.Violation, error) {
	var b Backend
	violations, err := load(KindBackend, file, &b)
	if err == nil && len(violations) == 0 {
		violations = addressViolations(file, "address", b.Address)
	}
	return b, violations, err
}
