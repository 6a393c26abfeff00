package config

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"
)

// Violation describes one validation error in a file: the field, its value and the values allowed.
type Violation struct {
	File    string `json:"file"`
	Field   string `json:"field"`
	Value   string `json:"value"`
	Allowed string `json:"allowed"`
}

// String formats the violation on one line.
func (f Violation) String() string {
	field := f.Field
	if field == "" {
		field = "(whole file)"
	}
	return fmt.Sprintf("%s: %s: %s: %s", f.File, field, f.Value, f.Allowed)
}

// DecodeViolation converts a decoding error of a text that satisfies its schema into a violation.
// JSON Schema accepts 1.0, 1e3 and numbers above 64 bits as integers; encoding/json does not.
func DecodeViolation(file string, err error) Violation {
	var typeErr *json.UnmarshalTypeError
	if !errors.As(err, &typeErr) {
		return Violation{File: file, Value: err.Error(), Allowed: "one JSON object"}
	}
	return Violation{
		File:    file,
		Field:   typeErr.Field,
		Value:   typeErr.Value,
		Allowed: "a number without fraction and exponent that fits " + typeErr.Type.String(),
	}
}
