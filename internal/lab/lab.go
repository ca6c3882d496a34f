package lab

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"gonum.org/v1/gonum/stat/distuv"

	"gaugeslip/internal/check"
	"gaugeslip/internal/dispatch"
	"gaugeslip/internal/fleet"
)

// epoch is the lab's start on the dispatchers' clock, which is Unix time.
const epoch = 1_700_000_000 * time.Second

const (
	probeTimeout   = 500 * time.Millisecond
	probeWork      = 75 * time.Microsecond
	handshakeWork  = time.Millisecond
	failDelay      = 10 * time.Millisecond // until a host fails a job that it fails at once
	served         = 700 * time.Millisecond
	killDelay      = 3700 * time.Millisecond // of SIGTERM
	startDelay     = 100 * time.Millisecond
	minNoticeDelay = 1700 * time.Millisecond // until the front notices that a dispatcher is gone
	maxNoticeDelay = 3900 * time.Millisecond
	readyDelay     = 1400 * time.Millisecond // of its start a dispatcher is dealt out again
	reportWindow   = 5 * time.Second         // of the report
)

// Lab is one run of a scenario.
type Lab struct {
	scenario              *Scenario
	seed                  uint64
	now                   time.Duration
	queue                 eventQueue
	nodes                 []*node
	hosts                 []*fleet.Host
	hostByAddr            map[string]int
	hostList              []dispatch.Host
	listVersion           uint64 // the list's version
	hostWake              []time.Duration
	dirty                 []int
	sends                 map[uint64]*send
	lastTry               uint64
	lastJob               uint64
	lossProbability       float64 // share of sends that are lost on the way; troubles set it
	resetProbability      float64 // share that is reset
	heavy                 map[int]Trouble
	affectedHosts         [][]int // by trouble, the hosts that it meets
	listDelay             time.Duration
	listDown              bool      // the list's service is
	surge                 float64   // of the load, against the scenario's
	perSecond             []tally   // by the second in which it was asked for
	perRoom               [][]tally // likewise, by the room of who asked
	isolatedRooms         []int     // by room: the troubles that leave it no way to others
	roomsWithoutDiscovery []int     // by room: those that leave it no way to discovery

	arrivals, sizes, chance *rand.Rand
	hints                   distuv.LogNormal
	checker                 *check.Checker
	digest                  *xxhash.Digest
	record                  [32]byte
	report                  Report
	work                    Work // in seconds
	classTallies            []classTally
	events                  uint64
	wall                    time.Duration
	ideal                   []lane // not nil: no dispatcher decides
}

// delay is one way between rooms.
func (l *Lab) delay(a, b int) time.Duration {
	if a == b {
		return l.scenario.delay / 10
	}
	return l.scenario.delay
}

// disconnected tells whether two rooms have no way to one another.
func (l *Lab) disconnected(a, b int) bool { return a != b && l.isolatedRooms[a]+l.isolatedRooms[b] > 0 }
