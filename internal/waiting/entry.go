package waiting

import (
	"time"
)

const (
	maxPredecessors = 16
	maxQueries      = 1024                  // queries that wait for the end of a job at any one time
	maxTickWork     = 2048                  // entries that one Tick handles; the next Tick, due at once, handles the rest
	answerMargin    = 20 * time.Millisecond // an attached job is answered this long before its client gives up
	maxWaitFactor   = 2                     // a ready job that was not sent within this multiple of its due time is refused
)

// Flags of an entry.
const (
	attached   uint16 = 1 << iota // its client waits on its connection
	fresh                         // it did not ask to wait and was passed on at once
	indexed                       // its name is in byName
	mayHaveRun                    // one of its sends may have run
	rejected                      // a host rejected it for good
	unsent                        // released, but not sent in this turn
	clientGone                    // its client has left, but a send is still out
	accepted                      // acknowledged to the client; it no longer depends on its connection
	resultShed                    // there was a result, but it was dropped for lack of space
)

// entry is a known job. Entries are referred to by their index in entries.
type entry struct {
	name, result               string
	clientJobs                 *clientJobs // nil: it counts for no client
	number                     uint64
	arrived, deadline, size    time.Duration // deadline 0: none
	ready                      time.Duration // when it became ready; until then its set time
	entered, sent              time.Duration // start of its last turn, or its end once it is final; its last send
	dependants, next           uint32        // first edge to a dependant; next kept entry, or next free one
	bodyBytes, dueMS           uint32        // size of its body; how long it may wait once it is ready
	class, tenant, slots       int16
	attempts, sendsOut, status uint16
	unmetPreds                 uint8 // predecessors that have not ended
	state                      State
	flags                      uint16
}

func (e *entry) due() time.Duration { return time.Duration(e.dueMS) * time.Millisecond }

func (e *entry) has(f uint16) bool { return e.flags&f != 0 }

// edge records that a job waits for the job whose list holds the edge.
type edge struct {
	dependant uint32
	number    uint64 // job number of the dependant, since its entry may have been reused
	next      uint32
}
