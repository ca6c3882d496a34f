package state

import (
	"cmp"
	"slices"
)

// historyLimit bounds how many past configurations are remembered to recognize a repeated change. A full history may have lost older
// versions, and a snapshot shows this only by the history's length. The limit is therefore part of the snapshot format.
const historyLimit = 1024

// Config is the configuration in force. Version 0 means that there is none yet.
type Config struct {
	Version uint64
	Body    []byte
}

// appliedVersion identifies a configuration that is or was in force.
type appliedVersion struct {
	version uint64
	sum     uint64
}

// CheckConfig returns the outcome that a configuration change would have now. Conflict and Stale are final: the change was never in force and
// no copy of it can be applied later, because versions only rise. BaseAhead is not: the change was never in force, but a copy of it can be
// applied once its base is. If it can't be determined any more whether the change was in force, the outcome is Forgotten.
func (m *Machine) CheckConfig(next *ConfigReplaced) Outcome {
	switch {
	case m.wasApplied(next):
		return Repeated
	case m.mayBeForgotten(next):
		return Forgotten
	case next.Base > m.config.Version && next.Version > next.Base:
		return BaseAhead
	case next.Base != m.config.Version:
		return Conflict
	case next.Version <= m.config.Version:
		return Stale
	}
	return Applied
}

// wasApplied reports whether exactly this configuration is in force or was in force, as far as the history reaches.
func (m *Machine) wasApplied(next *ConfigReplaced) bool {
	at, found := slices.BinarySearchFunc(m.history, next.Version, func(past appliedVersion, version uint64) int {
		return cmp.Compare(past.version, version)
	})
	return found && m.history[at].sum == checksum(next.Body)
}

// mayBeForgotten reports whether a configuration may have been in force before the oldest remembered one. Versions only rise, also from
// base to version. So a version above the oldest remembered one would be in the history, and one not above its base was never applied.
func (m *Machine) mayBeForgotten(next *ConfigReplaced) bool {
	if len(m.history) < historyLimit {
		return false
	}
	return next.Base < next.Version && next.Version < m.history[0].version
}

func (m *Machine) replaceConfig(next *ConfigReplaced) Outcome {
	outcome := m.CheckConfig(next)
	if outcome != Applied {
		return outcome
	}
	m.config = Config{Version: next.Version, Body: next.Body}
	m.history = append(m.history, appliedVersion{version: next.Version, sum: checksum(next.Body)})
	if len(m.history) > historyLimit {
		m.history = m.history[len(m.history)-historyLimit:]
	}
	m.configureQuotas()
	return Applied
}
