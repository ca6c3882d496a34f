package wal_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/coord/wal"
	"gaugeslip/coord/wal/simdisk"
)

// possibleContent is a content that a log may be opened with: at least the first durable records, then any prefix of the others.
type possibleContent struct {
	records []string
	durable int
}

func (h possibleContent) allows(found []string) bool {
	if len(found) < h.durable || len(found) > len(h.records) {
		return false
	}
	return slices.Equal(found, h.records[:len(found)])
}

// durabilityTest drives one log through random calls and losses, and keeps track of the contents that may be found afterwards.
type durabilityTest struct {
	t           *testing.T
	seed        uint64
	random      *rand.Rand
	disk        *simdisk.Disk
	log         *wal.Log
	failed      bool
	allowed     []possibleContent
	recordCount int
}

func newDurabilityTest(t *testing.T, seed uint64) *durabilityTest {
	d := &durabilityTest{
		t:       t,
		seed:    seed,
		random:  rand.New(rand.NewPCG(seed, 1)),
		disk:    simdisk.New(seed),
		allowed: []possibleContent{{}},
	}
	d.open()
	return d
}

// current returns the content to which the log appends while it is not failed.
func (d *durabilityTest) current() *possibleContent {
	return &d.allowed[len(d.allowed)-1]
}

func (d *durabilityTest) newRecords(count int) ([]wal.Record, []string) {
	records := make([]wal.Record, count)
	names := make([]string, count)
	for at := range count {
		d.recordCount++
		names[at] = fmt.Sprintf("%d-%0*d", d.recordCount, d.random.IntN(40), 0)
		records[at] = record(names[at])
	}
	return records, names
}

func (d *durabilityTest) append() {
	records, names := d.newRecords(1 + d.random.IntN(3))
	err := d.log.Append(records...)
	if d.failed {
		require.ErrorIs(d.t, err, wal.ErrFailed)
		return
	}
	d.current().records = append(d.current().records, names...)
	d.failed = err != nil
}

func (d *durabilityTest) sync() {
	err := d.log.Sync()
	if d.failed {
		require.ErrorIs(d.t, err, wal.ErrFailed)
		return
	}
	d.failed = err != nil
	if !d.failed {
		d.current().durable = len(d.current().records)
	}
}

func (d *durabilityTest) rewrite() {
	records, names := d.newRecords(d.random.IntN(6))
	if d.random.IntN(2) == 0 {
		kept := d.current().records
		names = append(slices.Clone(kept[len(kept)/2:]), names...)
		records = records[:0]
		for _, name := range names {
			records = append(records, record(name))
		}
	}
	next := possibleContent{records: names, durable: len(names)}
	d.failed = d.log.Rewrite(records) != nil
	if !d.failed {
		d.allowed = []possibleContent{next}
		return
	}
	d.allowed = append(d.allowed, next)
}

func (d *durabilityTest) endProcess() {
	if d.random.IntN(3) == 0 {
		d.disk.Restart()
		return
	}
	d.disk.PowerLoss()
}

// open opens the log, with losses of power during earlier attempts, and checks what it finds.
func (d *durabilityTest) open() {
	for range d.random.IntN(3) {
		d.disk.StopAfter(d.random.IntN(10))
		if _, _, err := wal.Open(d.disk.Process(), "test"); err == nil {
			break
		}
		d.endProcess()
	}
	d.endProcess()
	d.disk.SetCapacity(-1)
	d.disk.SetFaults(simdisk.Faults{})
	log, records, err := wal.Open(d.disk.Process(), "test")
	require.NoError(d.t, err)
	found := recordTexts(records)
	allowsFound := func(h possibleContent) bool { return h.allows(found) }
	require.True(d.t, slices.ContainsFunc(d.allowed, allowsFound), "seed %d: found %v, allowed are %v", d.seed, found, d.allowed)
	d.log = log
	d.failed = false
	d.allowed = []possibleContent{{records: found, durable: len(found)}}
}

// injectFaults sets faults that last until the next open.
func (d *durabilityTest) injectFaults() {
	switch d.random.IntN(6) {
	case 0:
		d.disk.SetFaults(simdisk.Faults{Write: 0.2, Sync: 0.2, Folder: 0.2})
	case 1:
		d.disk.SetCapacity(d.random.IntN(600))
	case 2, 3:
		d.disk.StopAfter(d.random.IntN(30))
	}
}

func (d *durabilityTest) step() {
	switch d.random.IntN(8) {
	case 0, 1, 2, 3:
		d.append()
	case 4, 5:
		d.sync()
	case 6:
		d.rewrite()
	default:
		d.open()
		d.injectFaults()
	}
}

func TestSyncedRecordsSurviveAnyLoss(t *testing.T) {
	const seeds, steps = 1500, 60
	for seed := range uint64(seeds) {
		d := newDurabilityTest(t, seed)
		for range steps {
			d.step()
		}
		d.open()
	}
}

// A killed process that is about to rewrite its log must not change the disk any more, because the next process uses it.
func TestEndedProcessCannotChangeTheDisk(t *testing.T) {
	disk := simdisk.New(1)
	ended, _, err := wal.Open(disk.Process(), "test")
	require.NoError(t, err)
	require.NoError(t, ended.Append(wal.Record{Kind: 1, Data: []byte("old")}))
	require.NoError(t, ended.Sync())
	disk.Restart()
	next, records, err := wal.Open(disk.Process(), "test")
	require.NoError(t, err)
	assert.Error(t, ended.Rewrite(records))
	require.NoError(t, next.Append(wal.Record{Kind: 1, Data: []byte("new")}))
	require.NoError(t, next.Sync())
	disk.Restart()
	_, records, err = wal.Open(disk.Process(), "test")
	require.NoError(t, err)
	assert.Len(t, records, 2)
}
