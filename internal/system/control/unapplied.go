package control

import (
	"gaugeslip/coord/chain"
	"gaugeslip/internal/system/state"
)

// maxUnappliedJobs is how many jobs are kept until those that are applied are forgotten, or all.
const maxUnappliedJobs = 4096

// unapplied tells which entries of one view, held here and maybe not applied yet, may change a job. What is applied meanwhile may stand
// among them: its index is reached already.
type unapplied struct {
	scannedTo uint64                 // the last index that was looked at
	lastByJob map[state.JobID]uint64 // the last index that may change each
	anyJob    uint64                 // the last index that may change any job
}

// scan takes in the entries that follow those seen.
func (u *unapplied) scan(entries []chain.Entry) {
	if u.lastByJob == nil || len(u.lastByJob) > maxUnappliedJobs {
		u.lastByJob, u.anyJob = map[state.JobID]uint64{}, max(u.anyJob, u.scannedTo)
	}
	for _, entry := range entries {
		u.scannedTo = entry.Index
		command, err := state.Decode(entry.Data)
		if err != nil {
			continue // it changes nothing
		}
		if command.AffectedJobs(func(id state.JobID) { u.lastByJob[id] = entry.Index }) {
			u.anyJob = entry.Index
		}
	}
}

// lastChange is the last index seen that may change a job, 0 if none may.
func (u *unapplied) lastChange(id state.JobID) uint64 { return max(u.anyJob, u.lastByJob[id]) }
