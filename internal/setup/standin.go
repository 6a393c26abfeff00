package setup

import "github.com/daisyrack/daisyrack/pkg/config"

// Platform holds the settings of the platform's stand-in.
type Platform struct {
	Address         string  `json:"address"`
	WritesPerSecond float64 `json:"writes_per_second,omitempty"`
	ReadsPerSecond  float64 `json:"reads_per_second,omitempty"`
	ListLagMS       int64   `json:"list_lag_ms,omitempty"`
}

// Worker holds the settings of a worker's stand-in.
type Worker struct {
	Name          string           `json:"name"`
	FailureDomain string           `json:"failure_domain"`
	Rack          string           `json:"rack"`
	Address       string           `json:"address"`
	PlatformURL   string           `json:"platform"`
	Capacity      config.Resources `json:"capacity"`
	Seed          uint64           `json:"seed,omitempty"`
}

// Backend holds the settings of a backend server's stand-in.
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

// LoadPlatform reads and checks the settings of the platform's stand-in.
func LoadPlatform(file string) (Platform, []config.Violation, error) {
	var p Platform
	faults, err := load(KindPlatform, file, &p)
	if err == nil && len(faults) == 0 {
		faults = addressFault(file, "address", p.Address)
	}
	return p, faults, err
}

// LoadWorker reads and checks the settings of a worker's stand-in.
func LoadWorker(file string) (Worker, []config.Violation, error) {
	var w Worker
	faults, err := load(KindWorker, file, &w)
	if err == nil && len(faults) == 0 {
		faults = addressFault(file, "address", w.Address)
	}
	return w, faults, err
}

// LoadBackend reads and checks the settings of a backend server's stand-in.
func LoadBackend(file string) (Backend, []config.Violation, error) {
	var b Backend
	faults, err := load(KindBackend, file, &b)
	if err == nil && len(faults) == 0 {
		faults = addressFault(file, "address", b.Address)
	}
	return b, faults, err
}
