package config

import (
	"bytes"
	"encoding/json"
)

// compact returns a JSON text without insignificant white space.
func compact(text json.RawMessage) []byte {
	var buf bytes.Buffer
	if err := json.Compact(&buf, text); err != nil {
		return text
	}
	return buf.Bytes()
}

// SameBody reports whether two JSON texts are equal apart from insignificant white space.
func SameBody(a, b json.RawMessage) bool {
	return bytes.Equal(compact(a), compact(b))
}
