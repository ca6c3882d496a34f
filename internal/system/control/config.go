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
	// forwardTimeout bounds one call to the replica that may answer. forwardRetryWindow is the time in which another call may begin. It is
	// short because an operator goes on to another replica when this one cannot reach the head.
	forwardTimeout       = 500 * time.Millisecond
	forwardRetryWindow   = 400 * time.Millisecond
	forwardRetryInterval = 60 * time.Millisecond
)

// Replace handles an operator's request to replace the configuration.
func (s *Service) Replace(args internalapi.ReplaceArgs, reply *internalapi.ReplaceReply) error {
	*reply = s.node.replaceLocally(args, operatorTimeout)
	return nil
}

func (n *Node) replaceLocally(args internalapi.ReplaceArgs, timeout time.Duration) internalapi.ReplaceReply {
	return runOnLoop(n, timeout, undecidedReply(true), func(answer func(internalapi.ReplaceReply)) { n.replace(&args, answer) })
}

// replace runs on the loop. A request is rejected here only on the basis of committed state. All other requests are decided when they are
// applied, after all entries already in flight.
func (n *Node) replace(args *internalapi.ReplaceArgs, answer func(internalapi.ReplaceReply)) {
	if !n.acting() {
		answer(internalapi.ReplaceReply{Verdict: internalapi.NotHead, View: n.engine.view()})
		return
	}
	command, refusal := n.validateReplace(args)
	if refusal != nil {
		n.logConfigRefused(args, refusal)
		answer(*refusal)
		return
	}
	n.engine.propose(state.Command{Kind: state.KindConfigReplaced, ConfigReplaced: command}, func(result state.Result, status commitStatus) {
		answer(n.replaceReply(result, status))
	})
}

// logConfigRefused logs a rejected request. A repeated one is confirmed, not rejected, and is not logged.
func (n *Node) logConfigRefused(args *internalapi.ReplaceArgs, refusal *internalapi.ReplaceReply) {
	if refusal.Verdict == internalapi.Invalid {
		n.logger.Warn("configuration refused", "base", args.Base, "status", refusal.Status, "reason", refusal.Text)
	}
}

// validateReplace returns the command for a configuration that may be accepted, or the reply if it is certainly invalid or already
// accepted.
func (n *Node) validateReplace(args *internalapi.ReplaceArgs) (*state.ConfigReplaced, *internalapi.ReplaceReply) {
	parsed, err := clusterconfig.Parse(args.Body)
	if err != nil {
		return nil, &internalapi.ReplaceReply{Verdict: internalapi.Invalid, Status: http.StatusBadRequest, Text: err.Error()}
	}
	command := &state.ConfigReplaced{Base: args.Base, Version: uint64(parsed.Version), Body: args.Body}
	if outcome := n.engine.machine.CheckConfig(command); outcome != state.Applied {
		reply := configReply(outcome)
		if reply.Verdict == internalapi.Done {
			n.recordShownVersion()
		}
		return nil, &reply
	}
	return command, nil
}

func (n *Node) replaceReply(result state.Result, status commitStatus) internalapi.ReplaceReply {
	switch status {
	case statusInDoubt:
		return undecidedReply(true)
	case statusRejected:
		return internalapi.ReplaceReply{Verdict: internalapi.NotHead, View: n.engine.view()}
	}
	reply := configReply(result.Outcome)
	if reply.Verdict == internalapi.Done {
		n.recordShownVersion()
	}
	return reply
}

func configReply(outcome state.Outcome) internalapi.ReplaceReply {
	switch outcome {
	case state.Applied, state.Repeated:
		return internalapi.ReplaceReply{Verdict: internalapi.Done, Status: http.StatusOK}
	case state.Conflict:
		return internalapi.ReplaceReply{Verdict: internalapi.Invalid, Status: http.StatusPreconditionFailed, Text: "another version is in place"}
	case state.Forgotten:
		return internalapi.ReplaceReply{Verdict: internalapi.InDoubt, Status: http.StatusGatewayTimeout,
			Text: "older than all that is remembered: it may have been in place"}
	case state.BaseAhead:
		return internalapi.ReplaceReply{Verdict: internalapi.NotYet, Status: http.StatusServiceUnavailable,
			Text: "the version that it is based on is not in place yet"}
	}
	return internalapi.ReplaceReply{Verdict: internalapi.Invalid, Status: http.StatusBadRequest, Text: "version: not higher than the one in force"}
}

// Read returns the newest configuration.
func (s *Service) Read(_ internalapi.ReadArgs, reply *internalapi.ReadReply) error {
	*reply = s.node.readLocally()
	return nil
}

