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
	goodJob    = `{"kind":"batch","name":"j","user":"u","tasks":1,"resources":{"cpu_millis":1,"memory_mb":1}}`
	goodRoute  = `{"kind":"route","name":"r"}`
	goodLimits = `{"kind":"limits","name":"jobs"}`
)

// with returns the document with one more field at its start.
func with(text, field string) string {
	return "{" + field + "," + text[1:]
}

// faultyDocuments lists documents with exactly one fault each.
var faultyDocuments = []struct {
	name, text, field, value, allowed string
}{
	{"no JSON", `{"kind":`, "", "unexpected end", "one JSON object"},
	{"no object", `[]`, "", "array", "one JSON object"},
	{"two objects", goodRoute + goodRoute, "", "after top-level value", "one JSON object"},
	{"no kind", `{"name":"r"}`, "kind", `""`, "route or limits"},
	{"unknown kind", `{"kind":"cron","name":"r"}`, "kind", `"cron"`, "route or limits"},
	{"too large", with(goodRoute, `"x":"`+strings.Repeat("x", config.MaxDocumentBytes)+`"`), "", "bytes", "at most 65536"},
	{"missing field", strings.Replace(goodJob, `"user":"u",`, "", 1), "user", "(missing)", "required"},
	{"unknown field", with(goodRoute, `"dead_line":1`), "dead_line", "1", "no field of this name"},
	{"field in another case", with(goodRoute, `"Class":"urgent"`), "Class", `"urgent"`, "no field of this name"},
	{"unknown nested field", strings.Replace(goodJob, `"memory_mb"`, `"gpus":1,"memory_mb"`, 1), "resources.gpus", "1", "no field of this name"},
	{"wrong type", with(goodRoute, `"deadline_ms":"1s"`), "deadline_ms", `"1s"`, "integer"},
	{"below the minimum", strings.Replace(goodJob, `"tasks":1`, `"tasks":0`, 1), "tasks", "0", "1"},
	{"above the maximum", with(goodRoute, `"max_body_bytes":1048577`), "max_body_bytes", "1048577", "1048576"},
	{"bad name", strings.Replace(goodRoute, `"r"`, `"R/x"`, 1), "name", `"R/x"`, "pattern"},
	{"bad class", with(goodJob, `"class":"high"`), "class", `"high"`, "urgent"},
	{"repeated domain", with(goodJob, `"failure_domains":["a","a"]`), "failure_domains", `["a","a"]`, "equal"},
	{"bad team limit", with(goodLimits, `"teams":{"u/t":{"weight":0}}`), "teams.u/t.weight", "0", "1"},
	{"large payload", with(goodJob, `"payload":"`+strings.Repeat("x", config.MaxPayloadBytes)+`"`), "payload", "bytes", "at most 16384"},
	{"fraction of a job", strings.Replace(goodJob, `"tasks":1`, `"tasks":1.0`, 1), "tasks", "1.0", "int"},
	{"exponent in a route", with(goodRoute, `"deadline_ms":1e3`), "deadline_ms", "1e3", "int64"},
	{"overflow in limits", with(goodLimits, `"teams":{"u":{"quota":9223372036854775808}}`), "teams.quota", "9223372036854775808", "int64"},
}

// Guards against a faulty document that is accepted or reported without what the operator has to change.
func TestFaultyDocumentGivesOneFault(t *testing.T) {
	for _, tc := range faultyDocuments {
		t.Run(tc.name, func(t *testing.T) {
			_, faults := config.Parse("f.json", []byte(tc.text))
			assert.Equal(t, len(faults), 1, "%v", faults)
			f := faults[0]
			assert.Equal(t, f.File, "f.json")
			assert.Equal(t, f.Field, tc.field)
			assert.Assert(t, strings.Contains(f.Value, tc.value), "value: %s", f.Value)
			assert.Assert(t, strings.Contains(f.Allowed, tc.allowed), "allowed: %s", f.Allowed)
			assert.Assert(t, !strings.Contains(f.String(), "\n"))
		})
	}
}

// Guards against faults that hide each other and against names used by two files of a directory.
func TestReadDirReportsEveryFault(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	write("a.json", goodJob)
	write("b.json", strings.Replace(goodJob, "batch", "service", 1))
	write("c.txt", "no document")
	docs, faults, err := config.ReadDir(dir)
	assert.NilError(t, err)
	assert.Equal(t, len(docs), 2)
	assert.Equal(t, len(faults), 1, "job kinds share one name space")
	assert.Equal(t, faults[0].Field, "name")
	write("a.json", with(with(goodRoute, `"x":1`), `"class":"high"`))
	write("b.json", `{"kind":"cron"}`)
	_, faults, err = config.ReadDir(dir)
	assert.NilError(t, err)
	assert.Equal(t, len(faults), 3, "%v", faults)
}

// FuzzParse guards against accepted documents that the snapshot in force leaves out.
func FuzzParse(f *testing.F) {
	for _, tc := range faultyDocuments {
		if len(tc.text) < 1024 {
			f.Add([]byte(tc.text))
		}
	}
	for _, text := range []string{goodJob, goodRoute, goodLimits, "", "null", `{"kind":"route","name":"a","name":"b"}`, with(goodJob, `"payload":{"a":[1e400]}`)} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, faults := config.Parse("f", text)
		for _, fault := range faults {
			assert.Assert(t, fault.File == "f" && fault.Value != "" && fault.Allowed != "", "%+v", fault)
		}
		if len(faults) > 0 {
			return
		}
		_, err := json.Marshal(doc)
		assert.NilError(t, err)
		var h config.Replica
		h.Apply(config.Update{Revision: 1, Full: true, Changes: []config.Change{{VersionedDocument: config.VersionedDocument{Document: doc}}}})
		s := h.Current()
		assert.Equal(t, len(s.Jobs)+len(s.Routes)+len(s.Limits), 1, string(text))
	})
}
