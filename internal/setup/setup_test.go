package setup_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/setup"
	"github.com/daisyrack/daisyrack/pkg/config"
)

const validEntry = `{"name":"e1","failure_domain":"a","failure_domains":["a","b"],"http_address":"127.0.0.1:1","peer_address":"[::1]:2","platform":"http://127.0.0.1:3"}`

// Guards against invalid settings that are accepted, and against violations that hide each other.
func TestInvalidSettingsReportOneViolationEach(t *testing.T) {
	cases := []struct {
		name, old, new string
		fields         []string
	}{
		{"valid", "", "", nil},
		{"unknown field", `{`, `{"color":1,`, []string{"color"}},
		{"missing field", `"name":"e1",`, ``, []string{"name"}},
		{"wrong type", `"e1"`, `1`, []string{"name"}},
		{"host name", `127.0.0.1:1`, `localhost:1`, []string{"http_address"}},
		{"impossible address", `127.0.0.1:1`, `127.0.0.256:1`, []string{"http_address"}},
		{"impossible port", `[::1]:2`, `[::1]:65536`, []string{"peer_address"}},
		{"no URL", `http://127`, `127`, []string{"platform"}},
		{"domain not listed", `"a","b"`, `"b"`, []string{"failure_domain"}},
		{"number with an exponent", `{`, `{"drain_seconds":1e1,`, []string{"drain_seconds"}},
		{"incomplete certificate", `{`, `{"tls":{"key_file":"k","authority_file":"a"},`, []string{"tls.certificate_file"}},
		{"three violations", `{"name":"e1"`, `{"x":1,"log_level":"all","drain_seconds":0,"name":"e1"`, []string{"drain_seconds", "log_level", "x"}},
		{"no JSON", `{`, ``, []string{""}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "entry.json")
			text := strings.Replace(validEntry, tc.old, tc.new, 1)
			assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
			_, violations, err := setup.LoadEntry(file)
			assert.NilError(t, err)
			var fields []string
			for _, f := range violations {
				fields = append(fields, f.Field)
				assert.Assert(t, f.File == file && f.Value != "" && f.Allowed != "", "%+v", f)
			}
			slices.Sort(fields)
			assert.DeepEqual(t, fields, tc.fields)
		})
	}
}

type schema struct {
	Properties map[string]schema `json:"properties"`
	Items      *schema           `json:"items"`
	Additional json.RawMessage   `json:"additionalProperties"`
}

// assertSameFields checks that a schema and a type have the same fields, recursively.
func assertSameFields(t *testing.T, path string, s schema, typ reflect.Type) {
	t.Helper()
	if typ.Kind() == reflect.Pointer {
		typ = typ.Elem()
	}
	if typ.Kind() == reflect.Map && s.Properties == nil {
		var element schema
		assert.NilError(t, json.Unmarshal(s.Additional, &element), path)
		assertSameFields(t, path+".*", element, typ.Elem())
		return
	}
	if typ.Kind() != reflect.Struct {
		return
	}
	assert.Equal(t, string(s.Additional), "false", "%s allows unknown fields", path)
	fields := make(map[string]bool)
	for i := range typ.NumField() {
		name, _, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ",")
		fields[name] = true
		property, ok := s.Properties[name]
		assert.Assert(t, ok, "%s.%s is not in the schema", path, name)
		assertSameFields(t, path+"."+name, property, typ.Field(i).Type)
	}
	for name := range s.Properties {
		assert.Assert(t, fields[name], "%s.%s is not in the type", path, name)
	}
}

// Guards against a field that a schema accepts but the program ignores, and the reverse.
func TestSchemasMatchTypes(t *testing.T) {
	types := map[string]any{
		setup.KindEntry: setup.Entry{}, setup.KindPlatform: setup.Platform{},
		setup.KindWorker: setup.Worker{}, setup.KindBackend: setup.Backend{},
		"job": config.Job{}, config.KindRoute: config.Route{}, config.KindLimits: config.Limits{},
	}
	for kind, value := range types {
		text, ok := setup.Schema(kind)
		if !ok {
			text, ok = config.Schema(kind)
		}
		assert.Assert(t, ok, kind)
		var s schema
		assert.NilError(t, json.Unmarshal(text, &s))
		assertSameFields(t, kind, s, reflect.TypeOf(value))
	}
	for _, kind := range setup.Kinds() {
		assert.Assert(t, types[kind] != nil, kind)
	}
}

// Guards against example documents that do not pass validation.
func TestExampleFilesAreValid(t *testing.T) {
	_, violations, err := config.ReadDir("../rack/files")
	assert.NilError(t, err)
	assert.Equal(t, len(violations), 0, "%v", violations)
}
