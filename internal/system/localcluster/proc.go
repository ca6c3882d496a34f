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

// ticksPerSecond is the unit of processor time in /proc, the same on all of Linux's usual machines.
const ticksPerSecond = 100

// Usage is what one process, or several, have used so far.
type Usage struct {
	Processor time.Duration // user and system
	Waited    time.Duration // of its threads, for a core
	Resident  int64         // bytes
	Peak      int64         // bytes, the most that was resident of one process
	// Received and Sent are all bytes read and written by system calls: sockets and files.
	Received, Sent int64
	// Reads and Writes are those system calls.
	Reads, Writes int64
	Threads       int
	Files         int // open descriptors
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

// since is what was used since an earlier look; what doesn't add up over time stays as it is.
func (u Usage) since(earlier Usage) Usage {
	u.Processor -= earlier.Processor
	u.Waited -= earlier.Waited
	u.Received -= earlier.Received
	u.Sent -= earlier.Sent
	u.Reads -= earlier.Reads
	u.Writes -= earlier.Writes
	return u
}

var errMalformed = errors.New("not in the form of /proc")

// readUsage looks at a process of this machine.
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

// readRunQueueWait sums up how long all threads have waited for a core; it leaves out threads that have just ended.
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

// parseSchedstat reads the second figure of a thread's schedstat, nanoseconds in the queue for a core; 0 where the kernel keeps none.
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

// The fields of /proc/PID/stat, counted from the one behind the program's name, which may hold spaces and brackets.
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

// parseLines reads lines of the form "name: figure unit"; every name that is wanted has to be there.
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
