package main_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a check that stops at the first violation or does not name its
// file and field.
func TestCheckReportsEveryViolation(t *testing.T) {
	files := map[string]string{
		"a.json": `{"kind":"service","name":"Bad Name","user":"u","tasks":0,"resources":{"cpu_millis":1,"memory_mb":1}}`,
		"b.json": `{"kind":"route","name":"r","deadline":5}`,
		"c.json": `{"kind":"unheard"}`,
		"d.json": `not JSON`,
	}
	dir := t.TempDir()
	for name, text := range files {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	out, status := (&testCluster{t: t}).runCommand("check", dir)
	assert.Equal(t, status, 2, out)
	for _, fault := range []string{"a.json: name:", "a.json: tasks: 0:", "b.json: deadline: 5:", "c.json: kind:", "d.json:"} {
		assert.Assert(t, strings.Contains(out, fault), "%s is missing in:\n%s", fault, out)
	}
	assert.Assert(t, strings.Contains(out, "5 faults found"), out)
}

// Guards against an instance that starts with invalid settings.
func TestInvalidSettingsExitWithStatus2(t *testing.T) {
	c := &testCluster{t: t, dir: t.TempDir()}
	file := c.writeJSON("entry", map[string]any{
		"name": "e", "failure_domain": "x", "failure_domains": []string{"a"}, "http_address": "localhost:1",
		"peer_address": "127.0.0.1:0", "platform": "http://127.0.0.1:1", "colour": "blue",
	})
	out, status := c.runCommand("entry", "--settings", file)
	assert.Equal(t, status, 2, out)
	for _, fault := range []string{"http_address: \"localhost:1\":", "colour: \"blue\": no field of this name is known"} {
		assert.Assert(t, strings.Contains(out, fault), "%s is missing in:\n%s", fault, out)
	}
}
