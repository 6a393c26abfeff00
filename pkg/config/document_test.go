package config_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/pkg/config"
)

const (
	validJob    = `{"kind":"batch","name":"j","user":"u","tasks":1,"resources":{"cpu_millis":1,"memory_mb":1}}`
	validRoute  = `{"kind":"route","name":"r"}`
	validLimits = `{"kind":"limits","name":"jobs"}`
)

// with returns the document with an additional field at its start.
func with(text, field string) string {
	return "{" + field + "," + text[1:]
}

// invalidDocuments lists documents with exactly one violation each.
var invalidDocuments = []struct {
	name, text, field, value, allowed string
}{
	{"no JSON", `{"kind":`, "", "unexpected end", "one JSON object"},
	{"no object", `[]`, "", "array", "one JSON object"},
	{"two objects", validRoute + validRoute, "", "after top-level value", "one JSON object"},
	{"no kind", `{"name":"r"}`, "kind", `""`, "route or limits"},
	{"unknown kind", `{"kind":"cron","name":"r"}`, "kind", `"cron"`, "route or limits"},
	{"too large", with(validRoute, `"x":"`+strings.Repeat("x", config.MaxDocumentBytes)+`"`), "", "bytes", "at most 65536"},
	{"missing field", strings.Replace(validJob, `"user":"u",`, "", 1), "user", "(missing)", "required"},
	{"unknown field", with(validRoute, `"dead_line":1`), "dead_line", "1", "no field of this name"},
	{"field in another case", with(validRoute, `"Class":"urgent"`), "Class", `"urgent"`, "no field of this name"},
	{"unknown nested field", strings.Replace(validJob, `"memory_mb"`, `"gpus":1,"memory_mb"`, 1), "resources.gpus", "1", "no field of this name"},
	{"wrong type", with(validRoute, `"deadline_ms":"1s"`), "deadline_ms", `"1s"`, "integer"},
	{"below the minimum", strings.Replace(validJob, `"tasks":1`, `"tasks":0`, 1), "tasks", "0", "1"},
	{"above the maximum", with(validRoute, `"max_body_bytes":1048577`), "max_body_bytes", "1048577", "1048576"},
	{"bad name", strings.Replace(validRoute, `"r"`, `"R/x"`, 1), "name", `"R/x"`, "pattern"},
	{"bad class", with(validJob, `"class":"high"`), "class", `"high"`, "urgent"},
	{"repeated domain", with(validJob, `"failure_domains":["a","a"]`), "failure_domains", `["a","a"]`, "equal"},
	{"bad team limit", with(validLimits, `"teams":{"u/t":{"weight":0}}`), "teams.u/t.weight", "0", "1"},
	{"large payload", with(validJob, `"payload":"`+strings.Repeat("x", config.MaxPayloadBytes)+`"`), "payload", "bytes", "at most 16384"},
	{"fraction of a job", strings.Replace(validJob, `"tasks":1`, `"tasks":1.0`, 1), "tasks", "1.0", "int"},
	{"exponent in a route", with(validRoute, `"deadline_ms":1e3`), "deadline_ms", "1e3", "int64"},
	{"overflow in limits", with(validLimits, `"teams":{"u":{"quota":9223372036854775808}}`), "teams.quota", "9223372036854775808", "int64"},
}

// Guards against invalid documents that are accepted, and against violations that do not tell the
// operator which field to change and how.
func TestInvalidDocumentReportsOneViolation(t *testing.T) {
	for _, tc := range invalidDocuments {
		t.Run(tc.name, func(t *testing.T) {
			_, violations := config.Parse("f.json", []byte(tc.text))
			assert.Equal(t, len(violations), 1, "%v", violations)
			violation := violations[0]
			assert.Equal(t, violation.File, "f.json")
			assert.Equal(t, violation.Field, tc.field)
			assert.Assert(t, strings.Contains(violation.Value, tc.value), "value: %s", violation.Value)
			assert.Assert(t, strings.Contains(violation.Allowed, tc.allowed), "allowed: %s", violation.Allowed)
			assert.Assert(t, !strings.Contains(violation.String(), "\n"))
		})
	}
}

// Guards against violations in one file that hide those in another, and against two files of a
// directory that use the same name.
func TestReadDirReportsAllViolations(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	write("a.json", validJob)
	write("b.json", strings.Replace(validJob, "batch", "service", 1))
	write("c.txt", "no document")
	docs, violations, err := config.ReadDir(dir)
	assert.NilError(t, err)
	assert.Equal(t, len(docs), 2)
	assert.Equal(t, len(violations), 1, "job kinds share one name space")
	assert.Equal(t, violations[0].Field, "name")
	write("a.json", with(with(validRoute, `"x":1`), `"class":"high"`))
	write("b.json", `{"kind":"cron"}`)
	_, violations, err = config.ReadDir(dir)
	assert.NilError(t, err)
	assert.Equal(t, len(violations), 3, "%v", violations)
}

// FuzzParse guards against documents that are accepted but that the snapshot then skips because
// they cannot be decoded.
func FuzzParse(f *testing.F) {
	for _, tc := range invalidDocuments {
		if len(tc.text) < 1024 {
			f.Add([]byte(tc.text))
		}
	}
	for _, text := range []string{validJob, validRoute, validLimits, "", "null", `{"kind":"route","name":"a","name":"b"}`, with(validJob, `"payload":{"a":[1e400]}`)} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, violations := config.Parse("f", text)
		for _, violation := range violations {
			assert.Assert(t, violation.File == "f" && violation.Value != "" && violation.Allowed != "", "%+v", violation)
		}
		if len(violations) > 0 {
			return
		}
		_, err := json.Marshal(doc)
		assert.NilError(t, err)
		var replica config.Replica
		replica.Apply(config.Update{Revision: 1, Full: true, Changes: []config.Change{{VersionedDocument: config.VersionedDocument{Document: doc}}}})
		s := replica.Current()
		assert.Equal(t, len(s.Jobs)+len(s.Routes)+len(s.Limits), 1, string(text))
	})
}
