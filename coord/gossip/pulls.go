package gossip

import "time"

const (
	// pullTimeout is how long a value that was asked for isn't asked for elsewhere, were it empty.
	pullTimeout = time.Second
	// pullRate is the bandwidth, in bytes a second, that a pull is given time for.
	pullRate = 64 << 10
)

// TransferTime is how long a transfer of bytes may take on a slow link, besides the call's usual time.
func TransferTime(bytes int) time.Duration {
	return time.Duration(bytes) * time.Second / pullRate
}

// pulls are the values that were asked for and haven't come, so that a long one is sent once only.
type pulls map[Key]pull

type pull struct {
	version  Version
	deadline time.Duration
}

// start notes a pull unless the same version, or a newer one, is on its way.
func (p pulls) start(now time.Duration, wanted KeyVersion) bool {
	if pending, ok := p[wanted.Key]; ok && now < pending.deadline && !wanted.Version.Newer(pending.version) {
		return false
	}
	p[wanted.Key] = pull{version: wanted.Version, deadline: now + pullTimeout + TransferTime(int(wanted.Size))}
	return true
}

// complete ends the pull that a value answers.
func (p pulls) complete(value Value) {
	if pending, ok := p[value.Key]; ok && !pending.version.Newer(value.Version) {
		delete(p, value.Key)
	}
}

// cancel ends a pull that won't be answered.
func (p pulls) cancel(wanted KeyVersion) {
	if p[wanted.Key].version == wanted.Version {
		delete(p, wanted.Key)
	}
}
