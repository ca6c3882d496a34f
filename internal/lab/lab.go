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
	probeTimeout = 500 * time.Millisecond
	probeWork    = 75 * time.Microsecond
	shakeWork    = time.Millisecond
	failFast     = 10 * time.Millisecond // until a host fails a job that it fails at once
	served       = 700 * time.Millisecond
	killAfter    = 3700 * time.Millisecond // of SIGTERM
	startsIn     = 100 * time.Millisecond
	noticeLeast  = 1700 * time.Millisecond // until the front notices that a dispatcher is gone
	noticeMost   = 3900 * time.Millisecond
	dealtAfter   = 1400 * time.Millisecond // of its start a dispatcher is dealt out again
	window       = 5 * time.Second         // of the report
)

// Lab is one run of a scenario.
type Lab struct {
	sc     *Scenario
	seed   uint64
	now    time.Duration
	cal    calendar
	nodes  []*node
	hosts  []*fleet.Host
	byAdr  map[string]int
	list   []dispatch.Host
	seq    uint64 // the list's version
	wake   []time.Duration
	dirty  []int
	sends  map[uint64]*send
	next   uint64
	orders uint64
	lost   float64 // share of sends that are lost on the way; troubles set it
	reset  float64 // share that is reset
	heavy  map[int]Trouble
	hit    [][]int // by trouble, the hosts that it meets
	late   time.Duration
	down   bool      // the list's service is
	surge  float64   // of the load, against the scenario's
	secs   []tally   // by the second in which it was asked for
	rooms  [][]tally // likewise, by the room of who asked
	cut    []int     // by room: the troubles that leave it no way to others
	deaf   []int     // by room: those that leave it no way to discovery

	arrivals, sizes, chance *rand.Rand
	hints                   distuv.LogNormal
	check                   *check.Checker
	digest                  *xxhash.Digest
	record                  [32]byte
	rep                     Report
	work                    Work // in seconds
	cls                     []classTally
	events                  uint64
	wall                    time.Duration
	ideal                   []lane // not nil: no dispatcher decides
}

// delay is one way between rooms.
func (l *Lab) delay(a, b int) time.Duration {
	if a == b {
		return l.sc.delay / 10
	}
	return l.sc.delay
}

// apart tells whether two rooms have no way to one another.
func (l *Lab) apart(a, b int) bool { return a != b && l.cut[a]+l.cut[b] > 0 }
