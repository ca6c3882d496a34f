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

// engineOptions are what an engine is made of; its callbacks run on the node's loop.
type engineOptions struct {
	config  replica.Config
	log     *wal.Log
	records []wal.Record
	now     func() time.Duration
	post    func(func())
	// yield is post for work that goes on for long: goroutines that wait for the processor go before it.
	yield   func(func())
	send    func(to string, message *replica.Message)
	applied func(state.Result)
	// caughtUp is told that a backlog of so many entries has been applied.
	caughtUp func(entries int, took time.Duration)
	// committed is told how long an own command took from its append to its commit.
	committed func(took time.Duration)
	installed func() // a snapshot took the place of the state
	event     func(replica.Event)
	rewritten func(bytes int64, took time.Duration) // the log was rewritten
	failed    func(error)                           // the disk refuses
	fault     func(error)                           // an invariant is broken: the process has to end before it does harm
	// invariants are those that are counted and don't end the process.
	invariants *invariant.Set
}

// engine drives one replica core: its records to disk, its messages to peers, its committed entries to the machine. All its methods
// run on the node's loop.
type engine struct {
	options   engineOptions
	replica   *replica.Replica
	machine   *state.Machine
	disk      *disk
	appliedTo uint64
	resumedTo uint64 // what the disk knew to be committed when this life began
	audit     *state.Audit
	backlog   backlog
	digests   []view.Digest // not yet handed to the core
	queue     []*proposal
	flying    map[uint64]*proposal
	reads     []waitingRead
	unapplied unapplied
	contactAt time.Duration // last word from the head, or the last own lease that was seen
	wake      time.Duration
	closed    bool
	rewriting bool
	capturing capturing
	compactAt int64
}

// newEngine reads what the disk holds; begin sets it going.
func newEngine(options engineOptions) (*engine, error) {
	persisted, err := restore(options.records)
	if err != nil {
		return nil, err
	}
	options.records = nil
	e := &engine{options: options, machine: state.New(), disk: newDisk(options.log), flying: map[uint64]*proposal{},
		compactAt: apart(leastCompaction, options.config.Seed), resumedTo: persisted.Committed}
	if persisted.Snapshot != nil {
		if err := e.machine.Restore(persisted.Snapshot.Data); err != nil {
			return nil, err
		}
		e.appliedTo = persisted.Snapshot.Index
	}
	e.audit = state.NewAudit(e.appliedTo)
	e.replica = replica.New(options.config, persisted, options.now())
	e.contactAt = options.now()
	return e, nil
}

// begin starts the engine; from here on it calls back.
func (e *engine) begin() {
	go e.disk.run()
	e.step(replica.Tick{})
}

func restore(records []wal.Record) (replica.Persisted, error) {
	converted := make([]replica.Record, len(records))
	for i, record := range records {
		converted[i] = replica.Record{Kind: record.Kind, Data: record.Data}
	}
	return replica.Restore(converted)
}

// step hands one input to the core and does what it asks for.
func (e *engine) step(input replica.Input) {
	if e.closed {
		return
	}
	e.carryOut(e.replica.Step(e.options.now(), input))
	e.noteContact(input)
}

// carryOut does what the core asks for. After a fault it does nothing of it, and a snapshot that can't be read is not stored: the disk
// stays as it was.
func (e *engine) carryOut(output replica.Output) {
	if output.Fault != nil {
		e.options.fault(output.Fault)
		return
	}
	if output.Install != nil && !e.install(output.Install) {
		return
	}
	for _, envelope := range output.Send {
		e.options.send(envelope.To, envelope.Message)
	}
	if len(output.Persist) > 0 {
		e.persist(output.Persist, output.Token)
	}
	e.applyAll(output.Committed)
	e.settleReads()
	for _, event := range output.Events {
		e.tell(event)
	}
	e.wake = output.Wake
	if output.NeedSnapshot {
		e.capture(forLearners)
	}
	e.tellDigests()
}

func (e *engine) persist(records []replica.Record, token uint64) {
	e.disk.submit(diskJob{records: toLog(records), done: func(err error) {
		e.options.post(func() { e.persisted(token, err) })
	}})
}

func toLog(records []replica.Record) []wal.Record {
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
		e.options.failed(err)
		return
	}
	e.step(replica.Synced{Token: token})
	e.compact()
}

// install puts a snapshot in the place of the state and tells whether it could be read; what was proposed and isn't known to be
// committed is in doubt.
func (e *engine) install(snapshot *chain.Snapshot) bool {
	if err := e.machine.Restore(snapshot.Data); err != nil {
		e.options.failed(fmt.Errorf("snapshot at %d: %w", snapshot.Index, err))
		return false
	}
	e.appliedTo = snapshot.Index
	e.backlog.drop()
	e.dropCapture()
	e.audit = state.NewAudit(e.appliedTo)
	for index, waiting := range e.flying {
		if index <= snapshot.Index {
			delete(e.flying, index)
			waiting.done(state.Result{}, fateInDoubt)
		}
	}
	e.options.installed()
	return true
}

// isHead tells whether this replica may act as the head now.
func (e *engine) isHead() bool { return !e.closed && e.replica.IsHead(e.options.now()) }

// view is the newest view known here.
func (e *engine) view() view.View { return e.replica.View() }

// close ends the engine; all that waits is in doubt, but for what was never appended.
func (e *engine) close() {
	if e.closed {
		return
	}
	e.closed = true
	e.backlog.drop()
	e.disk.stop()
	e.refuseQueued()
	e.refuseReads()
	for index, waiting := range e.flying {
		delete(e.flying, index)
		waiting.done(state.Result{}, fateInDoubt)
	}
}
