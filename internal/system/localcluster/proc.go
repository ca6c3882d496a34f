package localcluster

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"
)

// ticksPerSecond is the unit of CPU times in /proc. It is 100 on all common Linux machines.
const ticksPerSecond = 100

// Usage is the resource usage of one process, or the sum over several processes.
type Usage struct {
	Processor time.Duration // user and system CPU time
	Waited    time.Duration // time that threads waited for a core
	Resident  int64         // bytes
	Peak      int64         // bytes, largest resident set of any one process
	// Received and Sent are the bytes read and written by system calls, for sockets and files.
	Received, Sent int64
	// Reads and Writes are the numbers of those system calls.
	Reads, Writes int64
	Threads       int
	Files         int // open file descriptors
}

func (u Usage) plus(other Usage) Usage {
	return Usage{
		Processor: u.Processor + other.Processor,
		Waited:    u.Waited + other.Waited,
		Resident:  u.Resident + other.Resident,
		Peak:      max(u.Peak, other.Peak),
		Received:  u.Received + other.Received,
		Sent:      u.Sent + other.Sent,
		Reads:     u.Reads + other.Reads,
		Writes:    u.Writes + other.Writes,
		Threads:   u.Threads + other.Threads,
		Files:     u.Files + other.Files,
	}
}

// since returns the usage since an earlier sample. Fields that do not accumulate over time keep the later value.
func (u Usage) since(earlier Usage) Usage {
	u.Processor -= earlier.Processor
	u.Waited -= earlier.Waited
	u.Received -= earlier.Received
	u.Sent -= earlier.Sent
	u.Reads -= earlier.Reads
	u.Writes -= earlier.Writes
	return u
}

var errMalformed = errors.New("malformed /proc content")

// readUsage reads the usage of a process on this machine from /proc.
func readUsage(pid int) (Usage, error) {
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	var usage Usage
	for _, part := range []struct {
		name  string
		parse func(*Usage, []byte) error
	}{{"stat", parseStat}, {"status", parseStatus}, {"io", parseIO}} {
		content, err := os.ReadFile(filepath.Join(dir, part.name))
		if err != nil {
			return Usage{}, fmt.Errorf("process %d: %w", pid, err)
		}
		if err := part.parse(&usage, content); err != nil {
			return Usage{}, fmt.Errorf("process %d: %s: %w", pid, part.name, err)
		}
	}
	usage.Waited = readRunQueueWait(filepath.Join(dir, "task"))
	files, err := os.ReadDir(filepath.Join(dir, "fd"))
	if err != nil {
		return Usage{}, fmt.Errorf("process %d: %w", pid, err)
	}
	usage.Files = len(files)
	return usage, nil
}

// readRunQueueWait sums up how long all threads of a process have waited for a core. It skips threads that have just ended.
func readRunQueueWait(dir string) (total time.Duration) {
	threads, err := os.ReadDir(dir)
	if err != nil {
		return 0
	}
	for _, thread := range threads {
		content, err := os.ReadFile(filepath.Join(dir, thread.Name(), "schedstat"))
		if err == nil {
			total += parseSchedstat(content)
		}
	}
	return total
}

// parseSchedstat returns the second field of a thread's schedstat: the time in the run queue, in nanoseconds. It returns 0 if the
// kernel does not provide it.
func parseSchedstat(content []byte) time.Duration {
	fields := bytes.Fields(content)
	if len(fields) < 2 {
		return 0
	}
	waited, err := strconv.ParseInt(string(fields[1]), 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(waited)
}

// Fields of /proc/PID/stat, counted from the one after the program's name. The name itself may contain spaces and parentheses.
const (
	statUser   = 11
	statSystem = 12
)

func parseStat(usage *Usage, content []byte) error {
	_, after, found := cutLast(content, ')')
	fields := bytes.Fields(after)
	if !found || len(fields) <= statSystem {
		return errMalformed
	}
	userTicks, err := strconv.ParseInt(string(fields[statUser]), 10, 64)
	if err != nil {
		return fmt.Errorf("%w: %w", errMalformed, err)
	}
	systemTicks, err := strconv.ParseInt(string(fields[statSystem]), 10, 64)
	if err != nil {
		return fmt.Errorf("%w: %w", errMalformed, err)
	}
	usage.Processor = time.Duration(userTicks+systemTicks) * (time.Second / ticksPerSecond)
	return nil
}

func cutLast(text []byte, separator byte) (before, after []byte, found bool) {
	at := bytes.LastIndexByte(text, separator)
	if at < 0 {
		return text, nil, false
	}
	return text[:at], text[at+1:], true
}

const kilobyte = 1 << 10

func parseStatus(usage *Usage, content []byte) error {
	threads := int64(0)
	err := parseLines(content, map[string]*int64{"VmRSS": &usage.Resident, "VmHWM": &usage.Peak, "Threads": &threads})
	usage.Resident *= kilobyte
	usage.Peak *= kilobyte
	usage.Threads = int(threads)
	return err
}

func parseIO(usage *Usage, content []byte) error {
	return parseLines(content, map[string]*int64{"rchar": &usage.Received, "wchar": &usage.Sent, "syscr": &usage.Reads,
		"syscw": &usage.Writes})
}

// parseLines parses lines of the form "name: value unit". Every key of wanted has to be present.
func parseLines(content []byte, wanted map[string]*int64) error {
	missing := len(wanted)
	for line := range bytes.Lines(content) {
		name, rest, _ := bytes.Cut(line, []byte(":"))
		target := wanted[string(name)]
		fields := bytes.Fields(rest)
		if target == nil || len(fields) == 0 {
			continue
		}
		value, err := strconv.ParseInt(string(fields[0]), 10, 64)
		if err != nil {
			return fmt.Errorf("%w: %w", errMalformed, err)
		}
		*target = value
		missing--
	}
	if missing > 0 {
		return errMalformed
	}
	return nil
}
