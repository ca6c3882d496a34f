package lab

import (
	"time"

	"gaugeslip/internal/dispatch"
)

// clientJob is what a client wants done; it may take some tries.
type clientJob struct {
	key         uint64 // of what it concerns
	class, room int
	size, hint  time.Duration
	requestedAt time.Duration
	tries       int
	finished    bool
	worth       float64
	wait        *dispatch.Wait // nil: it is fresh
	lastSentAt  time.Duration  // its last send
	completed   bool           // to its end, somewhere
}

// try is one request of a client.
type try struct {
	id          uint64
	job         *clientJob
	node        int
	incarnation int
	deadline    time.Duration
	answered    bool
}

// send is one upstream request.
type send struct {
	id          uint64
	key         dispatch.Key
	try         *try
	node        int
	incarnation int
	host        int
	ended       bool // its dispatcher has heard its outcome
	lost        bool // it does not reach its host, or nothing comes back
}

// node is one dispatcher.
type node struct {
	chain               *dispatch.Chain
	incarnation         int  // rises with each start
	up, receivesClients bool // it runs; the front sends clients there
	stopping            time.Duration
	openTries           map[uint64]*try
	inbox               []dispatch.Message
	dirty               bool
	wakeAt              time.Duration
	watching            bool
	room                int
	knownHosts          []dispatch.Host // as it last had it
	idleConns           []uint16        // connections by host
	steps               int
}

type tally struct{ asked, inTime float64 }

type classTally struct {
	tally
	jobs, served int
}
