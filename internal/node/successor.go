package node

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"gaugeslip/internal/net/operators"
)

// On a socket that the platform holds, a new process of the same dispatcher accepts beside the old one. A process that
// serves announces itself in a file in $TMPDIR, which both share. When the old process finds a newer one there, it hands
// over: it accepts no more connections and answers its open requests. It starts this before its SIGTERM, so that long
// jobs are not cut off by the SIGKILL that follows.

// successorPollInterval is how often the old process checks for a successor.
const successorPollInterval = 100 * time.Millisecond

// servingRecord is the content of the file.
type servingRecord struct {
	PID   int   `json:"pid"`
	Since int64 `json:"since"` // start of the process, Unix nanoseconds
}

// servingFile is the path of the file in which the processes of a dispatcher announce that they serve.
func servingFile(dir, name string) string { return operators.StateFilePath(dir, name, "serving") }

// announce records that this process serves now.
func announce(path string, me servingRecord) error {
	text, _ := json.Marshal(me)
	if err := operators.WriteFileAtomically(path, text, false); err != nil {
		return fmt.Errorf("serving: %w", err)
	}
	return nil
}

// successorServes reports whether the file names a process that started after this one.
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

// awaitSuccessor calls handover once a successor has announced itself. It returns after that or when ctx ends.
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
