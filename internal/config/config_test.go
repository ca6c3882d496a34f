package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const good = `{"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"10","more":1,
"limits":{"cores":1.5,"memory_mb":100,"sockets":512},"known":{"seq":1},"settings":{"profiles":[{"name":"a"}]}}`

func env(pairs ...string) func(string) string {
	return func(k string) string {
		for i := 0; i < len(pairs); i += 2 {
			if pairs[i] == k {
				return pairs[i+1]
			}
		}
		return ""
	}
}

func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "c.json")
	if err := os.WriteFile(path, []byte(good), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := Load(env("NODE_CONFIG", path, "NODE_LISTEN", "127.0.0.9:9"), "")
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n1" || c.Listen != "127.0.0.9:9" || c.Discovery != "127.0.0.1:2" || c.Seed != 16 ||
		c.Limits.Procs() != 2 || c.Limits.MemoryBytes() != 75<<20 || string(c.Known) != `{"seq":1}` {
		t.Errorf("%+v", c)
	}
}

func TestDefaults(t *testing.T) {
	c, err := parse(env("NODE_NAME", "n", "NODE_LISTEN", "127.0.0.1:1", "NODE_DISCOVERY", "127.0.0.1:2"),
		[]byte(`{"settings":{"profiles":[{"name":"a"}]}}`), false)
	if err != nil {
		t.Fatal(err)
	}
	if c.Limits != (Limits{1, 192, 1024}) || c.Limits.Procs() != 1 || c.Settings.ConnIdle != defaultConnIdle ||
		c.Settings.Policy.ConnectTimeout != defaultConnectTimeout {
		t.Errorf("%+v, %+v", c.Limits, c.Settings)
	}
}

func TestErrorsNameTheKey(t *testing.T) {
	swap := func(old, new string) string { return strings.Replace(good, old, new, 1) }
	for _, c := range []struct{ text, key string }{
		{`[`, "config"},
		{swap(`"n1"`, `""`), "NODE_NAME"},
		{swap(`"n1"`, `7`), "config: name"},
		{swap(`127.0.0.1:1`, `localhost:1`), "listen"},
		{swap(`127.0.0.1:1`, `127.0.0.1`), "listen"},
		{swap(`127.0.0.1:2`, `127.0.0.1:99999`), "discovery"},
		{swap(`1.5`, `-1`), "limits.cores"},
		{swap(`100`, `-1`), "limits.memory_mb"},
		{swap(`512`, `12`), "limits.sockets"},
		{swap(`512`, `"many"`), "config: limits.sockets"},
		{swap(`"settings"`, `"sittings"`), "settings"},
		{swap(`{"name":"a"}`, `{"effect":"x"}`), "settings: profiles.effect"},
		{swap(`{"name":"a"}`, ``), "settings"},
	} {
		if _, err := parse(env(), []byte(c.text), false); err == nil || !strings.HasPrefix(err.Error(), c.key) {
			t.Errorf("%s: error %v, want it to begin with %q", c.text, err, c.key)
		}
	}
	if _, err := Load(env(), ""); err == nil || !strings.HasPrefix(err.Error(), "NODE_CONFIG") {
		t.Error(err)
	}
	if _, err := Load(env("NODE_CONFIG", "/nonexistent"), ""); err == nil || !strings.HasPrefix(err.Error(), "NODE_CONFIG") {
		t.Error(err)
	}
}

// At a reload the file's discovery wins over the variable of the start, which still stands where the file has none.
func TestReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "c.json")
	first, err := parse(env(), []byte(good), false)
	if err != nil {
		t.Fatal(err)
	}
	vars := env("NODE_LISTEN", "127.0.0.9:9", "NODE_DISCOVERY", "127.0.0.9:8")
	for _, c := range []struct{ text, discovery, fixed string }{
		{good, "127.0.0.1:2", "listen"},
		{strings.Replace(good, `"discovery"`, `"other"`, 1), "127.0.0.9:8", "listen"},
		{strings.NewReplacer("127.0.0.1:2", "127.0.0.1:3", "512", "256", `"a"`, `"b"`).Replace(good),
			"127.0.0.1:3", "limits listen settings"},
	} {
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		newer, err := Reload(vars, path)
		if err != nil || newer.Discovery != c.discovery || strings.Join(first.KeysNeedingRestart(newer), " ") != c.fixed {
			t.Errorf("%+v, %v, want %s and %s", newer, err, c.discovery, c.fixed)
		}
	}
}

// The operators' door and the inherited listener: the variables stand above the file, a faulty value is named.
func TestOpsAndInherited(t *testing.T) {
	withOps := strings.Replace(good, `"seed"`, `"ops":"127.0.0.1:7","seed"`, 1)
	for _, c := range []struct {
		text      string
		vars      []string
		ops       string
		inherited int
		fault     string
	}{
		{good, nil, "", 0, ""},
		{withOps, nil, "127.0.0.1:7", 0, ""},
		{withOps, []string{"NODE_OPS", "127.0.0.2:8", "NODE_INHERITED_FD", "7"}, "127.0.0.2:8", 7, ""},
		{good, []string{"NODE_OPS", "here:8"}, "", 0, "ops"},
		{strings.Replace(good, `"seed"`, `"ops":"127.0.0.1","seed"`, 1), nil, "", 0, "ops"},
		{good, []string{"NODE_INHERITED_FD", "seven"}, "", 0, "NODE_INHERITED_FD"},
		{good, []string{"NODE_INHERITED_FD", "1"}, "", 0, "NODE_INHERITED_FD"},
	} {
		got, err := parse(env(c.vars...), []byte(c.text), false)
		switch {
		case c.fault != "":
			if err == nil || !strings.HasPrefix(err.Error(), c.fault) {
				t.Errorf("%v: error %v, want it to begin with %q", c.vars, err, c.fault)
			}
		case err != nil:
			t.Errorf("%v: %v", c.vars, err)
		case got.Ops != c.ops || got.Inherited != c.inherited:
			t.Errorf("%v: ops %q, inherited %d; want %q and %d", c.vars, got.Ops, got.Inherited, c.ops, c.inherited)
		}
	}
}
