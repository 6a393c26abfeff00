package main_test

import (
	"fmt"
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

// Guards against a check of a configuration whose exit status hides its result, and against keys in its output.
func TestConfigCheckTellsItsResult(t *testing.T) {
	c := &testCluster{t: t}
	dir := t.TempDir()
	write := func(name, text string) string {
		file := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
		return file
	}
	const config = `{"version":%d,"routes":[{"name":"q","host":"h","path_prefix":"/","service":"pool"}],"services":[{"name":"pool"}],"tenants":[{"name":"a","api_keys":[%s]}]}`
	inForce := write("force.json", fmt.Sprintf(config, 1, `"secret-1"`))
	next := write("next.json", fmt.Sprintf(config, 2, `"secret-2"`))
	bad := write("bad.json", fmt.Sprintf(config, 2, `"secret-1","secret-1"`))
	for _, run := range []struct {
		args   []string
		status int
		want   string
	}{
		{[]string{inForce}, 0, ""},
		{[]string{"--against", inForce, next}, 0, "change: team \"a\": keys withdrawn: 1"},
		{[]string{"--against", next, inForce}, 1, "version"},
		{[]string{bad}, 1, "never used: tenants[0].api_keys[1]"},
		{[]string{"--format", "json", bad}, 1, `"path": "tenants[0].api_keys[1]"`},
		{[]string{write("broken.json", `{"version":1,`)}, 2, "broken.json: the document is empty or truncated"},
		{[]string{filepath.Join(dir, "missing.json")}, 2, "missing.json"},
		{nil, 2, "name one configuration"},
	} {
		out, status := c.runCommand(append([]string{"config", "check"}, run.args...)...)
		assert.Equal(t, status, run.status, "%v: %s", run.args, out)
		assert.Assert(t, strings.Contains(out, run.want) && !strings.Contains(out, "secret"), "%v: %s", run.args, out)
	}
}
