package chain

import (
	"slices"
	"sort"
)

// Entry is one entry of the log. Index counts from 1; Epoch is the epoch of the view in which a head appended it. If two
// logs hold entries with the same Index and Epoch, these entries are the same, and so are all entries before them.
type Entry struct {
	Index uint64
	Epoch uint64
	Data  []byte
}

// entryOverhead is the size in bytes that an entry counts for in addition to its data.
const entryOverhead = 48

func (e Entry) size() int { return len(e.Data) + entryOverhead }

// Run is a range of consecutive entries of a log that have one epoch.
type Run struct{ Epoch, First, Last uint64 }

// Log is the part of the log held in memory: all entries after Base. Epochs never decrease along the log.
type Log struct {
	base      uint64
	baseEpoch uint64
	entries   []Entry
	bytes     int
}

// Base returns the index before the first entry held. The entries up to it are covered by a snapshot or applied to a state machine.
func (l *Log) Base() uint64 { return l.base }

// Last returns the index of the last entry, or Base if no entry is held.
func (l *Log) Last() uint64 { return l.base + uint64(len(l.entries)) }

// LastEpoch returns the epoch of the entry at Last.
func (l *Log) LastEpoch() uint64 {
	epoch, _ := l.EpochAt(l.Last())
	return epoch
}

// EpochAt returns the epoch of the entry at index. It reports false if index is not between Base and Last.
func (l *Log) EpochAt(index uint64) (uint64, bool) {
	if index == l.base {
		return l.baseEpoch, true
	}
	if index < l.base || index > l.Last() {
		return 0, false
	}
	return l.entries[index-l.base-1].Epoch, true
}

// Append adds an entry after the last one.
func (l *Log) Append(e Entry) {
	l.entries = append(l.entries, e)
	l.bytes += e.size()
}

// Truncate removes all entries after index.
func (l *Log) Truncate(index uint64) {
	if index >= l.Last() {
		return
	}
	keep := int(max(index, l.base) - l.base)
	for i := keep; i < len(l.entries); i++ {
		l.bytes -= l.entries[i].size()
	}
	l.entries = slices.Clone(l.entries[:keep]) // a later Append must not overwrite slices that Slice has returned
}

// Reset empties the log and makes index and epoch its base.
func (l *Log) Reset(index, epoch uint64) { *l = Log{base: index, baseEpoch: epoch} }

// Drop removes the entries up to index, which becomes the base. It does nothing if index is not held.
func (l *Log) Drop(index uint64) {
	if index <= l.base || index > l.Last() {
		return
	}
	n := int(index - l.base)
	l.baseEpoch = l.entries[n-1].Epoch
	for i := range n {
		l.bytes -= l.entries[i].size()
	}
	l.entries = slices.Clone(l.entries[n:])
	l.base = index
}

// Slice returns the entries starting at index from, up to maxBytes but at least one if there is one, and their size in bytes.
// The caller must not modify them.
func (l *Log) Slice(from uint64, maxBytes int) (entries []Entry, bytes int) {
	if from <= l.base || from > l.Last() {
		return nil, 0
	}
	start := int(from - l.base - 1)
	end := start
	for end < len(l.entries) {
		size := l.entries[end].size()
		if end > start && bytes+size > maxBytes {
			break
		}
		bytes += size
		end++
	}
	return l.entries[start:end:end], bytes
}

// Runs returns the epochs of the base and of all entries held, as consecutive runs.
func (l *Log) Runs() []Run {
	runs := []Run{{Epoch: l.baseEpoch, First: l.base, Last: l.base}}
	for at := 0; at < len(l.entries); {
		epoch := l.entries[at].Epoch
		rest := l.entries[at:]
		n := sort.Search(len(rest), func(i int) bool { return rest[i].Epoch > epoch })
		first, last := rest[0].Index, rest[n-1].Index
		if before := &runs[len(runs)-1]; before.Epoch == epoch {
			before.Last = last
		} else {
			runs = append(runs, Run{Epoch: epoch, First: first, Last: last})
		}
		at += n
	}
	return runs
}

// Match returns the highest index up to which this log and the log with the given runs are known to be the same. It reports false if
// there is no such index.
func (l *Log) Match(runs []Run) (uint64, bool) {
	var match uint64
	found := false
	for _, mine := range l.Runs() {
		for _, theirs := range runs {
			if mine.Epoch != theirs.Epoch {
				continue
			}
			first, last := max(mine.First, theirs.First), min(mine.Last, theirs.Last)
			if first <= last && (!found || last > match) {
				match, found = last, true
			}
		}
	}
	return match, found
}
