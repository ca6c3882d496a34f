package gossip

import "time"

const (
	// pullTimeout is how long after a request for a value it is not requested from another peer. The transfer time of its data is added.
	pullTimeout = time.Second
	// pullRate is the bandwidth in bytes per second from which the transfer time is computed.
	pullRate = 64 << 10
)

// TransferTime returns how long the transfer of the bytes may take on a slow link, in addition to the usual time of a call.
func TransferTime(bytes int) time.Duration {
	return time.Duration(bytes) * time.Second / pullRate
}

// pulls holds the requested values that have not arrived yet, so that a long value is requested only once.
type pulls map[Key]pull

type pull struct {
	version  Version
	deadline time.Duration
}

// start records a pull. It returns false if a pull of the same or a newer version is pending.
func (p pulls) start(now time.Duration, wanted KeyVersion) bool {
	if pending, ok := p[wanted.Key]; ok && now < pending.deadline && !wanted.Version.Newer(pending.version) {
		return false
	}
	p[wanted.Key] = pull{version: wanted.Version, deadline: now + pullTimeout + TransferTime(int(wanted.Size))}
	return true
}

// complete ends the pull that the value answers.
func (p pulls) complete(value Value) {
	if pending, ok := p[value.Key]; ok && !pending.version.Newer(value.Version) {
		delete(p, value.Key)
	}
}

// cancel ends a pull that will not be answered.
func (p pulls) cancel(wanted KeyVersion) {
	if p[wanted.Key].version == wanted.Version {
		delete(p, wanted.Key)
	}
}
