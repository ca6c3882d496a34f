package dataplane

import (
	"net/http"

	"gaugeslip/internal/system/invariant"
	"gaugeslip/internal/system/jobspec"
)

// Invariants of a dispatcher.
const (
	// refusalIsCertain: a job is refused only if no attempt to submit it may have been, or may yet be, executed.
	refusalIsCertain invariant.Name = "refusal_is_certain"
	// acceptanceIsConfirmed: a job is reported as accepted only after the head confirmed it.
	acceptanceIsConfirmed invariant.Name = "acceptance_is_confirmed"
	// configMatchesVersion: the body of the configuration in use states the version under which it is known.
	configMatchesVersion invariant.Name = "config_is_whole"
)

// invariantNames lists all invariants of a dispatcher.
var invariantNames = []invariant.Name{refusalIsCertain, acceptanceIsConfirmed, configMatchesVersion}

// NewInvariants returns the invariants of a dispatcher process. Violations are logged as errors.
func NewInvariants(logger Logger) *invariant.Set {
	return invariant.NewSet(func(name invariant.Name, detail string) {
		logger.Error(invariant.LogMessage, "name", name, "detail", detail)
	}, invariantNames...)
}

// checkSubmitted checks the response to a job submission against the outcomes of the calls.
func (d *Dispatcher) checkSubmitted(id jobspec.ID, reply *response, result *coreResult) {
	refuses := reply.status != http.StatusOK && reply.status != http.StatusGatewayTimeout
	if refuses && result.inDoubt {
		d.options.Invariants.Violated(refusalIsCertain, "job %s was answered %d although a call may still be executed", id, reply.status)
	}
	if reply.status == http.StatusOK && result.reply == nil {
		d.options.Invariants.Violated(acceptanceIsConfirmed, "job %s was answered %d without a reply of the head", id, reply.status)
	}
}

// checkConfiguration checks that the body of the configuration in use states its version.
func (p *Process) checkConfiguration(config *Configuration) {
	if parsed := config.Router.Config(); uint64(parsed.Version) != config.Version {
		p.options.Invariants.Violated(configMatchesVersion, "configuration %d has the body of version %d", config.Version, parsed.Version)
	}
}
