package lab

import (
	"time"

	"gaugeslip/internal/dispatch"
)

// order is what a client wants done; it may take some tries.
type order struct {
	key         uint64 // of what it concerns
	class, room int
	size, hint  time.Duration
	first       time.Duration
	tries       int
	over        bool
	worth       float64
	wait        *dispatch.Wait // nil: it is fresh
	sent        time.Duration  // its last send
	ran         bool           // to its end, somewhere
}

// try is one request of a client.
type try struct {
	id       uint64
	order    *order
	node     int
	life     int
	deadline time.Duration
	answered bool
}

// send is one upstream request.
type send struct {
	id   uint64
	key  dispatch.Key
	try  *try
	node int
	life int
	host int
	over bool // its dispatcher has heard its outcome
	gone bool // it does not reach its host, or nothing comes back
}

// node is one dispatcher.
type node struct {
	chain     *dispatch.Chain
	life      int  // rises with each start
	up, dealt bool // it runs; the front sends clients there
	stopping  time.Duration
	open      map[uint64]*try
	inbox     []dispatch.Message
	dirty     bool
	wakeAt    time.Duration
	watching  bool
	room      int
	known     []dispatch.Host // as it last had it
	idle      []uint16        // connections by host
	steps     int
}

type tally struct{ asked, inTime float64 }

type classTally struct {
	tally
	jobs, served int
}
