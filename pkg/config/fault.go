package config

import "fmt"

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
