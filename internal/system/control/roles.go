package control

import (
	"context"
	"time"

	"gaugeslip/coord/replica"
	"gaugeslip/internal/system/internalapi"
	"gaugeslip/internal/system/scheduler"
	"gaugeslip/internal/system/state"
	"gaugeslip/internal/system/workerapi"
)

const (
	clockReadInterval    = time.Second
	clockCallTimeout     = 400 * time.Millisecond
	housekeepingInterval = time.Second
	maxForgottenJobs     = 8192
	forgetInterval       = 10 * time.Second
	// maxTickInterval is how often the core is told to judge at least, while there is anything to do: each of its steps may put its wake off.
	maxTickInterval = 20 * time.Millisecond
)

// flush collects what the cores want done after a batch of inputs, until nothing more comes up, and gives the time to the next wake.
func (n *Node) flush() time.Duration {
	n.loop.runUrgent()
	n.applyPendingConfig()
	n.periodic(n.now())
	for range 8 {
		ordered := n.runScheduler()
		n.loop.runUrgentIfDue()
		if !n.engine.flush() && !ordered {
			break
		}
	}
	return n.nextWake()
}

// tickCore lets the replica core judge, beat and stand for election as soon as that is due, also in the midst of a batch: just then
// all that had come in for it has been handed to it.
func (n *Node) tickCore() {
	if now := n.now(); !n.engine.closed && (now >= n.engine.wakeAt || now-n.lastTick >= maxTickInterval) {
		n.lastTick = now
		n.engine.step(replica.Tick{})
	}
}

func (n *Node) nextWake() time.Duration {
	now := n.now()
	wake := min(n.nextClockRead, n.nextHousekeeping)
	if !n.engine.closed {
		wake = min(wake, n.engine.wakeAt)
	}
	if n.schedulerActive {
		if n.schedulerWakeAt > 0 {
			wake = min(wake, n.schedulerWakeAt)
		}
		if n.platform.request == nil {
			wake = min(wake, n.platform.nextReadAt)
		}
	}
	return max(wake-now, time.Millisecond)
}

// periodic does what falls due by itself.
func (n *Node) periodic(now time.Duration) {
	if now >= n.nextClockRead {
		n.nextClockRead = now + clockReadInterval
		n.readClocks()
		n.updateSchedulerClock(now)
	}
	if now >= n.nextHousekeeping {
		n.nextHousekeeping = now + housekeepingInterval
		n.housekeep()
	}
	if n.schedulerActive && n.platform.due(now) {
		n.readList()
	}
}

// runScheduler lets the scheduler work and tells whether it wanted anything.
func (n *Node) runScheduler() bool {
	if n.scheduler == nil || !n.schedulerActive || !n.engine.isHead() {
		return false
	}
	now := n.now()
	if n.schedulerWakeAt > 0 && now >= n.schedulerWakeAt {
		n.scheduler.Tick(now)
	}
	output := n.scheduler.Drain()
	n.checkScheduler(now)
	n.schedulerWakeAt = output.Wake
	if output.Superseded {
		n.logger.Warn("a worker has seen a higher token", "epoch", n.schedulerEpoch)
		n.schedulerActive = false
		n.workerCalls.cancelAll() // nothing more goes out with this token
		return false
	}
	n.logWaitingTasks(output.Findings)
	n.counts.lateJobs.record(output.Late)
	for _, command := range output.Commands {
		n.engine.propose(command, func(state.Result, commitStatus) {})
	}
	n.sendCalls(output.Calls)
	return len(output.Commands)+len(output.Calls) > 0
}

// sendCalls makes the scheduler's calls if this replica is still the head: with a large fleet the decisions before may have outlasted its
// lease. Otherwise none is sent, and the scheduler is told so.
func (n *Node) sendCalls(calls []scheduler.Call) {
	if len(calls) == 0 {
		return
	}
	sender := senderState{epoch: n.engine.view().Epoch, head: n.engine.isHead()}
	if !sender.head {
		for i := range calls {
			n.callEnded(n.scheduler, calls[i].ID, workerapi.HoldReply{Outcome: workerapi.NotSent})
		}
		return
	}
	n.checkCalls(calls, sender)
	for _, call := range calls {
		n.callWorker(call)
	}
}

