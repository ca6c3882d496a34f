package control

import (
	"gaugeslip/coord/chain"
	"gaugeslip/internal/system/state"
)

// maxUnappliedJobs is the number of jobs above which the recorded jobs are dropped and replaced by the conservative anyJob.
const maxUnappliedJobs = 4096

// unapplied records which entries of one view, held here and possibly not applied yet, may change a job. It may also contain entries that
// are applied by now, for which reads do not wait.
type unapplied struct {
	scannedTo uint64                 // last scanned index
	lastByJob map[state.JobID]uint64 // last index that may change each job
	anyJob    uint64                 // last index that may change any job
}

// scan records the entries that follow those already scanned.
func (u *unapplied) scan(entries []chain.Entry) {
	if u.lastByJob == nil || len(u.lastByJob) > maxUnappliedJobs {
		u.lastByJob, u.anyJob = map[state.JobID]uint64{}, max(u.anyJob, u.scannedTo)
	}
	for _, entry := range entries {
		u.scannedTo = entry.Index
		command, err := state.Decode(entry.Data)
		if err != nil {
			continue // an invalid command changes nothing
		}
		if command.AffectedJobs(func(id state.JobID) { u.lastByJob[id] = entry.Index }) {
			u.anyJob = entry.Index
		}
	}
}

// lastChange returns the last scanned index that may change a job, 0 if none may.
func (u *unapplied) lastChange(id state.JobID) uint64 { return max(u.anyJob, u.lastByJob[id]) }
