package control

import (
	"time"

	"gaugeslip/internal/system/internalapi"
	"gaugeslip/internal/system/state"
)

// commitTimeout bounds how long a call waits for its commit. After that its outcome is in doubt.
const commitTimeout = 5 * time.Second

// Service is the net/rpc service for dispatchers, operators and other replicas.
type Service struct{ node *Node }

// runOnLoop runs a question on the loop and waits for its answer. It returns expired if the loop stops or the timeout passes first.
func runOnLoop[T any](n *Node, timeout time.Duration, expired T, question func(answer func(T))) T {
	answers := make(chan T, 1)
	n.loop.post(func() {
		question(func(answer T) {
			select {
			case answers <- answer:
			default:
			}
		})
	})
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case answer := <-answers:
		return answer
	case <-n.loop.stopped:
		return expired
	case <-timer.C:
		return expired
	}
}

// Digest returns the newest epoch and configuration version known here.
func (s *Service) Digest(_ internalapi.DigestArgs, reply *internalapi.DigestReply) error {
	*reply = runOnLoop(s.node, time.Second, internalapi.DigestReply{}, func(answer func(internalapi.DigestReply)) {
		e := s.node.engine
		e.read(func(current bool) {
			answer(internalapi.DigestReply{Epoch: e.view().Epoch, ConfigVersion: e.machine.Config().Version, Serving: current,
				UnixMs: s.node.clock().UnixMilli()})
		})
	})
	return nil
}

// Fetch returns the view known here unless it is older than the caller's, and the configuration if it is newer than the caller's and not
// possibly outdated.
func (s *Service) Fetch(args internalapi.FetchArgs, reply *internalapi.FetchReply) error {
	*reply = runOnLoop(s.node, time.Second, internalapi.FetchReply{}, func(answer func(internalapi.FetchReply)) {
		e := s.node.engine
		var newer internalapi.FetchReply
		if newest := e.view(); newest.Known() && newest.Epoch >= args.Epoch {
			newer.View = newest
		}
		if current := e.machine.Config(); current.Version > args.ConfigVersion && e.upToDate() {
			newer.ConfigVersion, newer.Config = current.Version, current.Body
		}
		answer(newer)
	})
	return nil
}

// Submit accepts a job.
func (s *Service) Submit(args internalapi.SubmitArgs, reply *internalapi.JobReply) error {
	doubt := internalapi.JobReply{Verdict: internalapi.InDoubt}
	*reply = runOnLoop(s.node, commitTimeout, doubt, func(answer func(internalapi.JobReply)) { s.node.submit(&args, answer) })
	s.node.counts.countSubmitVerdict(reply.Verdict)
	return nil
}

// submit decides a submission. It runs on the loop.
func (n *Node) submit(args *internalapi.SubmitArgs, answer func(internalapi.JobReply)) {
	if !n.acting() {
		answer(n.notHead())
		return
	}
	if job := n.engine.machine.Job(state.JobID(args.ID)); job != nil && job.State != state.CancelledUnseen {
		answer(internalapi.JobReply{Verdict: internalapi.Done})
		return
	}
	if n.config == nil {
		answer(internalapi.JobReply{Verdict: internalapi.Overloaded, Text: "no configuration yet"})
		return
	}
	accepted := n.acceptedCommand(args)
	if accepted == nil {
		answer(internalapi.JobReply{Verdict: internalapi.NoRoute, ConfigVersion: uint64(n.config.Version)})
		return
	}
	if err := n.engine.machine.CheckShare(accepted); err != nil {
		answer(internalapi.JobReply{Verdict: internalapi.Invalid, Text: err.Error()})
		return
	}
	n.engine.propose(state.Command{Kind: state.KindJobAccepted, JobAccepted: accepted}, func(result state.Result, status commitStatus) {
		answer(n.jobReply(result, status))
	})
}

