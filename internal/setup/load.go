package setup

import (
	"embed"
	"encoding/json"
	"net/netip"
	"os"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/daisyrack/daisyrack/pkg/config"
)

//go:embed schema/*.json
var schemaFiles embed.FS

// Kinds of settings files, one for each kind of process.
const (
	KindEntry    = "entry"
	KindPlatform = "platform"
	KindWorker   = "worker"
	KindBackend  = "backend"
)

// Kinds lists the kinds of settings files.
func Kinds() []string {
	return []string{KindEntry, KindPlatform, KindWorker, KindBackend}
}

// Schema returns the JSON Schema for a kind of settings file, and false for an unknown kind.
func Schema(kind string) ([]byte, bool) {
	if !slices.Contains(Kinds(), kind) {
		return nil, false
	}
	text, err := schemaFiles.ReadFile("schema/" + kind + ".json")
	return text, err == nil
}

// load reads a settings file, validates it against the schema for its kind and decodes it into v.
func load(kind, file string, v any) ([]config.Violation, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "setup: unable to read settings")
	}
	return Decode(kind, file, text, v)
}

// Decode validates a settings text and decodes it into v; file is only used to label violations.
func Decode(kind, file string, text []byte, v any) ([]config.Violation, error) {
	schema, ok := Schema(kind)
	if !ok {
		return nil, errors.Newf("setup: unknown kind of settings %q", kind)
	}
	validator, err := config.NewValidator(schema)
	if err != nil {
		return nil, err
	}
	if violations := validator.Check(file, text); len(violations) > 0 {
		return violations, nil
	}
	if err := json.Unmarshal(text, v); err != nil {
		return []config.Violation{config.DecodeViolation(file, err)}, nil
	}
	return nil, nil
}

// addressViolations reports an address that matches the pattern of the schema but is invalid, such
// as 127.0.0.256:1.
func addressViolations(file, field, address string) []config.Violation {
	if _, err := netip.ParseAddrPort(address); err == nil {
		return nil
	}
	return []config.Violation{{File: file, Field: field, Value: address, Allowed: "IP:PORT with a port up to 65535"}}
}
