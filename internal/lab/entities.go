package lab

import (
	"time"

	"gaugeslip/internal/dispatch"
)

// clientJob is a job that a client requests, with one or more tries.
type clientJob struct {
	key         uint64 // key of the job's subject
	class, room int
	size, hint  time.Duration
	requestedAt time.Duration
	tries       int
	finished    bool
	worth       float64
	waiting     *dispatch.Wait // nil: not a waiting job
	lastSentAt  time.Duration  // time of the last send
	completed   bool           // has run to its end on some host
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
	ended       bool // the outcome is recorded
	lost        bool // the send or its result is lost
}

// node is one dispatcher.
type node struct {
	chain               *dispatch.Chain
	incarnation         int  // number of restarts
	up, receivesClients bool // it runs; the front sends clients to it
	stoppingSince       time.Duration
	openTries           map[uint64]*try
	inbox               []dispatch.Message
	stepPending         bool
	wakeAt              time.Duration
	watching            bool
	room                int
	knownHosts          []dispatch.Host // last received host list
	idleConns           []uint16        // idle connections by host
	steps               int
}

type tally struct{ asked, inTime float64 }

type classTally struct {
	tally
	jobs, served int
}
