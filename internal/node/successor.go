package node

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"gaugeslip/internal/net/operators"
)

// On a socket that the platform keeps, a new process of the same dispatcher accepts beside the old one. The one that
// serves writes so in a file of $TMPDIR, which both share; the old one sees a newer writer there and hands over:
// it takes no more connections and answers what it has, before its SIGTERM comes, so that long jobs are not cut
// off by the SIGKILL that follows it.

// successorPollInterval is how often the old process looks for a successor.
const successorPollInterval = 100 * time.Millisecond

// servingRecord is the form of the file.
type servingRecord struct {
	PID   int   `json:"pid"`
	Since int64 `json:"since"` // the process's start, Unix nanoseconds
}

// servingFile is where the processes of a dispatcher tell which of them serves.
func servingFile(dir, name string) string { return operators.StateFilePath(dir, name, "serving") }

// announce writes that this process serves now.
func announce(path string, me servingRecord) error {
	text, _ := json.Marshal(me)
	if err := operators.WriteFileAtomically(path, text, false); err != nil {
		return fmt.Errorf("serving: %w", err)
	}
	return nil
}

// successorServes tells whether the file names a process that started after this one.
func successorServes(path string, me servingRecord) bool {
	text, err := os.ReadFile(path)
	if err != nil {
		return false
	}
	var other servingRecord
	if json.Unmarshal(text, &other) != nil {
		return false
	}
	return other.PID != me.PID && other.Since > me.Since
}

// awaitSuccessor calls handover once a successor has announced itself, or returns when ctx ends.
func awaitSuccessor(ctx context.Context, path string, me servingRecord, handover func()) {
	tick := time.NewTicker(successorPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if successorServes(path, me) {
				handover()
				return
			}
		}
	}
}
