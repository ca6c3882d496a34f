package hollow

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"time"
)

const (
	checkpointDigits = 16
	progressDigits   = 8
)

// checkpointText encodes the progress in milliseconds and a hash of the group.
func checkpointText(group string, progress time.Duration) string {
	return fmt.Sprintf("%08x%08x", progress.Milliseconds(), groupHash(group))
}

// checkpointProgress decodes a text of checkpointText. It reports false if the text is malformed or belongs to another group.
func checkpointProgress(group, text string) (time.Duration, bool) {
	if len(text) != checkpointDigits {
		return 0, false
	}
	milliseconds, err := strconv.ParseUint(text[:progressDigits], 16, 32)
	if err != nil {
		return 0, false
	}
	hash, err := strconv.ParseUint(text[progressDigits:], 16, 32)
	if err != nil || uint32(hash) != groupHash(group) {
		return 0, false
	}
	return time.Duration(milliseconds) * time.Millisecond, true
}

func groupHash(group string) uint32 {
	hash := fnv.New32a()
	hash.Write([]byte(group))
	return hash.Sum32()
}