// readLocally returns the newest configuration acknowledged before the call, if this replica can determine it.
func (n *Node) readLocally() internalapi.ReadReply {
	refused := internalapi.ReadReply{Verdict: internalapi.NotHead}
	return runOnLoop(n, forwardTimeout, refused, func(answer func(internalapi.ReadReply)) {
		n.engine.read(func(current bool) { answer(n.readReply(current)) })
	})
}

func (n *Node) readReply(current bool) internalapi.ReadReply {
	if !current {
		return internalapi.ReadReply{Verdict: internalapi.NotHead, View: n.engine.view()}
	}
	newest := n.engine.machine.Config()
	n.checkShownVersion(newest.Version)
	return internalapi.ReadReply{Verdict: internalapi.Done, Version: newest.Version, Body: newest.Body}
}

// replaceOrForward decides a request locally or forwards it to the head, until it is decided or forwardRetryWindow is over. A request that is
// based on a version still to come is tried again, as that version may be on its way. Once a copy of the request may still be carried out,
// a precondition failure is no definite answer and is retried.
func (n *Node) replaceOrForward(args internalapi.ReplaceArgs, timeout time.Duration) internalapi.ReplaceReply {
	deadline, retryUntil := time.Now().Add(timeout), time.Now().Add(forwardRetryWindow)
	inDoubt := false
	for {
		reply := n.replaceLocally(args, time.Until(deadline))
		if reply.Verdict == internalapi.NotHead && n.isCutOff() {
			return undecidedReply(inDoubt)
		}
		if reply.Verdict == internalapi.NotHead {
			var err error
			reply, err = n.replaceAtHead(args, deadline)
			inDoubt = inDoubt || err != nil && !errors.Is(err, transport.ErrNotSent)
		}
		inDoubt = inDoubt || reply.Verdict == internalapi.InDoubt
		if isDecided(&reply, inDoubt) {
			return reply
		}
		if time.Until(retryUntil) < 2*forwardRetryInterval {
			if reply.Verdict == internalapi.NotYet && !inDoubt {
				return reply
			}
			return undecidedReply(inDoubt)
		}
		time.Sleep(forwardRetryInterval)
	}
}

// isDecided reports whether a reply is the answer to an operator's request. inDoubt is set if a copy of the request may still be carried out.
func isDecided(reply *internalapi.ReplaceReply, inDoubt bool) bool {
	switch reply.Verdict {
	case internalapi.NotHead, internalapi.NotYet:
		return false
	}
	return !inDoubt || reply.Status != http.StatusPreconditionFailed
}

// undecidedReply returns the reply to a request without a known outcome: in doubt if a copy of it may be carried out, otherwise certainly
// not carried out by this replica.
func undecidedReply(inDoubt bool) internalapi.ReplaceReply {
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
	err := n.forward(head, internalapi.MethodReplace, args, &reply, min(forwardTimeout, time.Until(deadline)))
	if err != nil {
		reply = internalapi.ReplaceReply{Verdict: internalapi.NotHead}
	}
	return reply, err
}

// headAddress returns the address of the head of the newest view. It is empty if that is this replica or if no view is known.
func (n *Node) headAddress() string {
	return runOnLoop(n, time.Second, "", func(answer func(string)) {
		newest := n.engine.view()
		if !newest.Known() || newest.Head().ID == n.engine.replica.Self().ID {
			answer("")
			return
		}
		answer(newest.Head().Address)
	})
}

// readOrForward returns the newest configuration from here or, if this replica cannot determine it, from the tail or head of the chain.
func (n *Node) readOrForward(timeout time.Duration) internalapi.ReadReply {
	deadline, retryUntil := time.Now().Add(timeout), time.Now().Add(forwardRetryWindow)
	for {
		reply := n.readLocally()
		if reply.Verdict == internalapi.Done {
			return reply
		}
		if n.isCutOff() {
			return internalapi.ReadReply{Verdict: internalapi.NotHead, Text: errNoHead.Error()}
		}
		for _, address := range n.readerAddresses() {
			reply = internalapi.ReadReply{}
			err := n.forward(address, internalapi.MethodRead, internalapi.ReadArgs{}, &reply, min(forwardTimeout, time.Until(deadline)))
			if err == nil && reply.Verdict == internalapi.Done {
				return reply
			}
		}
		if time.Until(retryUntil) < 2*forwardRetryInterval {
			return internalapi.ReadReply{Verdict: internalapi.NotHead, Text: errNoHead.Error()}
		}
		time.Sleep(forwardRetryInterval)
	}
}

func (n *Node) readerAddresses() []string {
	return runOnLoop(n, time.Second, nil, func(answer func([]string)) {
		newest := n.engine.view()
		if !newest.Known() || len(newest.Chain) == 0 {
			answer(nil)
			return
		}
		answer([]string{newest.Tail().Address, newest.Head().Address})
	})
}
