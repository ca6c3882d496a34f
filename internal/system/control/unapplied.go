package control

import (
	"gaugeslip/coord/chain"
	"gaugeslip/internal/system/state"
)

// mostUnapplied is how many jobs are kept until those that are applied are forgotten, or all.
const mostUnapplied = 4096

// unapplied tells which entries of one view, held here and maybe not applied yet, may change a job. What is applied meanwhile may stand
// among them: its index is reached already.
type unapplied struct {
	seen uint64                 // the last index that was looked at
	jobs map[state.JobID]uint64 // the last index that may change each
	any  uint64                 // the last index that may change any job
}

// look takes in the entries that follow those seen.
func (u *unapplied) look(entries []chain.Entry) {
	if u.jobs == nil || len(u.jobs) > mostUnapplied {
		u.jobs, u.any = map[state.JobID]uint64{}, max(u.any, u.seen)
	}
	for _, entry := range entries {
		u.seen = entry.Index
		command, err := state.Decode(entry.Data)
		if err != nil {
			continue // it changes nothing
		}
		if command.AffectedJobs(func(id state.JobID) { u.jobs[id] = entry.Index }) {
			u.any = entry.Index
		}
	}
}

// lastOf is the last index seen that may change a job, 0 if none may.
func (u *unapplied) lastOf(id state.JobID) uint64 { return max(u.any, u.jobs[id]) }
