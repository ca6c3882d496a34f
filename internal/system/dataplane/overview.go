package dataplane

import (
	"time"

	"gaugeslip/internal/system/internalapi"
)

// Service serves operators' commands over net/rpc.
type Service struct{ process *Process }

// Overview reports the dispatcher's status.
func (s *Service) Overview(_ internalapi.DispatcherOverviewArgs, reply *internalapi.DispatcherOverviewReply) error {
	*reply = s.process.overview()
	return nil
}

func (p *Process) overview() internalapi.DispatcherOverviewReply {
	directory, newest := p.directory, p.directory.View()
	reason := p.readiness.notReadyReason()
	reply := internalapi.DispatcherOverviewReply{
		Node:          p.name,
		Zone:          p.zone,
		Address:       p.server.Addr(),
		Frontend:      p.frontend.Address(),
		UptimeMs:      time.Since(directory.started).Milliseconds(),
		Ready:         reason == "",
		NotReadyFor:   reason,
		Draining:      p.readiness.draining.Load(),
		Epoch:         newest.Epoch,
		ConfigVersion: directory.ConfigVersion(),
		CoreMs:        ageMs(directory.contactAt.Load(), directory),
		HeadMs:        ageMs(directory.headContactAt.Load(), directory),
		Answers:       map[string]uint64{},
	}
	for _, member := range newest.Chain {
		reply.Chain = append(reply.Chain, member.Address)
	}
	if config := directory.Config(); config != nil {
		reply.Routes = len(config.Router.Config().Routes)
	}
	for _, count := range p.dispatcher.responseCounts.labelled() {
		reply.Answers[count.Label] = uint64(count.Value)
	}
	for _, peer := range p.node.Peers() {
		reply.Peers = append(reply.Peers, peer.Address)
	}
	return reply
}

// ageMs returns the age of a directory timestamp in milliseconds, or -1 if it was never set.
func ageMs(timestamp int64, directory *Directory) int64 {
	if timestamp == 0 {
		return -1
	}
	return directory.since(timestamp).Milliseconds()
}

// notReadyReason returns why the dispatcher isn't ready, or "" if it is.
func (r *Readiness) notReadyReason() string {
	switch {
	case r.draining.Load():
		return "it is ending"
	case r.directory.Config() == nil:
		return "it has no configuration yet"
	case !r.directory.Reachable(r.options.CoreContactTimeout):
		return "it hears of no replica that serves"
	case !r.directory.HeadReachable(r.options.HeadContactTimeout):
		return "it can't reach the head"
	case !r.directory.everUpToDate():
		return "it hasn't heard yet which configuration is the newest"
	}
	return ""
}
