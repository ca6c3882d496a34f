package state

import (
	"cmp"
	"slices"
)

// historyLimit bounds how many configurations that were in force are remembered, so that a repeated order is known. A state that
// remembers as many may have forgotten older ones, which snapshots don't tell in any other way: the number is part of their form.
const historyLimit = 1024

// Config is the configuration in force; Version 0 means none yet.
type Config struct {
	Version uint64
	Body    []byte
}

// appliedVersion is a configuration that was in force once.
type appliedVersion struct {
	version uint64
	sum     uint64
}

// CheckConfig tells what a configuration would come to now. Conflict and Stale say that it surely was never in force; what can't
// be known any more is Forgotten.
func (m *Machine) CheckConfig(next *ConfigReplaced) Outcome {
	switch {
	case m.wasApplied(next):
		return Repeated
	case m.mayBeForgotten(next):
		return Forgotten
	case next.Base != m.config.Version:
		return Conflict
	case next.Version <= m.config.Version:
		return Stale
	}
	return Applied
}

// wasApplied tells whether that very configuration is in force or was, as far as is remembered.
func (m *Machine) wasApplied(next *ConfigReplaced) bool {
	at, found := slices.BinarySearchFunc(m.history, next.Version, func(before appliedVersion, version uint64) int {
		return cmp.Compare(before.version, version)
	})
	return found && m.history[at].sum == checksum(next.Body)
}

// mayBeForgotten tells whether a configuration may have been in force before all that is remembered. Versions only rise, from base
// to version too: one with a version above the oldest remembered one would be remembered, one that doesn't rise was never taken.
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
