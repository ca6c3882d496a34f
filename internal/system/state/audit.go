package state

import (
	"encoding/binary"
	"hash/crc64"
	"math/bits"
)

const (
	// AuditInterval is after how many entries of the chain a digest is taken.
	AuditInterval = 64
	// AuditFormat stands for what goes into a digest and how. It has to be raised with any change of that, so that replicas of two versions
	// don't compare what can't be the same.
	AuditFormat = 1
	// auditJobs is about how many jobs a digest looks at, so that it costs the same in a large state as in a small one.
	auditJobs = 128
)

// Audit sums up what entries come to, so that replicas can compare. Digests are taken after each AuditInterval entries, over those entries, the
// outcome of each, and a part of the state after the last; as many digests in a row as there are parts cover the whole state. It belongs
// to one goroutine.
type Audit struct {
	next uint64 // the index that follows
	sum  uint64 // over the entries since the last multiple of AuditInterval
	gap  bool   // not all of those were seen
}

// NewAudit follows a state after all entries up to an index.
func NewAudit(index uint64) *Audit {
	return &Audit{next: index + 1, gap: index%AuditInterval != 0}
}

// RecordEntry takes in the next entry and what it came to; an empty entry has no result. It gives the digest where one is due; none is given
// for a run of entries of which not all were seen.
func (a *Audit) RecordEntry(index uint64, data []byte, result *Result, machine *Machine) (digest uint64, due bool) {
	a.gap = a.gap || index != a.next
	a.next = index + 1
	a.add(crc64.Checksum(data, sumTable))
	if result != nil {
		a.outcome(result)
	}
	if index%AuditInterval != 0 {
		return 0, false
	}
	digest, due = mix(a.sum^machine.digest(index/AuditInterval)), !a.gap
	a.sum, a.gap = 0, false
	return digest, due
}

// outcome adds what a command changed.
func (a *Audit) outcome(result *Result) {
	a.add(uint64(result.Outcome))
	a.add(uint64(len(result.Started))<<32 | uint64(len(result.Finished)))
	if len(result.Jobs) != 1 { // several may come in any order, and more than once
		return
	}
	job := result.Jobs[0]
	a.add(uint64(job.ID))
	a.add(uint64(job.State)<<32 | uint64(job.Runs))
}

func (a *Audit) add(value uint64) { a.sum = mix(a.sum ^ value) }

// mix spreads each bit of a value over all others (the finish of MurmurHash3).
func mix(v uint64) uint64 {
	v += 0x9e3779b97f4a7c15
	v ^= v >> 33
	v *= 0xff51afd7ed558ccd
	v ^= v >> 33
	v *= 0xc4ceb9fe1a85ec53
	return v ^ v>>33
}

// digest sums up the configuration, the counts and one part of jobs and workers, in whatever order they come: at each turn the next part.
func (m *Machine) digest(turn uint64) uint64 {
	parts := uint64(1) << bits.Len(uint(len(m.jobs)/auditJobs))
	part := turn % parts
	w := &writer{}
	sum := m.digestConfig(w)
	for id, job := range m.jobs {
		if mix(uint64(id))%parts == part {
			w.data = w.data[:0]
			w.job(job)
			w.string(job.Tenant)
			w.uint(uint64(job.Runs))
			sum += mix(crc64.Checksum(w.data, sumTable))
		}
	}
	for instance, worker := range m.workers {
		if named := crc64.Checksum([]byte(instance), sumTable); named%parts == part {
			sum += mix(named ^ mix(worker.LastSeen) ^ mix(uint64(len(worker.Runs))))
		}
	}
	return sum
}

// digestConfig sums up what there is once: the configuration, those before it, and how many jobs wait.
func (m *Machine) digestConfig(w *writer) uint64 {
	w.uint(m.config.Version)
	w.fixed(checksum(m.config.Body))
	for _, before := range m.history {
		w.uint(before.version)
		w.fixed(before.sum)
	}
	w.uint(uint64(len(m.jobs)))
	w.uint(uint64(len(m.workers)))
	sum := mix(crc64.Checksum(w.data, sumTable))
	for route, count := range m.pending {
		named := binary.LittleEndian.AppendUint64([]byte(route), uint64(count))
		sum += mix(crc64.Checksum(named, sumTable))
	}
	return sum
}
