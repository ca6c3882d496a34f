package control

import (
	"errors"
	"net/http"
	"time"

	"gaugeslip/coord/transport"
	"gaugeslip/internal/system/clusterconfig"
	"gaugeslip/internal/system/internalapi"
	"gaugeslip/internal/system/state"
)

const (
	// commitPatience bounds how long a call waits for its commit; after that its outcome is in doubt.
	commitPatience = 5 * time.Second
	forwardFirst   = 900 * time.Millisecond
	forwardPause   = 60 * time.Millisecond
)

// Service is what dispatchers and other replicas call over net/rpc.
type Service struct{ node *Node }

// ask runs a question on the loop and waits for its answer, for the patience at most.
func ask[T any](n *Node, patience time.Duration, expired T, question func(answer func(T))) T {
	answers := make(chan T, 1)
	n.loop.post(func() {
		question(func(answer T) {
			select {
			case answers <- answer:
			default:
			}
		})
	})
	timer := time.NewTimer(patience)
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

// Digest tells what is newest here.
func (s *Service) Digest(_ internalapi.DigestArgs, reply *internalapi.DigestReply) error {
	*reply = ask(s.node, time.Second, internalapi.DigestReply{}, func(answer func(internalapi.DigestReply)) {
		e := s.node.engine
		e.read(func(current bool) {
			answer(internalapi.DigestReply{Epoch: e.view().Epoch, ConfigVersion: e.machine.Config().Version, Serving: current,
				UnixMs: s.node.clock().UnixMilli()})
		})
	})
	return nil
}

// Fetch gives what is newer here than at the caller.
func (s *Service) Fetch(args internalapi.FetchArgs, reply *internalapi.FetchReply) error {
	*reply = ask(s.node, time.Second, internalapi.FetchReply{}, func(answer func(internalapi.FetchReply)) {
		e := s.node.engine
		var newer internalapi.FetchReply
		if newest := e.view(); newest.Known() && newest.Epoch >= args.Epoch {
			newer.View = newest
		}
		if current := e.machine.Config(); current.Version > args.ConfigVersion {
			newer.ConfigVersion, newer.Config = current.Version, current.Body
		}
		answer(newer)
	})
	return nil
}

// Submit takes a job into custody.
func (s *Service) Submit(args internalapi.SubmitArgs, reply *internalapi.JobReply) error {
	doubt := internalapi.JobReply{Verdict: internalapi.InDoubt}
	*reply = ask(s.node, commitPatience, doubt, func(answer func(internalapi.JobReply)) { s.node.submit(&args, answer) })
	s.node.counts.answered(reply.Verdict)
	return nil
}

// submit runs on the loop.
func (n *Node) submit(args *internalapi.SubmitArgs, answer func(internalapi.JobReply)) {
	if !n.acting() {
		answer(n.notHead())
		return
	}
	if job := n.engine.machine.Job(state.JobID(args.ID)); job != nil {
		answer(internalapi.JobReply{Verdict: internalapi.Done})
		return
	}
	if n.config == nil {
		answer(internalapi.JobReply{Verdict: internalapi.Overloaded, Text: "no configuration yet"})
		return
	}
	accepted := n.accepted(args)
	if accepted == nil {
		answer(internalapi.JobReply{Verdict: internalapi.NoRoute, ConfigVersion: uint64(n.config.Version)})
		return
	}
	if err := n.engine.machine.CheckShare(accepted); err != nil {
		answer(internalapi.JobReply{Verdict: internalapi.Invalid, Text: err.Error()})
		return
	}
	n.engine.propose(state.Command{Kind: state.KindJobAccepted, JobAccepted: accepted}, func(result state.Result, fate fate) {
		answer(n.jobReply(result, fate))
	})
}

// accepted joins a job with what its queue says now; nil if there is no such queue.
func (n *Node) accepted(args *internalapi.SubmitArgs) *state.JobAccepted {
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

func (n *Node) jobReply(result state.Result, fate fate) internalapi.JobReply {
	switch {
	case fate == fateInDoubt:
		return internalapi.JobReply{Verdict: internalapi.InDoubt}
	case fate == fateRefused:
		return n.notHead()
	case result.Outcome == state.Malformed:
		return internalapi.JobReply{Verdict: internalapi.Invalid, Text: "the job can't be read"}
	case result.Outcome == state.Unknown:
		return internalapi.JobReply{Verdict: internalapi.NotKnown}
	}
	return internalapi.JobReply{Verdict: internalapi.Done}
}

// acting tells whether this replica may take orders now.
func (n *Node) acting() bool { return n.schedulerActive && n.engine.isHead() }

func (n *Node) notHead() internalapi.JobReply {
	return internalapi.JobReply{Verdict: internalapi.NotHead, View: n.engine.view()}
}

// Cancel cancels a job.
func (s *Service) Cancel(args internalapi.CancelArgs, reply *internalapi.JobReply) error {
	doubt := internalapi.JobReply{Verdict: internalapi.InDoubt}
	*reply = ask(s.node, commitPatience, doubt, func(answer func(internalapi.JobReply)) { s.node.cancel(args, answer) })
	return nil
}

func (n *Node) cancel(args internalapi.CancelArgs, answer func(internalapi.JobReply)) {
	if !n.acting() {
		answer(n.notHead())
		return
	}
	cancelled := &state.JobCancelled{ID: state.JobID(args.ID), AtMs: n.unixMs(n.now())}
	n.engine.propose(state.Command{Kind: state.KindJobCancelled, JobCancelled: cancelled}, func(result state.Result, fate fate) {
		answer(n.jobReply(result, fate))
	})
}

// Status tells a job's state.
func (s *Service) Status(args internalapi.StatusArgs, reply *internalapi.JobReply) error {
	*reply = s.read(func(machine *state.Machine) internalapi.JobReply {
		job := machine.Job(state.JobID(args.ID))
		if job == nil {
			return internalapi.JobReply{Verdict: internalapi.NotKnown}
		}
		return internalapi.JobReply{Verdict: internalapi.Done, State: job.State.String()}
	})
	return nil
}

// Count tells how many jobs of a queue aren't over.
func (s *Service) Count(args internalapi.CountArgs, reply *internalapi.JobReply) error {
	*reply = s.read(func(machine *state.Machine) internalapi.JobReply {
		return internalapi.JobReply{Verdict: internalapi.Done, Pending: machine.PendingCount(args.Route)}
	})
	return nil
}

// read answers from the committed state, if this replica may show it.
func (s *Service) read(look func(*state.Machine) internalapi.JobReply) internalapi.JobReply {
	refused := internalapi.JobReply{Verdict: internalapi.NotHead}
	return ask(s.node, time.Second, refused, func(answer func(internalapi.JobReply)) {
		s.node.engine.read(func(current bool) {
			if !current {
				answer(s.node.notHead())
				return
			}
			answer(look(s.node.engine.machine))
		})
	})
}

// Replace takes an operator's configuration.
func (s *Service) Replace(args internalapi.ReplaceArgs, reply *internalapi.ReplaceReply) error {
	*reply = s.node.replaceHere(args, operatorPatience)
	return nil
}

func (n *Node) replaceHere(args internalapi.ReplaceArgs, patience time.Duration) internalapi.ReplaceReply {
	doubt := internalapi.ReplaceReply{Verdict: internalapi.InDoubt, Status: http.StatusGatewayTimeout, Text: "not decided in time"}
	return ask(n, patience, doubt, func(answer func(internalapi.ReplaceReply)) { n.replace(&args, answer) })
}

// replace runs on the loop. One configuration is decided at a time, so that a refusal always stands on a committed one.
func (n *Node) replace(args *internalapi.ReplaceArgs, answer func(internalapi.ReplaceReply)) {
	if !n.acting() {
		answer(internalapi.ReplaceReply{Verdict: internalapi.NotHead, View: n.engine.view()})
		return
	}
	if n.configBusy {
		n.configWaiting = append(n.configWaiting, func() { n.replace(args, answer) })
		return
	}
	command, refusal := n.checkReplace(args)
	if refusal != nil {
		n.configRefused(args, refusal)
		answer(*refusal)
		return
	}
	n.configBusy = true
	n.engine.propose(state.Command{Kind: state.KindConfigReplaced, ConfigReplaced: command}, func(result state.Result, fate fate) {
		answer(n.replaceReply(result, fate))
		n.nextConfig()
	})
}

// configRefused logs an order that wasn't taken; a repeated one is none.
func (n *Node) configRefused(args *internalapi.ReplaceArgs, refusal *internalapi.ReplaceReply) {
	if refusal.Status != http.StatusOK {
		n.logger.Warn("configuration refused", "base", args.Base, "status", refusal.Status, "reason", refusal.Text)
	}
}

func (n *Node) nextConfig() {
	n.configBusy = false
	waiting := n.configWaiting
	n.configWaiting = nil
	for _, next := range waiting {
		next()
	}
}

// checkReplace gives the command for a configuration that may be taken, or the answer for one that surely isn't or was already.
func (n *Node) checkReplace(args *internalapi.ReplaceArgs) (*state.ConfigReplaced, *internalapi.ReplaceReply) {
	parsed, err := clusterconfig.Parse(args.Body)
	if err != nil {
		return nil, &internalapi.ReplaceReply{Verdict: internalapi.Invalid, Status: http.StatusBadRequest, Text: err.Error()}
	}
	command := &state.ConfigReplaced{Base: args.Base, Version: uint64(parsed.Version), Body: args.Body}
	if outcome := n.engine.machine.CheckConfig(command); outcome != state.Applied {
		reply := configReply(outcome)
		return nil, &reply
	}
	return command, nil
}

func (n *Node) replaceReply(result state.Result, fate fate) internalapi.ReplaceReply {
	switch fate {
	case fateInDoubt:
		return internalapi.ReplaceReply{Verdict: internalapi.InDoubt, Status: http.StatusGatewayTimeout, Text: "not decided in time"}
	case fateRefused:
		return internalapi.ReplaceReply{Verdict: internalapi.NotHead, View: n.engine.view()}
	}
	return configReply(result.Outcome)
}

func configReply(outcome state.Outcome) internalapi.ReplaceReply {
	switch outcome {
	case state.Applied, state.Repeated:
		return internalapi.ReplaceReply{Verdict: internalapi.Done, Status: http.StatusOK}
	case state.Conflict:
		return internalapi.ReplaceReply{Verdict: internalapi.Invalid, Status: http.StatusPreconditionFailed, Text: "another version is in place"}
	}
	return internalapi.ReplaceReply{Verdict: internalapi.Invalid, Status: http.StatusBadRequest, Text: "version: not higher than the one in force"}
}

// Read gives the newest configuration.
func (s *Service) Read(_ internalapi.ReadArgs, reply *internalapi.ReadReply) error {
	*reply = s.node.readHere()
	return nil
}

func (n *Node) readHere() internalapi.ReadReply {
	refused := internalapi.ReadReply{Verdict: internalapi.NotHead}
	return ask(n, time.Second, refused, func(answer func(internalapi.ReadReply)) {
		n.engine.read(func(current bool) { answer(n.readReply(current)) })
	})
}

func (n *Node) readReply(current bool) internalapi.ReadReply {
	if !current {
		return internalapi.ReadReply{Verdict: internalapi.NotHead, View: n.engine.view()}
	}
	newest := n.engine.machine.Config()
	return internalapi.ReadReply{Verdict: internalapi.Done, Version: newest.Version, Body: newest.Body}
}

// replaceAnywhere decides an order here or passes it on to the head, until it is decided or the patience is over.
func (n *Node) replaceAnywhere(args internalapi.ReplaceArgs, patience time.Duration) internalapi.ReplaceReply {
	deadline := time.Now().Add(patience)
	inDoubt := false
	for {
		reply := n.replaceHere(args, time.Until(deadline))
		if reply.Verdict == internalapi.NotHead {
			var err error
			reply, err = n.replaceAtHead(args, deadline)
			inDoubt = inDoubt || err != nil && !errors.Is(err, transport.ErrNotSent)
		}
		inDoubt = inDoubt || reply.Verdict == internalapi.InDoubt
		if reply.Verdict != internalapi.NotHead && !(inDoubt && reply.Status == http.StatusPreconditionFailed) {
			return reply
		}
		if time.Until(deadline) < 2*forwardPause {
			return undecided(inDoubt)
		}
		time.Sleep(forwardPause)
	}
}

func undecided(inDoubt bool) internalapi.ReplaceReply {
	if inDoubt {
		return internalapi.ReplaceReply{Verdict: internalapi.InDoubt, Status: http.StatusGatewayTimeout, Text: "not decided in time"}
	}
	return internalapi.ReplaceReply{Verdict: internalapi.NotHead, Status: http.StatusServiceUnavailable, Text: errNoHead.Error()}
}

func (n *Node) replaceAtHead(args internalapi.ReplaceArgs, deadline time.Time) (internalapi.ReplaceReply, error) {
	reply := internalapi.ReplaceReply{Verdict: internalapi.NotHead}
	head := n.headAddress()
	if head == "" {
		return reply, transport.ErrNotSent
	}
	err := n.client.Call(head, internalapi.MethodReplace, args, &reply, min(forwardFirst, time.Until(deadline)))
	if err != nil {
		reply = internalapi.ReplaceReply{Verdict: internalapi.NotHead}
	}
	return reply, err
}

// headAddress is where the head of the newest view takes calls, empty if that is this replica or not known.
func (n *Node) headAddress() string {
	return ask(n, time.Second, "", func(answer func(string)) {
		newest := n.engine.view()
		if !newest.Known() || newest.Head().ID == n.engine.replica.Self().ID {
			answer("")
			return
		}
		answer(newest.Head().Address)
	})
}

// readAnywhere gives the newest configuration from here or, if this replica may not show it, from the chain's tail or head.
func (n *Node) readAnywhere(patience time.Duration) internalapi.ReadReply {
	deadline := time.Now().Add(patience)
	for {
		reply := n.readHere()
		if reply.Verdict == internalapi.Done {
			return reply
		}
		for _, address := range n.readers() {
			reply = internalapi.ReadReply{}
			err := n.client.Call(address, internalapi.MethodRead, internalapi.ReadArgs{}, &reply, min(forwardFirst, time.Until(deadline)))
			if err == nil && reply.Verdict == internalapi.Done {
				return reply
			}
		}
		if time.Until(deadline) < 2*forwardPause {
			return internalapi.ReadReply{Verdict: internalapi.NotHead, Text: errNoHead.Error()}
		}
		time.Sleep(forwardPause)
	}
}

func (n *Node) readers() []string {
	return ask(n, time.Second, nil, func(answer func([]string)) {
		newest := n.engine.view()
		if !newest.Known() || len(newest.Chain) == 0 {
			answer(nil)
			return
		}
		answer([]string{newest.Tail().Address, newest.Head().Address})
	})
}
