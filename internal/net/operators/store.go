package operators

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// The file of hosts taken out by hand is small, and replaced as a whole by a rename.
const (
	storeVersion  = 1
	maxStoreBytes = 64 << 10 // a longer file was not written by a dispatcher
	maxNames      = 1024     // in one file
	maxNameBytes  = 128
)

// storedSet is the content of the file.
type storedSet struct {
	V    int      `json:"v"`
	Node string   `json:"node"`
	Out  []string `json:"out"`
}

// Encode returns the content of the file for a dispatcher and its set of hosts taken out by hand.
func Encode(node string, out []string) []byte {
	names := slices.Clone(out)
	slices.Sort(names)
	b, _ := json.Marshal(storedSet{V: storeVersion, Node: node, Out: slices.Compact(names)})
	return append(b, '\n')
}

// Decode reads a file that Encode wrote for node. Any other content, for example a truncated file or one of another
// dispatcher, is an error that says what is wrong.
func Decode(node string, b []byte) ([]string, error) {
	if len(b) > maxStoreBytes {
		return nil, fmt.Errorf("%d bytes, more than %d", len(b), maxStoreBytes)
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	var s storedSet
	if err := d.Decode(&s); err != nil {
		return nil, fmt.Errorf("not a list of hosts out by hand: %w", err)
	}
	switch {
	case s.V != storeVersion:
		return nil, fmt.Errorf("version %d, not %d", s.V, storeVersion)
	case s.Node != node:
		return nil, fmt.Errorf("of dispatcher %q, not %q", s.Node, node)
	case len(s.Out) > maxNames:
		return nil, fmt.Errorf("%d names, more than %d", len(s.Out), maxNames)
	}
	for _, n := range s.Out {
		if !ValidName(n) {
			return nil, fmt.Errorf("%q is not a host's name", n)
		}
	}
	return s.Out, nil
}

// ValidName reports whether a text can be the name of a game worker: printable ASCII without spaces or slashes.
func ValidName(n string) bool {
	return n != "" && len(n) <= maxNameBytes && !strings.ContainsFunc(n, func(r rune) bool {
		return r <= ' ' || r == '/' || r >= 0x7f
	})
}

// Store keeps the hosts taken out by hand of one dispatcher in a file of $TMPDIR, where the next process of the
// dispatcher finds them. It is not safe for concurrent use.
type Store struct {
	node, path string
	lastSeen   stamp // of the file when last read or written
}

// stamp identifies a version of the file by its time of modification and size.
type stamp struct {
	mod  time.Time
	size int64
}

// NewStore returns the store of a dispatcher, with its file in dir.
func NewStore(dir, node string) *Store {
	return &Store{node: node, path: StateFilePath(dir, node, "out-by-hand")}
}

// StateFilePath returns the path of the file in dir that the processes of one dispatcher share for a purpose. All characters
// of the dispatcher's name other than letters, digits, - and _ are replaced by _.
func StateFilePath(dir, node, purpose string) string {
	safe := strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_' {
			return r
		}
		return '_'
	}, node)
	return filepath.Join(dir, "gaugeslip-"+safe+"-"+purpose+".json")
}

// WriteFileAtomically replaces a file atomically by a rename: a reader sees either the old content or the new one. With sync
// set, the content is on disk when the call returns.
func WriteFileAtomically(path string, text []byte, sync bool) error {
	tmp, err := os.CreateTemp(filepath.Dir(path), "."+filepath.Base(path)+"-*")
	if err != nil {
		return err
	}
	defer os.Remove(tmp.Name()) // has no effect after the rename
	if _, err = tmp.Write(text); err == nil && sync {
		err = tmp.Sync()
	}
	if cerr := tmp.Close(); err == nil {
		err = cerr
	}
	if err == nil {
		err = os.Rename(tmp.Name(), path)
	}
	return err
}

// Path returns the path of the file.
func (s *Store) Path() string { return s.path }

// Load reads the set. A missing file is an empty set. If the file cannot be read, Load returns an empty set and an
// error with the path.
func (s *Store) Load() ([]string, error) {
	info, err := os.Stat(s.path)
	if errors.Is(err, os.ErrNotExist) {
		s.lastSeen = stamp{}
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", s.path, err)
	}
	s.lastSeen = stamp{info.ModTime(), info.Size()}
	if info.Size() > maxStoreBytes {
		return nil, fmt.Errorf("%s: %d bytes, more than %d", s.path, info.Size(), maxStoreBytes)
	}
	b, err := os.ReadFile(s.path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", s.path, err)
	}
	names, err := Decode(s.node, b)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", s.path, err)
	}
	return names, nil
}

// Changed reports whether the file differs from what this Store last read or wrote, that is whether another process has
// written it.
func (s *Store) Changed() bool {
	info, err := os.Stat(s.path)
	if err != nil {
		return s.lastSeen != stamp{}
	}
	return stamp{info.ModTime(), info.Size()} != s.lastSeen
}

// Save replaces the file with this set.
func (s *Store) Save(out []string) error {
	if err := WriteFileAtomically(s.path, Encode(s.node, out), true); err != nil {
		return fmt.Errorf("out by hand: %s: %w", s.path, err)
	}
	if info, err := os.Stat(s.path); err == nil {
		s.lastSeen = stamp{info.ModTime(), info.Size()}
	}
	return nil
}
