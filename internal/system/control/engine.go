package control

import (
	"fmt"
	"time"

	"gaugeslip/coord/chain"
	"gaugeslip/coord/replica"
	"gaugeslip/coord/view"
	"gaugeslip/coord/wal"
	"gaugeslip/internal/system/invariant"
	"gaugeslip/internal/system/state"
)

// engineOptions configure an engine. Its callbacks run on the node's loop.
type engineOptions struct {
	config  replica.Config
	log     *wal.Log
	records []wal.Record
	now     func() time.Duration
	post    func(func())
	// postDeferred posts work that is one of many parts, after a pause that lets other goroutines run.
	postDeferred func(func())
	send         func(to string, message *replica.Message)
	applied      func(state.Result)
	// caughtUp is called after a backlog of the given number of entries has been applied.
	caughtUp func(entries int, took time.Duration)
	// committed receives the time from the append of a command of this replica to its commit.
	committed         func(took time.Duration)
	snapshotInstalled func() // a snapshot has replaced the state
	event             func(replica.Event)
	logRewritten      func(bytes int64, took time.Duration) // the log was compacted
	diskFailed        func(error)                           // a write to the disk failed
	fatal             func(error)                           // an invariant is violated: the process must exit before it does harm
	// invariants are the ones that are counted and do not end the process.
	invariants *invariant.Set
}

// engine drives one replica core. It writes the core's records to disk, sends its messages to peers and applies its committed entries to
// the state machine. All methods run on the node's loop.
type engine struct {
	options        engineOptions
	replica        *replica.Replica
	machine        *state.Machine
	disk           *disk
	appliedIndex   uint64
	restoredCommit uint64 // last committed index that the disk recorded when the engine started
	audit          *state.Audit
	backlog        backlog
	digests        []view.Digest // not yet passed to the core
	queue          []*proposal
	inFlight       map[uint64]*proposal
	pendingReads   []pendingRead
	unapplied      unapplied
	headContactAt  time.Duration // last message from the head, or last time this replica held the lease
	wakeAt         time.Duration
	closed         bool
	rewriting      bool
	pendingCapture pendingCapture
	compactAt      int64
}

// newEngine creates an engine from the records on the disk. Call start to run it.
func newEngine(options engineOptions) (*engine, error) {
	persisted, err := restoreRecords(options.records)
	if err != nil {
		return nil, err
	}
	options.records = nil
	e := &engine{options: options, machine: state.New(), disk: newDisk(options.log), inFlight: map[uint64]*proposal{},
		compactAt: jitterThreshold(minCompactionSize, options.config.Seed), restoredCommit: persisted.Committed}
	if persisted.Snapshot != nil {
		if err := e.machine.Restore(persisted.Snapshot.Data); err != nil {
			return nil, err
		}
		e.appliedIndex = persisted.Snapshot.Index
	}
	e.audit = state.NewAudit(e.appliedIndex)
	e.replica = replica.New(options.config, persisted, options.now())
	e.headContactAt = options.now()
	return e, nil
}

// start starts the engine, which calls its callbacks from here on.
func (e *engine) start() {
	go e.disk.run()
	e.step(replica.Tick{})
}

func restoreRecords(records []wal.Record) (replica.Persisted, error) {
	converted := make([]replica.Record, len(records))
	for i, record := range records {
		converted[i] = replica.Record{Kind: record.Kind, Data: record.Data}
	}
	return replica.Restore(converted)
}

// step passes one input to the core and carries out the output.
func (e *engine) step(input replica.Input) {
	if e.closed {
		return
	}
	e.handleOutput(e.replica.Step(e.options.now(), input))
	e.recordHeadContact(input)
}

// handleOutput carries out the core's output. After a fault it carries out nothing. If a snapshot cannot be decoded, nothing is stored
// either, so that the disk stays as it was.
func (e *engine) handleOutput(output replica.Output) {
	if output.Fault != nil {
		e.options.fatal(output.Fault)
		return
	}
	if output.Install != nil && !e.installSnapshot(output.Install) {
		return
	}
	for _, envelope := range output.Send {
		e.options.send(envelope.To, envelope.Message)
	}
	if len(output.Persist) > 0 {
		e.persist(output.Persist, output.Token)
	}
	e.applyCommitted(output.Committed)
	e.answerReadyReads()
	for _, event := range output.Events {
		e.forwardEvent(event)
	}
	e.wakeAt = output.Wake
	if output.NeedSnapshot {
		e.startCapture(captureForLearners)
	}
	e.reportDigests()
}

func (e *engine) persist(records []replica.Record, token uint64) {
	e.disk.submit(diskJob{records: toWALRecords(records), done: func(err error) {
		e.options.post(func() { e.persisted(token, err) })
	}})
}

func toWALRecords(records []replica.Record) []wal.Record {
	converted := make([]wal.Record, len(records))
	for i, record := range records {
		converted[i] = wal.Record{Kind: record.Kind, Data: record.Data}
	}
	return converted
}

func (e *engine) persisted(token uint64, err error) {
	if e.closed {
		return
	}
	if err != nil {
		e.options.diskFailed(err)
		return
	}
	e.step(replica.Synced{Token: token})
	e.compactIfDue()
}

// installSnapshot replaces the state by a snapshot and reports whether the snapshot could be decoded. Proposals at indexes that the
// snapshot covers become in doubt.
func (e *engine) installSnapshot(snapshot *chain.Snapshot) bool {
	if err := e.machine.Restore(snapshot.Data); err != nil {
		e.options.diskFailed(fmt.Errorf("snapshot at %d: %w", snapshot.Index, err))
		return false
	}
	e.appliedIndex = snapshot.Index
	e.backlog.drop()
	e.dropCapture()
	e.audit = state.NewAudit(e.appliedIndex)
	for index, pending := range e.inFlight {
		if index <= snapshot.Index {
			delete(e.inFlight, index)
			pending.done(state.Result{}, statusInDoubt)
		}
	}
	e.options.snapshotInstalled()
	return true
}

// isHead reports whether this replica may act as the head now.
func (e *engine) isHead() bool { return !e.closed && e.replica.IsHead(e.options.now()) }

// view returns the newest view known here.
func (e *engine) view() view.View { return e.replica.View() }

// close ends the engine. Appended proposals become in doubt, those never appended are rejected.
func (e *engine) close() {
	if e.closed {
		return
	}
	e.closed = true
	e.backlog.drop()
	e.disk.stop()
	e.rejectQueued()
	e.rejectReads()
	for index, pending := range e.inFlight {
		delete(e.inFlight, index)
		pending.done(state.Result{}, statusInDoubt)
	}
}
