package state

import (
	"encoding/binary"
	"hash/crc64"
	"math/bits"
)

const (
	// AuditInterval is the number of chain entries from one digest to the next.
	AuditInterval = 64
	// AuditFormat is the version of the digest's definition. It must be raised whenever the content or the computation of a digest changes,
	// so that replicas of different versions don't compare digests that can't be equal.
	AuditFormat = 2
	// jobsPerDigest is about the number of jobs that one digest covers, so that its cost doesn't grow with the state.
	jobsPerDigest = 128
)

// Audit computes digests of the applied entries and of the state, so that replicas can compare them. A digest is due after every
// AuditInterval entries. It covers these entries, the outcome of each, and one part of the state after the last of them. As many consecutive
// digests as there are parts cover the whole state. An Audit must be used by one goroutine only.
type Audit struct {
	nextIndex  uint64 // index of the next entry
	sum        uint64 // digest of the entries since the last multiple of AuditInterval
	incomplete bool   // some of those entries were not seen
}

// NewAudit returns the audit of a state that holds all entries up to index.
func NewAudit(index uint64) *Audit {
	return &Audit{nextIndex: index + 1, incomplete: index%AuditInterval != 0}
}

// RecordEntry adds an applied entry and its result; result is nil for an empty entry. due is true if a digest is due after this entry.
// There is no digest for an interval of which some entries were not seen.
func (a *Audit) RecordEntry(index uint64, data []byte, result *Result, machine *Machine) (digest uint64, due bool) {
	a.incomplete = a.incomplete || index != a.nextIndex
	a.nextIndex = index + 1
	a.add(crc64.Checksum(data, crcTable))
	if result != nil {
		a.addResult(result)
	}
	if index%AuditInterval != 0 {
		return 0, false
	}
	digest, due = mix(a.sum^machine.digest(index/AuditInterval)), !a.incomplete
	a.sum, a.incomplete = 0, false
	return digest, due
}

// addResult adds the effect of a command.
func (a *Audit) addResult(result *Result) {
	a.add(uint64(result.Outcome))
	a.add(uint64(len(result.Started))<<32 | uint64(len(result.Finished)))
	if len(result.Jobs) != 1 { // the order of several jobs isn't defined, and one may occur more than once
		return
	}
	job := result.Jobs[0]
	a.add(uint64(job.ID))
	a.add(uint64(job.State)<<32 | uint64(job.Runs))
}

func (a *Audit) add(value uint64) { a.sum = mix(a.sum ^ value) }

// mix spreads each bit of a value over all others (the finalizer of MurmurHash3).
func mix(v uint64) uint64 {
	v += 0x9e3779b97f4a7c15
	v ^= v >> 33
	v *= 0xff51afd7ed558ccd
	v ^= v >> 33
	v *= 0xc4ceb9fe1a85ec53
	return v ^ v>>33
}

// digest returns a digest of the configuration, the counts, and one part of the jobs and workers; turn selects the part. Map order doesn't
// matter, since the sums of the elements are added.
func (m *Machine) digest(turn uint64) uint64 {
	parts := uint64(1) << bits.Len(uint(len(m.jobs)/jobsPerDigest))
	part := turn % parts
	w := &writer{}
	sum := m.digestGlobals(w)
	for id, job := range m.jobs {
		if mix(uint64(id))%parts == part {
			w.data = w.data[:0]
			w.job(job)
			w.string(job.Tenant)
			w.uint(uint64(job.Runs))
			sum += mix(crc64.Checksum(w.data, crcTable))
		}
	}
	for instance, worker := range m.workers {
		if nameSum := crc64.Checksum([]byte(instance), crcTable); nameSum%parts == part {
			sum += mix(nameSum ^ mix(worker.LastSeen) ^ mix(uint64(len(worker.Runs))))
		}
	}
	return sum
}

// digestGlobals returns a digest of the configuration, its history, and the numbers of jobs, workers and unfinished jobs by route.
func (m *Machine) digestGlobals(w *writer) uint64 {
	w.uint(m.config.Version)
	w.fixed(checksum(m.config.Body))
	for _, past := range m.history {
		w.uint(past.version)
		w.fixed(past.sum)
	}
	w.uint(uint64(len(m.jobs)))
	w.uint(uint64(len(m.workers)))
	sum := mix(crc64.Checksum(w.data, crcTable))
	for route, count := range m.pending {
		encoded := binary.LittleEndian.AppendUint64([]byte(route), uint64(count))
		sum += mix(crc64.Checksum(encoded, crcTable))
	}
	return sum
}
