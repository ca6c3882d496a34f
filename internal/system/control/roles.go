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
	// maxTickInterval is the longest time between two ticks of the core while there is other work. Without it, every step of the core could
	// postpone its wake-up time.
	maxTickInterval = 20 * time.Millisecond
)

// flush collects and carries out the output of the cores after a batch of inputs, until there is no more or the limit of rounds is reached.
// It returns the time until the next wake-up.
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

// tickCore ticks the replica core when its timers are due, also within a batch, so that heartbeats and elections are on time. The loop
// calls it right after all messages received so far were passed to the core.
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

// periodic runs the tasks that are due at regular intervals.
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

// runScheduler carries out the scheduler's output and reports whether there were commands or calls.
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
		n.logger.Warn("a worker has seen a higher fencing token", "epoch", n.schedulerEpoch)
		n.schedulerActive = false
		n.workerCalls.cancelAll() // no further call is sent with this token
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

// sendCalls makes the scheduler's calls if this replica is still the head: with a large fleet, the decisions may have taken longer than its
// lease. Otherwise it sends nothing and reports the calls as not sent to the scheduler.
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

// callEnded passes the result of a call to the scheduler that made it. It drops the result if another scheduler acts by then.
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

// performCall makes a call and returns its definite outcome, or that it is unknown.
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

// readClocks reads the clocks of the other replicas.
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

// unixMs returns the time of day in milliseconds since 1970, corrected by the median of the replicas' clocks.
func (n *Node) unixMs(now time.Duration) int64 {
	return n.clock().Add(n.wallClock.offset(now)).UnixMilli()
}

// housekeep logs late jobs, passes the known replica addresses to the core, and forgets jobs that were finished long enough ago.
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

// forgetJobs forgets jobs that this head has seen finished for longer than twice the time for which their state must be available.
func (n *Node) forgetJobs() {
	now := n.now()
	keep := 2 * n.settings.Bounds.Status()
	finished := make(map[state.JobID]time.Duration, len(n.finishedSince))
	var old []state.JobID
	for id, job := range n.engine.machine.Jobs() {
		if !job.State.Finished() || job.Runs > 0 {
			continue
		}
		since, seen := n.finishedSince[id]
		if !seen {
			since = now
		}
		finished[id] = since
		if now-since > keep && len(old) < maxForgottenJobs {
			old = append(old, id)
		}
	}
	n.finishedSince = finished
	if len(old) > 0 {
		n.engine.propose(state.Command{Kind: state.KindJobsForgotten, JobsForgotten: old}, func(state.Result, commitStatus) {})
	}
}
