package config

import (
	"bytes"
	"encoding/json"
)

// compact returns a JSON text without insignificant space.
func compact(text json.RawMessage) []byte {
	var buf bytes.Buffer
	if err := json.Compact(&buf, text); err != nil {
		return text
	}
	return buf.Bytes()
}

// SameBody tells whether two JSON texts differ only in insignificant space.
func SameBody(a, b json.RawMessage) bool {
	return bytes.Equal(compact(a), compact(b))
}
