package localcluster

import (
	"time"
)

// The roles for which costs are reported.
const (
	roleHead             = "head"
	roleOtherReplica     = "other replica"
	roleDispatcher       = "dispatcher"
	roleHollowDispatcher = "hollow dispatcher"
)

// RoleCost is the resource usage of a role over a span of time: the mean over its processes.
type RoleCost struct {
	Role      string  `json:"role"`
	Processes int     `json:"processes"` // or dispatchers, if one process runs several
	Cores     float64 `json:"cores"`     // CPU seconds per second
	Waited    float64 `json:"waited"`    // seconds per second that threads waited for a core; it shows the load of the machine
	// ResidentMb is measured at the end of the span. PeakMb is the largest peak of any of the role's processes.
	ResidentMb     float64 `json:"resident_mb"`
	PeakMb         float64 `json:"peak_mb"`
	ReceivedKBs    float64 `json:"received_kb_s"` // sockets and files
	SentKBs        float64 `json:"sent_kb_s"`     // sockets and files
	ReadsPerS      float64 `json:"reads_s"`       // system calls
	WritesPerS     float64 `json:"writes_s"`      // system calls
	Threads, Files float64
}

const megabyte = 1 << 20

func newRoleCost(role string, processes int, used Usage, span time.Duration) RoleCost {
	count := float64(processes)
	seconds := span.Seconds() * count
	return RoleCost{
		Role:        role,
		Processes:   processes,
		Cores:       used.Processor.Seconds() / seconds,
		Waited:      used.Waited.Seconds() / seconds,
		ResidentMb:  float64(used.Resident) / megabyte / count,
		PeakMb:      float64(used.Peak) / megabyte,
		ReceivedKBs: float64(used.Received) / kilobyte / seconds,
		SentKBs:     float64(used.Sent) / kilobyte / seconds,
		ReadsPerS:   float64(used.Reads) / seconds,
		WritesPerS:  float64(used.Writes) / seconds,
		Threads:     float64(used.Threads) / count,
		Files:       float64(used.Files) / count,
	}
}

// usageSample is the usage of all processes at one time.
type usageSample struct {
	at          time.Duration
	replicas    []Usage
	dispatchers []Usage
	hollow      Usage
}

func (c *Cluster) sampleUsage() usageSample {
	sample := usageSample{at: c.tracker.now()}
	for _, child := range c.replicas {
		sample.replicas = append(sample.replicas, child.usage())
	}
	for _, child := range c.dispatchers {
		sample.dispatchers = append(sample.dispatchers, child.usage())
	}
	if c.hollow != nil {
		sample.hollow = c.hollow.usage()
	}
	return sample
}

// roleCosts returns the cost of each role between two samples. head is the index of the head's replica, or -1 if it is not known.
func (c *Cluster) roleCosts(before, after usageSample, head int) []RoleCost {
	span := after.at - before.at
	var costs []RoleCost
	var others Usage
	for i := range after.replicas {
		used := after.replicas[i].since(before.replicas[i])
		if i == head {
			costs = append(costs, newRoleCost(roleHead, 1, used, span))
			continue
		}
		others = others.plus(used)
	}
	if count := len(after.replicas) - len(costs); count > 0 {
		costs = append(costs, newRoleCost(roleOtherReplica, count, others, span))
	}
	var dispatchers Usage
	for i := range after.dispatchers {
		dispatchers = dispatchers.plus(after.dispatchers[i].since(before.dispatchers[i]))
	}
	costs = append(costs, newRoleCost(roleDispatcher, len(after.dispatchers), dispatchers, span))
	if c.hollow != nil {
		costs = append(costs, newRoleCost(roleHollowDispatcher, c.options.HollowDispatchers, after.hollow.since(before.hollow), span))
	}
	return costs
}
