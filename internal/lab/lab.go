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
	failDelay      = 10 * time.Millisecond // time until a failing host fails a job
	served         = 700 * time.Millisecond
	killDelay      = 3700 * time.Millisecond // from SIGTERM to SIGKILL
	startDelay     = 100 * time.Millisecond
	minNoticeDelay = 1700 * time.Millisecond // minimum time until the load balancer in front notices that a dispatcher is down
	maxNoticeDelay = 3900 * time.Millisecond
	readyDelay     = 1400 * time.Millisecond // time from a dispatcher's start until it receives clients
	reportWindow   = 5 * time.Second         // length of a window in the report
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
	listVersion           uint64 // version of the host list
	hostWake              []time.Duration
	pendingSteps          []int
	sends                 map[uint64]*send
	lastTry               uint64
	lastJob               uint64
	lossProbability       float64 // share of sends that are lost in transit; set by troubles
	resetProbability      float64 // share of sends whose connection is reset
	heavyTroubles         map[int]Trouble
	affectedHosts         [][]int // by trouble: the affected hosts
	listDelay             time.Duration
	listDown              bool      // the discovery service is down
	loadFactor            float64   // load as a multiple of the scenario's
	perSecond             []tally   // by the second of the request
	perRoom               [][]tally // likewise, by the client's room
	isolatedRooms         []int     // by room: number of troubles that cut its links to other rooms
	roomsWithoutDiscovery []int     // by room: number of troubles that cut its link to discovery

	arrivals, sizes, chance *rand.Rand
	hints                   distuv.LogNormal
	checker                 *check.Checker
	digest                  *xxhash.Digest
	record                  [32]byte
	report                  Report
	work                    Work // in seconds
	classTallies            []classTally
	events                  uint64
	wallTime                time.Duration
	idealLanes              []lane // lanes of an ideal run, which has no dispatchers; nil in other runs
}

// delay returns the one-way network delay between two rooms.
func (l *Lab) delay(a, b int) time.Duration {
	if a == b {
		return l.scenario.delay / 10
	}
	return l.scenario.delay
}

// disconnected reports whether the network path between two rooms is cut.
func (l *Lab) disconnected(a, b int) bool { return a != b && l.isolatedRooms[a]+l.isolatedRooms[b] > 0 }