// acceptedCommand combines a submitted job with the present settings of its route. It returns nil if there is no such route.
func (n *Node) acceptedCommand(args *internalapi.SubmitArgs) *state.JobAccepted {
	for i := range n.config.Routes {
		route := &n.config.Routes[i]
		if route.Name != args.Route {
			continue
		}
		return &state.JobAccepted{ID: state.JobID(args.ID), Route: route.Name, Service: route.Backend, Priority: route.Priority,
			MaxRetries: route.MaxRetries, Extension: route.Extension, TargetLatencyMs: float64(route.TargetLatency) / float64(time.Millisecond),
			AcceptedMs: n.unixMs(n.now()), Body: args.Body, Tenant: route.Tenant}
	}
	return nil
}

func (n *Node) jobReply(result state.Result, status commitStatus) internalapi.JobReply {
	switch {
	case status == statusInDoubt:
		return internalapi.JobReply{Verdict: internalapi.InDoubt}
	case status == statusRejected:
		return n.notHead()
	case result.Outcome == state.Malformed:
		return internalapi.JobReply{Verdict: internalapi.Invalid, Text: "the job can't be read"}
	case result.Outcome == state.Unknown:
		return internalapi.JobReply{Verdict: internalapi.NotKnown}
	case result.Outcome == state.TooMany:
		return internalapi.JobReply{Verdict: internalapi.Overloaded, Text: "too many unknown jobs are cancelled"}
	}
	return internalapi.JobReply{Verdict: internalapi.Done}
}

// acting reports whether this replica is the head with its lease and may decide requests now.
func (n *Node) acting() bool { return n.schedulerActive && n.engine.isHead() }

func (n *Node) notHead() internalapi.JobReply {
	return internalapi.JobReply{Verdict: internalapi.NotHead, View: n.engine.view()}
}

func (s *Service) Cancel(args internalapi.CancelArgs, reply *internalapi.JobReply) error {
	doubt := internalapi.JobReply{Verdict: internalapi.InDoubt}
	*reply = runOnLoop(s.node, commitTimeout, doubt, func(answer func(internalapi.JobReply)) { s.node.cancel(args, answer) })
	return nil
}

func (n *Node) cancel(args internalapi.CancelArgs, answer func(internalapi.JobReply)) {
	if !n.acting() {
		answer(n.notHead())
		return
	}
	cancelled := &state.JobCancelled{ID: state.JobID(args.ID), AtMs: n.unixMs(n.now())}
	n.engine.propose(state.Command{Kind: state.KindJobCancelled, JobCancelled: cancelled}, func(result state.Result, status commitStatus) {
		answer(n.jobReply(result, status))
	})
}

// Status returns a job's state.
func (s *Service) Status(args internalapi.StatusArgs, reply *internalapi.JobReply) error {
	id := state.JobID(args.ID)
	refused := internalapi.JobReply{Verdict: internalapi.NotHead}
	*reply = runOnLoop(s.node, time.Second, refused, func(answer func(internalapi.JobReply)) {
		s.node.engine.readJob(id, func(current bool) { answer(s.node.statusOf(id, current)) })
	})
	return nil
}

// statusOf returns a job's state, if the local state is current.
func (n *Node) statusOf(id state.JobID, current bool) internalapi.JobReply {
	if !current {
		return n.notHead()
	}
	job := n.engine.machine.Job(id)
	if job == nil || job.State == state.CancelledUnseen {
		return internalapi.JobReply{Verdict: internalapi.NotKnown}
	}
	return internalapi.JobReply{Verdict: internalapi.Done, State: job.State.String()}
}

// Count returns how many jobs of a route have no task that has begun. Only the head can answer: the replicated state contains a run from
// its intent on, and only the head and the worker know whether it has begun, until it ends.
func (s *Service) Count(args internalapi.CountArgs, reply *internalapi.JobReply) error {
	refused := internalapi.JobReply{Verdict: internalapi.NotHead}
	*reply = runOnLoop(s.node, time.Second, refused, func(answer func(internalapi.JobReply)) {
		if !s.node.acting() {
			answer(s.node.notHead())
			return
		}
		answer(internalapi.JobReply{Verdict: internalapi.Done, Pending: s.node.scheduler.PendingJobs(args.Route)})
	})
	return nil
}
