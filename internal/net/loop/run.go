package loop

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"runtime/debug"
	"time"

	"gaugeslip/internal/dispatch"
	"gaugeslip/internal/settings"
	"gaugeslip/internal/waiting"
	"gaugeslip/policy"
)

// Run processes the queue until ctx ends. It returns when all goroutines that it started have ended.
func (l *Loop) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer l.work.Wait()
	defer close(l.stopped)
	defer cancel()
	timer := time.NewTimer(0)
	defer timer.Stop()
	batch := make([]dispatch.Message, 0, batchLen)
	l.watchNeeded = !l.set.Policy.Ask // the core does not ask for lists that are pushed
	for {
		batch = append(batch[:0], l.initialMessages...)
		l.initialMessages = nil
		select {
		case <-ctx.Done():
			return nil
		case e := <-l.urgent:
			batch = l.drain(l.receive(batch, e))
		case e := <-l.queue:
			batch = l.drain(l.receive(batch, e))
		case <-timer.C:
			batch = l.drain(batch)
		}
		if err := l.step(ctx, batch); err != nil {
			return err
		}
		l.notifyIdle()
		if l.watchNeeded && l.initialMessages == nil { // after the step, so that the last messages of the old source are included
			l.startWatch(ctx, dispatch.Watch{Version: l.core.WatchVersion()})
		}
		if l.initialMessages != nil {
			timer.Reset(0)
		} else if at, ok := l.core.Wake(); ok {
			timer.Reset(max(0, at-l.clock.Now()))
		}
	}
}

// receive adds the message of an envelope to a batch. It drops messages of a watch that is over, its end included: a
// newer watch may already have sent newer ones.
func (l *Loop) receive(batch []dispatch.Message, e envelope) []dispatch.Message {
	if e.source != nil {
		l.source, l.watchNeeded = e.source, true
		return batch
	}
	if e.idle != nil {
		l.idleWaiters = append(l.idleWaiters, e.idle)
		return batch
	}
	if e.count != nil {
		known, excluded := l.core.Workers()
		l.knownHosts.Store(int64(known))
		l.excludedHosts.Store(int64(excluded))
		close(e.count)
		return batch
	}
	if e.watch != 0 && (e.watch != l.watchNumber || l.cancelWatch == nil) {
		return batch
	}
	switch m := e.msg.(type) {
	case dispatch.JobArrived:
		l.tickets[m.Job] = e.ticket
	case dispatch.JobQuery:
		l.queryReplies[m.Number] = e.queryReply
	case dispatch.SetCordon:
		l.cordonReplies[m.Request] = e.cordonReply
	case dispatch.QueryCancelled:
		delete(l.queryReplies, m.Query)
	case dispatch.ListLost:
		l.cancelWatch = nil
	}
	return append(batch, e.msg)
}

func (l *Loop) drain(batch []dispatch.Message) []dispatch.Message {
	for len(batch) < batchLen {
		select {
		case e := <-l.urgent:
			batch = l.receive(batch, e)
			continue
		default:
		}
		select {
		case e := <-l.queue:
			batch = l.receive(batch, e)
		default:
			return batch
		}
	}
	return batch
}

// step lets the core decide and executes its commands. A panic in the core must not end the process, which would drop
// every accepted request.
func (l *Loop) step(ctx context.Context, batch []dispatch.Message) (err error) {
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic in the core, rebuilding it", "panic", p, "stack", string(debug.Stack()))
			err = l.rebuildCore()
		}
	}()
	commands := l.core.Step(l.clock.Now(), batch)
	l.logStep(ctx, batch, commands)
	for _, c := range commands {
		l.execute(ctx, c)
	}
	for _, m := range batch { // drop the tickets of jobs that have ended
		switch m := m.(type) {
		case dispatch.ClientGone:
			delete(l.tickets, m.Job)
		case dispatch.AttemptEnded:
			delete(l.attempts, m.Key)
			if m.Result == policy.OK {
				delete(l.tickets, m.Job)
			}
		}
	}
	return nil
}

// logStep logs the messages and commands of a step at debug level, for operators who investigate a past decision
// (--verbose).
func (l *Loop) logStep(ctx context.Context, in []dispatch.Message, out []dispatch.Command) {
	if !slog.Default().Enabled(ctx, slog.LevelDebug) {
		return
	}
	for _, m := range in {
		load := settings.NoLoad()
		switch e := m.(type) {
		case dispatch.AttemptEnded:
			e.Load, e.Body = nil, nil
			m = e
		case dispatch.ProbeEnded:
			if e.Load != nil {
				load = *e.Load
			}
			e.Load = nil
			m = e
		}
		slog.Debug("in", "message", fmt.Sprintf("%T%+v", m, m), "free", load.FreeSlots, "queue", load.Queue, "inflight", load.InFlight)
	}
	for _, c := range out {
		slog.Debug("out", "command", fmt.Sprintf("%T%+v", c, c))
	}
}

// notifyIdle ends the waits of Idle once no job without a connection is pending.
func (l *Loop) notifyIdle() {
	if len(l.idleWaiters) == 0 || l.core.Detached() > 0 {
		return
	}
	for _, c := range l.idleWaiters {
		close(c)
	}
	l.idleWaiters = nil
}

// rebuildCore fails all requests that the core was handling and replaces it by a new core. They may have run, so they
// fail and are not refused. Jobs that only wait stay in the queue.
func (l *Loop) rebuildCore() error {
	core, known, owns, err := l.core.Rebuild(l.clock.Now())
	if err != nil {
		return fmt.Errorf("loop: %w", err)
	}
	for job, t := range l.tickets {
		if !owns(job) {
			t.deliver(Answer{})
			delete(l.tickets, job)
		}
	}
	for _, out := range l.attempts {
		out.cancel()
	}
	maps.DeleteFunc(l.detached, func(job uint64, _ *detachedJob) bool { return !owns(job) })
	if l.cancelWatch != nil {
		l.cancelWatch()
		l.cancelWatch = nil
	}
	clear(l.attempts)
	for _, reply := range l.queryReplies { // the callers may ask again
		reply <- dispatch.QueryResult{Status: waiting.StatusFull}
	}
	clear(l.queryReplies)
	clear(l.cordonReplies) // their callers time out by themselves
	l.core, l.initialMessages = core, []dispatch.Message{known}
	l.watchNeeded = l.watchNeeded || !l.set.Policy.Ask
	return nil
}
