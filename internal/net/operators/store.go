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

// The file of hosts out by hand: small, and written whole each time, by a rename.
const (
	storeVersion = 1
	storeMost    = 64 << 10 // bytes; a longer file is none of ours
	namesMost    = 1024     // names in it
	nameMost     = 128      // bytes of a name
)

// stored is the form of the file.
type stored struct {
	V    int      `json:"v"`
	Node string   `json:"node"`
	Out  []string `json:"out"`
}

// Encode writes the set of hosts out by hand for a dispatcher.
func Encode(node string, out []string) []byte {
	names := slices.Clone(out)
	slices.Sort(names)
	b, _ := json.Marshal(stored{V: storeVersion, Node: node, Out: slices.Compact(names)})
	return append(b, '\n')
}

// Decode reads a file that Encode wrote for node. Anything else, a torn or foreign file too, is an error that says
// what is wrong with it.
func Decode(node string, b []byte) ([]string, error) {
	if len(b) > storeMost {
		return nil, fmt.Errorf("%d bytes, more than %d", len(b), storeMost)
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	var s stored
	if err := d.Decode(&s); err != nil {
		return nil, fmt.Errorf("not a list of hosts out by hand: %w", err)
	}
	switch {
	case s.V != storeVersion:
		return nil, fmt.Errorf("version %d, not %d", s.V, storeVersion)
	case s.Node != node:
		return nil, fmt.Errorf("of dispatcher %q, not %q", s.Node, node)
	case len(s.Out) > namesMost:
		return nil, fmt.Errorf("%d names, more than %d", len(s.Out), namesMost)
	}
	for _, n := range s.Out {
		if !ValidName(n) {
			return nil, fmt.Errorf("%q is not a host's name", n)
		}
	}
	return s.Out, nil
}

// ValidName tells whether a text can be the name of a game worker: printable, without spaces or slashes.
func ValidName(n string) bool {
	return n != "" && len(n) <= nameMost && !strings.ContainsFunc(n, func(r rune) bool {
		return r <= ' ' || r == '/' || r >= 0x7f
	})
}

// Store keeps the hosts out by hand of one dispatcher in a file of $TMPDIR, which outlives a process and is read by
// its successor. It is used by one goroutine at a time.
type Store struct {
	node, path string
	seen       stamp // of the file as last read or written
}

// stamp tells whether a file has changed since.
type stamp struct {
	mod  time.Time
	size int64
}

// NewStore keeps the file of a dispatcher in dir.
func NewStore(dir, node string) *Store {
	return &Store{node: node, path: StateFilePath(dir, node, "out-by-hand")}
}

// StateFilePath is the file of $TMPDIR that the processes of one dispatcher share for a purpose. Of the dispatcher's name it keeps
// letters, digits, - and _.
func StateFilePath(dir, node, purpose string) string {
	safe := strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_' {
			return r
		}
		return '_'
	}, node)
	return filepath.Join(dir, "gaugeslip-"+safe+"-"+purpose+".json")
}

// WriteFileAtomically writes a file whole, by a rename, so that a reader sees the old file or the new one and never a part. With sync it
// is on the disk when the call returns.
func WriteFileAtomically(path string, text []byte, sync bool) error {
	tmp, err := os.CreateTemp(filepath.Dir(path), "."+filepath.Base(path)+"-*")
	if err != nil {
		return err
	}
	defer os.Remove(tmp.Name()) // after the rename, of nothing
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

// Path is the file's.
func (s *Store) Path() string { return s.path }

// Load reads the set. A missing file is an empty set; one that can't be read is an empty set and an error that names
// it.
func (s *Store) Load() ([]string, error) {
	info, err := os.Stat(s.path)
	if errors.Is(err, os.ErrNotExist) {
		s.seen = stamp{}
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", s.path, err)
	}
	s.seen = stamp{info.ModTime(), info.Size()}
	if info.Size() > storeMost {
		return nil, fmt.Errorf("%s: %d bytes, more than %d", s.path, info.Size(), storeMost)
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

// Changed tells whether the file differs from what was last read or written here: another process has written it.
func (s *Store) Changed() bool {
	info, err := os.Stat(s.path)
	if err != nil {
		return s.seen != stamp{}
	}
	return stamp{info.ModTime(), info.Size()} != s.seen
}

// Save writes the set, whole.
func (s *Store) Save(out []string) error {
	if err := WriteFileAtomically(s.path, Encode(s.node, out), true); err != nil {
		return fmt.Errorf("out by hand: %s: %w", s.path, err)
	}
	if info, err := os.Stat(s.path); err == nil {
		s.seen = stamp{info.ModTime(), info.Size()}
	}
	return nil
}
