package dataplane

import (
	"net/http"

	"gaugeslip/internal/system/invariant"
	"gaugeslip/internal/system/jobspec"
)

// The invariants of a dispatcher.
const (
	// refusalIsCertain: a job is refused only where no try to hand it in may have been, or may yet be, carried out.
	refusalIsCertain invariant.Name = "refusal_is_certain"
	// acceptanceIsConfirmed: a job is answered as accepted only on the head's word.
	acceptanceIsConfirmed invariant.Name = "acceptance_is_confirmed"
	// configMatchesVersion: the configuration in force is the one that its version names.
	configMatchesVersion invariant.Name = "config_is_whole"
)

// invariantNames are all invariants of a dispatcher.
var invariantNames = []invariant.Name{refusalIsCertain, acceptanceIsConfirmed, configMatchesVersion}

// NewInvariants makes the set of a dispatcher's process; violations go to the log as errors.
func NewInvariants(logger Logger) *invariant.Set {
	return invariant.NewSet(func(name invariant.Name, detail string) {
		logger.Error(invariant.LogMessage, "name", name, "detail", detail)
	}, invariantNames...)
}

// checkSubmitted holds what an answer to a job that was handed in says against what became of the tries.
func (d *Dispatcher) checkSubmitted(id jobspec.ID, reply *response, result *coreResult) {
	refuses := reply.status != http.StatusOK && reply.status != http.StatusGatewayTimeout
	if refuses && result.inDoubt {
		d.options.Invariants.Violated(refusalIsCertain, "job %s is answered %d after a try that may be carried out", id, reply.status)
	}
	if reply.status == http.StatusOK && result.reply == nil {
		d.options.Invariants.Violated(acceptanceIsConfirmed, "job %s is answered %d without the head's word", id, reply.status)
	}
}

// checkConfiguration holds that the configuration in force is the one that its version names.
func (p *Process) checkConfiguration(config *Configuration) {
	if parsed := config.Router.Config(); uint64(parsed.Version) != config.Version {
		p.options.Invariants.Violated(configMatchesVersion, "version %d has the body of %d", config.Version, parsed.Version)
	}
}
