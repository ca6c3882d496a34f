// Package config is the one place where a dispatcher's configuration is read, checked and given defaults:
// the NODE_* variables and the JSON file that NODE_CONFIG names. Every error names the faulty key.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"net"
	"os"
	"reflect"
	"slices"
	"strconv"
	"time"

	"gaugeslip/internal/settings"
	"gaugeslip/policy"
)

// Limits is what the platform grants one dispatcher.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Defaults of the limits, where the file leaves them out: those of a scored day.
const (
	defaultCores    = 1
	defaultMemoryMB = 192
	defaultSockets  = 1024
	leastSockets    = 64 // fewer cannot be shared out between the parts
)

// Defaults of the settings that bind connections to upstream hosts, where the settings leave them out.
const (
	defaultConnectTimeout = 250 * time.Millisecond
	defaultConnIdle       = 10 * time.Second
)

// Config is what a dispatcher is told at its start.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	Seed      uint64
	Limits    Limits
	Known     json.RawMessage // the list of upstream hosts as this dispatcher last had it
	Settings  *settings.Settings

	// Ops is the operators' door, from NODE_OPS or the key ops; empty: there is none.
	Ops string
	// Inherited is the descriptor of the clients' listening socket that the platform hands on, from
	// NODE_INHERITED_FD; 0: none, the dispatcher opens Listen itself.
	Inherited int
}

// file is the form of the configuration file; unknown keys are ignored.
type file struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Limits    Limits          `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
	Ops       string          `json:"ops"`
}

// Load reads the configuration. getenv looks up a variable; path, if not empty, stands for NODE_CONFIG.
func Load(getenv func(string) string, path string) (*Config, error) { return load(getenv, path, false) }

// Reload reads the whole configuration anew, with every check that Load makes. A discovery that the file names
// stands above NODE_DISCOVERY here: the variable is as old as the process, the file is what has changed.
func Reload(getenv func(string) string, path string) (*Config, error) {
	return load(getenv, path, true)
}

func load(getenv func(string) string, path string, anew bool) (*Config, error) {
	if path == "" {
		path = getenv("NODE_CONFIG")
	}
	if path == "" {
		return nil, errors.New("NODE_CONFIG: not set, and no file is named")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("NODE_CONFIG: %w", err)
	}
	return parse(getenv, text, anew)
}

// KeysNeedingRestart names the keys whose values differ in a newer configuration and count only from a start on.
func (c *Config) KeysNeedingRestart(newer *Config) (keys []string) {
	for key, same := range map[string]bool{
		"name":     c.Name == newer.Name,
		"listen":   c.Listen == newer.Listen,
		"limits":   c.Limits == newer.Limits,
		"ops":      c.Ops == newer.Ops,
		"settings": reflect.DeepEqual(c.Settings, newer.Settings),
	} {
		if !same {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// parse reads the text of a file; anew: see Reload.
func parse(getenv func(string) string, text []byte, anew bool) (*Config, error) {
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		var t *json.UnmarshalTypeError
		if errors.As(err, &t) {
			return nil, fmt.Errorf("config: %s: not for a %s", t.Field, t.Value)
		}
		return nil, fmt.Errorf("config: %w", err)
	}
	c := &Config{Limits: f.Limits, Known: f.Known}
	for _, k := range []struct {
		to             *string
		env, key, file string
		addr, ownFirst bool // ownFirst: the file's value stands above the variable
	}{
		{&c.Name, "NODE_NAME", "name", f.Name, false, false},
		{&c.Listen, "NODE_LISTEN", "listen", f.Listen, true, false},
		{&c.Discovery, "NODE_DISCOVERY", "discovery", f.Discovery, true, anew},
	} {
		key := k.env
		if *k.to = getenv(k.env); *k.to == "" || k.ownFirst && k.file != "" {
			*k.to, key = k.file, k.key
		}
		if *k.to == "" {
			return nil, fmt.Errorf("%s: neither set nor in the file", k.env)
		}
		if k.addr {
			if err := checkAddr(*k.to); err != nil {
				return nil, fmt.Errorf("%s: %w", key, err)
			}
		}
	}
	if c.Ops = getenv("NODE_OPS"); c.Ops == "" {
		c.Ops = f.Ops
	}
	if c.Ops != "" {
		if err := checkAddr(c.Ops); err != nil {
			return nil, fmt.Errorf("ops: %w", err)
		}
	}
	if fd := getenv("NODE_INHERITED_FD"); fd != "" {
		n, err := strconv.Atoi(fd)
		if err != nil || n < 3 {
			return nil, fmt.Errorf("NODE_INHERITED_FD: %q is not a descriptor above the standard streams", fd)
		}
		c.Inherited = n
	}
	c.Seed = seed(f.Seed, c.Name)
	if err := c.Limits.check(); err != nil {
		return nil, err
	}
	if len(f.Settings) == 0 {
		return nil, errors.New("settings: missing")
	}
	var err error
	if c.Settings, err = settings.Parse(f.Settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if c.Settings.Policy.ConnectTimeout <= 0 {
		c.Settings.Policy.ConnectTimeout = defaultConnectTimeout
	}
	if c.Settings.ConnIdle <= 0 {
		c.Settings.ConnIdle = defaultConnIdle
	}
	if _, err = policy.New(c.Settings.Policy, c.Seed); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return c, nil
}

// check fills in the defaults and finds figures that cannot be kept.
func (l *Limits) check() error {
	if l.Cores == 0 {
		l.Cores = defaultCores
	}
	if l.MemoryMB == 0 {
		l.MemoryMB = defaultMemoryMB
	}
	if l.Sockets == 0 {
		l.Sockets = defaultSockets
	}
	switch {
	case l.Cores < 0:
		return fmt.Errorf("limits.cores: %v is negative", l.Cores)
	case l.MemoryMB < 0:
		return fmt.Errorf("limits.memory_mb: %v is negative", l.MemoryMB)
	case l.Sockets < leastSockets:
		return fmt.Errorf("limits.sockets: %d, at least %d are needed", l.Sockets, leastSockets)
	}
	return nil
}

// Procs is how many threads may run Go code at a time.
func (l *Limits) Procs() int { return max(1, int(math.Ceil(l.Cores))) }

// MemoryBytes is what the Go runtime may use: the rest of the limit is for what it does not count.
func (l *Limits) MemoryBytes() int64 { return int64(l.MemoryMB * 0.75 * (1 << 20)) }

// BodyBytes is what the bodies of requests may take together. Each is held twice while it is written to an
// upstream host, and the runtime with its connections needs 10 to 15 MB whatever comes.
func (l *Limits) BodyBytes() int64 { return int64(l.MemoryMB / 8 * (1 << 20)) }

// checkAddr wants an address of numbers: there is no DNS.
func checkAddr(s string) error {
	host, port, err := net.SplitHostPort(s)
	if err != nil {
		return err
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("%q is not an IP address", host)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return fmt.Errorf("%q is not a port", port)
	}
	return nil
}

// seed takes hex digits as they are; any other text, or the name, is hashed.
func seed(s, name string) uint64 {
	if v, err := strconv.ParseUint(s, 16, 64); err == nil {
		return v
	}
	h := fnv.New64a()
	h.Write([]byte(s + "/" + name))
	return h.Sum64()
}
