package setup

import (
	"slices"
	"time"

	"github.com/daisyrack/daisyrack/pkg/config"
)

const (
	defaultWritesPerSecond = 10
	defaultStoreTimeoutMS  = 2000
	defaultDrainSeconds    = 30
)

// TLS holds the paths of an instance's certificate, its private key and the certificate of the
// authority that it trusts.
type TLS struct {
	CertificateFile string `json:"certificate_file"`
	KeyFile         string `json:"key_file"`
	AuthorityFile   string `json:"authority_file"`
}

// Entry holds the settings of an entry instance.
type Entry struct {
	Name              string   `json:"name"`
	FailureDomain     string   `json:"failure_domain"`
	FailureDomains    []string `json:"failure_domains"`
	HTTPAddress       string   `json:"http_address"`
	PeerAddress       string   `json:"peer_address"`
	PlatformURL       string   `json:"platform"`
	Peers             []string `json:"peers,omitempty"`
	WritesPerSecond   float64  `json:"writes_per_second,omitempty"`
	StoreTimeoutMS    int64    `json:"store_timeout_ms,omitempty"`
	DrainSeconds      int64    `json:"drain_seconds,omitempty"`
	LogLevel          string   `json:"log_level,omitempty"`
	OperatorTokenFile string   `json:"operator_token_file,omitempty"`
	TLS               *TLS     `json:"tls,omitempty"`
}

// WithDefaults returns the settings with defaults for missing fields.
func (e Entry) WithDefaults() Entry {
	if e.WritesPerSecond == 0 {
		e.WritesPerSecond = defaultWritesPerSecond
	}
	if e.StoreTimeoutMS == 0 {
		e.StoreTimeoutMS = defaultStoreTimeoutMS
	}
	if e.DrainSeconds == 0 {
		e.DrainSeconds = defaultDrainSeconds
	}
	if e.LogLevel == "" {
		e.LogLevel = "info"
	}
	return e
}

// StoreTimeout returns the timeout of one call to the platform.
func (e Entry) StoreTimeout() time.Duration {
	return time.Duration(e.StoreTimeoutMS) * time.Millisecond
}

// DrainTimeout returns how long a graceful shutdown waits at most for requests in progress.
func (e Entry) DrainTimeout() time.Duration {
	return time.Duration(e.DrainSeconds) * time.Second
}

// LoadEntry loads and validates the settings of an entry instance.
func LoadEntry(file string) (Entry, []config.Violation, error) {
	var e Entry
	violations, err := load(KindEntry, file, &e)
	if err != nil || len(violations) > 0 {
		return e, violations, err
	}
	return e.WithDefaults(), e.checkSemantics(file), nil
}

// checkSemantics reports violations that the schema cannot express.
func (e Entry) checkSemantics(file string) []config.Violation {
	violations := addressViolations(file, "http_address", e.HTTPAddress)
	violations = append(violations, addressViolations(file, "peer_address", e.PeerAddress)...)
	if !slices.Contains(e.FailureDomains, e.FailureDomain) {
		violations = append(violations, config.Violation{
			File:    file,
			Field:   "failure_domain",
			Value:   e.FailureDomain,
			Allowed: "one of failure_domains",
		})
	}
	return violations
}
