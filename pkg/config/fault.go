package config

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"
)

// Fault names one error in a file: where it is, what stands there and what is allowed.
type Fault struct {
	File    string `json:"file"`
	Field   string `json:"field"`
	Value   string `json:"value"`
	Allowed string `json:"allowed"`
}

// String returns the fault as one line.
func (f Fault) String() string {
	field := f.Field
	if field == "" {
		field = "(whole file)"
	}
	return fmt.Sprintf("%s: %s: %s: %s", f.File, field, f.Value, f.Allowed)
}

// DecodeFault returns the fault of a text that its schema allows but that can not be decoded.
// JSON Schema takes 1.0, 1e3 and numbers above 64 bits for integers; Go's decoder does not.
func DecodeFault(file string, err error) Fault {
	var wrong *json.UnmarshalTypeError
	if !errors.As(err, &wrong) {
		return Fault{File: file, Value: err.Error(), Allowed: "one JSON object"}
	}
	return Fault{
		File:    file,
		Field:   wrong.Field,
		Value:   wrong.Value,
		Allowed: "a number without fraction and exponent that fits " + wrong.Type.String(),
	}
}
