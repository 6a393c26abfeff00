package config

import (
	"bytes"
	"embed"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

//go:embed schema/*.json
var schemaFiles embed.FS

// maxValueBytes is the maximum length of a value quoted in a Violation.
const maxValueBytes = 80

// Schema returns the JSON Schema for a kind of document, and false for an unknown kind.
func Schema(kind string) ([]byte, bool) {
	if slices.Contains(jobKinds, kind) {
		kind = "job"
	}
	text, err := schemaFiles.ReadFile("schema/" + kind + ".json")
	return text, err == nil
}

// Validator validates JSON texts against one JSON Schema.
type Validator struct {
	schema *jsonschema.Schema
}

// NewValidator compiles a JSON Schema.
func NewValidator(schema []byte) (*Validator, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schema))
	if err != nil {
		return nil, errors.Wrap(err, "config: unable to decode schema")
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("schema.json", doc); err != nil {
		return nil, errors.Wrap(err, "config: unable to add schema")
	}
	compiled, err := c.Compile("schema.json")
	if err != nil {
		return nil, errors.Wrap(err, "config: unable to compile schema")
	}
	return &Validator{schema: compiled}, nil
}

// Check returns all schema violations of the text; file is only used to label them.
func (c *Validator) Check(file string, text []byte) []Violation {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return []Violation{{File: file, Value: err.Error(), Allowed: "one JSON object"}}
	}
	var invalid *jsonschema.ValidationError
	if err := c.schema.Validate(doc); !errors.As(err, &invalid) {
		return nil
	}
	return leafViolations(file, doc, invalid)
}

// leafViolations converts the innermost causes of a validation error, which name single fields,
// into violations.
func leafViolations(file string, doc any, e *jsonschema.ValidationError) []Violation {
	var violations []Violation
	for _, cause := range e.Causes {
		violations = append(violations, leafViolations(file, doc, cause)...)
	}
	if len(e.Causes) > 0 {
		return violations
	}
	if extra, ok := e.ErrorKind.(*kind.AdditionalProperties); ok {
		return unknownFields(file, doc, e.InstanceLocation, extra.Properties)
	}
	if missing, ok := e.ErrorKind.(*kind.Required); ok {
		return missingFields(file, e.InstanceLocation, missing.Missing)
	}
	return []Violation{{
		File:    file,
		Field:   strings.Join(e.InstanceLocation, "."),
		Value:   quoteAt(doc, e.InstanceLocation),
		Allowed: allowedValues(e.ErrorKind),
	}}
}

// allowedValues describes the values that a rule allows. It formats numeric limits itself, because
// the library prints them as 1.048577×10⁰⁶.
func allowedValues(e jsonschema.ErrorKind) string {
	switch e := e.(type) {
	case *kind.Minimum:
		return "at least " + e.Want.RatString()
	case *kind.Maximum:
		return "at most " + e.Want.RatString()
	case *kind.ExclusiveMinimum:
		return "above " + e.Want.RatString()
	}
	return e.LocalizedString(message.NewPrinter(language.English))
}

func unknownFields(file string, doc any, at, names []string) []Violation {
	var violations []Violation
	for _, name := range names {
		path := append(slices.Clone(at), name)
		violations = append(violations, Violation{
			File:    file,
			Field:   strings.Join(path, "."),
			Value:   quoteAt(doc, path),
			Allowed: "no field of this name is known",
		})
	}
	return violations
}

func missingFields(file string, at, names []string) []Violation {
	var violations []Violation
	for _, name := range names {
		path := append(slices.Clone(at), name)
		violations = append(violations, Violation{
			File:    file,
			Field:   strings.Join(path, "."),
			Value:   "(missing)",
			Allowed: "the field is required",
		})
	}
	return violations
}

// quoteAt returns the JSON text of the value at a path, truncated to maxValueBytes.
func quoteAt(doc any, path []string) string {
	for _, key := range path {
		doc = child(doc, key)
	}
	text, err := json.Marshal(doc)
	if err != nil {
		return fmt.Sprint(doc)
	}
	if len(text) > maxValueBytes {
		return string(text[:maxValueBytes]) + "..."
	}
	return string(text)
}

func child(doc any, key string) any {
	switch v := doc.(type) {
	case map[string]any:
		return v[key]
	case []any:
		if i, err := strconv.Atoi(key); err == nil && i < len(v) {
			return v[i]
		}
	}
	return nil
}
