package loop

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"

	"gaugeslip/internal/dispatch"
	"gaugeslip/internal/net/upstream"
	"gaugeslip/internal/settings"
	"gaugeslip/policy"
)

// execute carries out one command of the core.
func (l *Loop) execute(ctx context.Context, c dispatch.Command) {
	switch c := c.(type) {
	case dispatch.Send:
		l.send(ctx, c)
	case dispatch.CancelSend:
		if out, ok := l.attempts[c.Key]; ok {
			out.cancel()
		}
	case dispatch.CancelUnsent:
		if out, ok := l.attempts[c.Key]; ok {
			out.unsend()
		}
	case dispatch.LocalReply:
		if t := l.tickets[c.Job]; t != nil {
			delete(l.tickets, c.Job)
			a := Answer{Refused: c.Refused, Status: c.Status, Text: c.Reason}
			if l.set.RetryAfter {
				a.RetryAfter = c.RetryAfter
			}
			t.deliver(a)
		}
		delete(l.detached, c.Job)
	case dispatch.Accepted:
		if t := l.tickets[c.Job]; t != nil {
			delete(l.tickets, c.Job)
			l.detached[c.Job] = newDetachedJob(t)
			t.deliver(Answer{Accepted: true})
		}
	case dispatch.CordonResult:
		if reply := l.cordonReplies[c.Request]; reply != nil {
			delete(l.cordonReplies, c.Request)
			reply <- c.Known // buffered: does not block
		}
	case dispatch.QueryResult:
		if reply := l.queryReplies[c.Query]; reply != nil {
			delete(l.queryReplies, c.Query)
			reply <- c // buffered: does not block
		}
	case dispatch.Probe:
		l.spawn(func() {
			o := l.upstream.Probe(ctx, c.Addr)
			l.Post(dispatch.ProbeEnded{Worker: c.Worker, Result: o.Result, Took: o.Took, Load: l.load(o.Load)})
		}, dispatch.ProbeEnded{Worker: c.Worker, Result: policy.AppError})
	case dispatch.Watch:
		if l.cancelWatch == nil { // otherwise SetSource has started one in the meantime
			l.startWatch(ctx, c)
		}
	case dispatch.Log:
		level := slog.LevelDebug
		if c.Warn {
			level = slog.LevelWarn
		}
		slog.Log(ctx, level, c.Text)
	default:
		panic(fmt.Sprintf("loop: unknown command %T", c))
	}
}

// send starts an upstream request in a goroutine of its own.
func (l *Loop) send(ctx context.Context, c dispatch.Send) {
	t := l.tickets[c.Job]
	if p := l.detached[c.Job]; t == nil && p != nil {
		delete(l.detached, c.Job)
		t = p.newTicket()
		l.tickets[c.Job] = t
	}
	if t == nil { // the core sends open jobs only
		panic(fmt.Sprintf("loop: send for job %d, which has ended", c.Job))
	}
	q := t.Forward
	ctx, cancel := context.WithDeadline(ctx, l.clock.Time(c.Deadline))
	client := q.Client
	if client == nil {
		client = context.Background()
	}
	sendCtx, unsend := context.WithCancel(client) // ends when the client disconnects, or on CancelUnsent
	l.attempts[c.Key] = cancelFuncs{cancel, unsend}
	q.Addr, q.Client = c.Addr, sendCtx
	l.spawn(func() {
		defer cancel()
		defer unsend()
		l.upstream.Do(ctx, &q, &attemptWatcher{l, t, c.Key})
	}, dispatch.AttemptEnded{Key: c.Key, Result: policy.ConnectionLost}) // the job may have run
}

// spawn starts work that Run waits for when it ends. A panic in it must neither end the process nor leave the core
// waiting: the core then gets the message broken.
func (l *Loop) spawn(work func(), onPanic dispatch.Message) {
	l.work.Go(func() {
		defer func() {
			if p := recover(); p != nil {
				slog.Error("panic in socket code", "panic", p, "stack", string(debug.Stack()))
				l.Post(onPanic)
			}
		}()
		work()
	})
}

// attemptWatcher forwards the events of one upstream request to the loop and its client.
type attemptWatcher struct {
	loop   *Loop
	ticket *Ticket
	key    dispatch.Key
}

func (f *attemptWatcher) Started() { f.loop.Post(dispatch.JobStarted{Key: f.key}) }

func (f *attemptWatcher) Progress(s float64) { f.loop.Post(dispatch.JobProgress{Key: f.key, Share: s}) }

// Ended sends a successful result to the client at once, unless the client already has an answer, and reports the
// outcome to the loop.
func (f *attemptWatcher) Ended(o upstream.Outcome) {
	if o.Result == policy.OK {
		f.ticket.deliver(Answer{Served: true, Body: o.Body})
	}
	f.loop.Post(dispatch.AttemptEnded{Key: f.key, Result: o.Result, Load: f.loop.load(o.Load), Body: o.Body})
}

// load converts a load report by names into the core's form.
func (l *Loop) load(r upstream.Report) *policy.Load {
	if r == nil {
		return nil
	}
	out := settings.NoLoad()
	for name, v := range r {
		l.set.SetLoad(&out, name, v)
	}
	return &out
}

// startWatch watches the host list from a version on and replaces any earlier watch. Each watch that breaks causes
// one ListLost.
func (l *Loop) startWatch(ctx context.Context, c dispatch.Watch) {
	if l.cancelWatch != nil {
		l.cancelWatch()
	}
	ctx, cancel := context.WithCancel(ctx)
	l.watchNumber++
	n, source := l.watchNumber, l.source
	l.cancelWatch, l.watchNeeded = cancel, false
	l.work.Go(func() {
		defer cancel()
		defer func() {
			if p := recover(); p != nil {
				slog.Error("panic in the watch of the host list", "panic", p, "stack", string(debug.Stack()))
			}
			l.post(envelope{msg: dispatch.ListLost{}, watch: n})
		}()
		err := source.Watch(ctx, c.Version, func(m dispatch.HostList) { l.post(envelope{msg: m, watch: n}) })
		if ctx.Err() == nil {
			slog.Info("watch lost", "error", err)
		}
	})
}