// callEnded hands the end of a call to the scheduler that made it; for another one it doesn't count.
func (n *Node) callEnded(from *scheduler.Scheduler, id uint64, reply workerapi.HoldReply) {
	n.loop.post(func() {
		if n.scheduler == from {
			from.CallEnded(n.now(), scheduler.CallResult{ID: id, Reply: reply})
		}
	})
}

// callWorker makes one of the scheduler's calls.
func (n *Node) callWorker(call scheduler.Call) {
	from := n.scheduler
	end := func(reply workerapi.HoldReply) { n.callEnded(from, call.ID, reply) }
	started := n.workerCalls.start(call.Timeout, func(ctx context.Context, client *workerapi.Client) {
		end(performCall(ctx, client, &call))
	})
	if !started {
		end(workerapi.HoldReply{Outcome: workerapi.NotSent})
	}
}

// perform makes a call and gives what is certain about it.
func performCall(ctx context.Context, client *workerapi.Client, call *scheduler.Call) workerapi.HoldReply {
	switch call.Kind {
	case scheduler.CallStart:
		reply, _ := client.Start(ctx, call.Worker, call.Start)
		return workerapi.HoldReply{Outcome: reply.Outcome, ClockMs: reply.ClockMs}
	case scheduler.CallStop:
		reply, _ := client.Stop(ctx, call.Worker, call.Stop)
		return workerapi.HoldReply{Outcome: reply.Outcome, ClockMs: reply.ClockMs}
	default:
		reply, _ := client.Hold(ctx, call.Worker, call.Hold)
		return reply
	}
}

// readClocks asks the other replicas for their time of day.
func (n *Node) readClocks() {
	if n.engine.closed {
		return
	}
	for _, member := range n.engine.view().Voters {
		if member.ID != n.engine.replica.Self().ID {
			go n.readClock(member.Address)
		}
	}
}

func (n *Node) readClock(address string) {
	var reply internalapi.DigestReply
	sent := n.clock()
	if err := n.client.Call(address, internalapi.MethodDigest, internalapi.DigestArgs{}, &reply, clockCallTimeout); err != nil {
		return
	}
	received := n.clock()
	ours := sent.Add(received.Sub(sent) / 2)
	n.loop.post(func() { n.wallClock.observe(address, time.UnixMilli(reply.UnixMs), ours, n.now()) })
}

func (n *Node) updateSchedulerClock(now time.Duration) {
	if n.scheduler != nil {
		n.scheduler.WallClock(now, n.unixMs(now))
	}
}

// unixMs is the trusted time of day in milliseconds since 1970.
func (n *Node) unixMs(now time.Duration) int64 {
	return n.clock().Add(n.wallClock.offset(now)).UnixMilli()
}

// housekeep tells the core of replicas that were heard of, and forgets jobs that were over for long enough.
func (n *Node) housekeep() {
	n.logLateJobsIfDue(n.now())
	if n.engine.closed {
		return
	}
	n.engine.step(replica.Contacts{Addresses: n.contacts()})
	if n.schedulerActive && n.engine.isHead() && n.now() >= n.nextForgetAt {
		n.nextForgetAt = n.now() + forgetInterval
		n.forgetJobs()
	}
}

// forgetJobs drops jobs that have been over for twice the time for which their state has to be told, as far as this head has seen.
func (n *Node) forgetJobs() {
	now := n.now()
	keep := 2 * n.settings.Bounds.Status()
	over := make(map[state.JobID]time.Duration, len(n.finishedSince))
	var old []state.JobID
	for id, job := range n.engine.machine.Jobs() {
		if !job.State.Finished() || job.Runs > 0 {
			continue
		}
		since, seen := n.finishedSince[id]
		if !seen {
			since = now
		}
		over[id] = since
		if now-since > keep && len(old) < maxForgottenJobs {
			old = append(old, id)
		}
	}
	n.finishedSince = over
	if len(old) > 0 {
		n.engine.propose(state.Command{Kind: state.KindJobsForgotten, JobsForgotten: old}, func(state.Result, commitStatus) {})
	}
}
