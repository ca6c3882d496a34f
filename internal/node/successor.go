package node

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// On a socket that the platform keeps, a new process of the same dispatcher accepts beside the old one. The one that
// serves writes so in a file of $TMPDIR, which both share; the old one sees a newer writer there and hands over:
// it takes no more connections and answers what it has, before its SIGTERM comes, so that long jobs are not cut
// off by the SIGKILL that follows it.

// lookEvery is how often the old process looks for a successor.
const lookEvery = 100 * time.Millisecond

// serving is the form of the file.
type serving struct {
	PID   int   `json:"pid"`
	Since int64 `json:"since"` // the process's start, Unix nanoseconds
}

// servingFile is where the processes of a dispatcher tell which of them serves.
func servingFile(dir, name string) string {
	return filepath.Join(dir, "gaugeslip-"+safeName(name)+"-serving.json")
}

// safeName keeps letters, digits, - and _ of a dispatcher's name for a file's.
func safeName(name string) string {
	b := []byte(name)
	for i, c := range b {
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_') {
			b[i] = '_'
		}
	}
	return string(b)
}

// announce writes that this process serves now, whole, by a rename.
func announce(path string, me serving) error {
	text, _ := json.Marshal(me)
	tmp, err := os.CreateTemp(filepath.Dir(path), ".gaugeslip-serving-*")
	if err != nil {
		return fmt.Errorf("serving: %w", err)
	}
	defer os.Remove(tmp.Name())
	if _, err = tmp.Write(text); err == nil {
		err = tmp.Close()
	} else {
		tmp.Close()
	}
	if err == nil {
		err = os.Rename(tmp.Name(), path)
	}
	if err != nil {
		return fmt.Errorf("serving: %w", err)
	}
	return nil
}

// successor tells whether the file names a process that started after this one.
func successor(path string, me serving) bool {
	text, err := os.ReadFile(path)
	if err != nil {
		return false
	}
	var other serving
	if json.Unmarshal(text, &other) != nil {
		return false
	}
	return other.PID != me.PID && other.Since > me.Since
}

// awaitSuccessor calls handover once a successor has announced itself, or returns when ctx ends.
func awaitSuccessor(ctx context.Context, path string, me serving, handover func()) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if successor(path, me) {
				handover()
				return
			}
		}
	}
}
