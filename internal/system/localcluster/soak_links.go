package localcluster

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"gaugeslip/internal/pause"
	"gaugeslip/internal/system/localcluster/relay"
)

const (
	maxDelay             = 500 * time.Millisecond
	cutWorkerShare       = 0.4 // share of the workers that are cut off
	minLossProbability   = 0.05
	lossProbabilityRange = 0.4
	minResetShare        = 0.3
)

// applyRule keeps a rule in force for a while.
func (s *soakRun) applyRule(ctx context.Context, rule relay.Rule, length time.Duration) {
	remove := s.relay.Add(rule)
	defer remove()
	_ = pause.For(ctx, length)
}

// replicaHosts returns the hosts of the replicas.
func (s *soakRun) replicaHosts() []string {
	hosts := make([]string, len(s.cluster.replicas))
	for i := range hosts {
		hosts[i] = s.cluster.plan.layout.replica(i).String()
	}
	return hosts
}

// between matches the links in both directions between two groups of hosts.
func between(group, other []string) func(relay.Link) bool {
	return func(link relay.Link) bool {
		return slices.Contains(group, link.From) && slices.Contains(other, link.To) ||
			slices.Contains(other, link.From) && slices.Contains(group, link.To)
	}
}

// without returns a copy of the list without an item.
func without(list []string, item string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(candidate string) bool { return candidate == item })
}

func (s *soakRun) cutReplica(ctx context.Context, random *rand.Rand, length time.Duration) {
	hosts := s.replicaHosts()
	host := hosts[random.IntN(len(hosts))]
	s.applyRule(ctx, relay.Rule{Matches: between([]string{host}, without(hosts, host)), Effect: relay.Effect{Cut: true}}, length)
}

func (s *soakRun) cutReplicaOneWay(ctx context.Context, random *rand.Rand, length time.Duration) {
	hosts := s.replicaHosts()
	host, out := hosts[random.IntN(len(hosts))], random.IntN(2) == 0
	s.applyRule(ctx, relay.Rule{Effect: relay.Effect{Cut: true}, Matches: func(link relay.Link) bool {
		if out {
			return link.From == host && slices.Contains(hosts, link.To)
		}
		return link.To == host && slices.Contains(hosts, link.From)
	}}, length)
}

// splitCore partitions the replicas into two halves. All other hosts still reach both.
func (s *soakRun) splitCore(ctx context.Context, random *rand.Rand, length time.Duration) {
	hosts := s.replicaHosts()
	random.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	half := len(hosts) / 2
	s.applyRule(ctx, relay.Rule{Matches: between(hosts[:half], hosts[half:]), Effect: relay.Effect{Cut: true}}, length)
}

// randomWorkerAddresses returns the addresses of a random share of the workers.
func (s *soakRun) randomWorkerAddresses(random *rand.Rand, share float64) (addresses []string) {
	for _, worker := range s.cluster.fleet.workers {
		if random.Float64() < share {
			addresses = append(addresses, worker.Address())
		}
	}
	return addresses
}

// cutFromWorkers cuts some workers off from all replicas or from the first one. It may cut only the direction of the answers.
func (s *soakRun) cutFromWorkers(ctx context.Context, random *rand.Rand, length time.Duration) {
	addresses := s.randomWorkerAddresses(random, cutWorkerShare)
	from := s.replicaHosts()
	if random.IntN(2) == 0 {
		from = from[:1]
	}
	answersOnly := random.IntN(3) == 0
	s.applyRule(ctx, relay.Rule{Effect: relay.Effect{Cut: true}, Matches: func(link relay.Link) bool {
		client := link.From
		if link.Answers {
			client = link.To
		}
		return slices.Contains(addresses, link.Target) && slices.Contains(from, client) && (link.Answers || !answersOnly)
	}}, length)
}

func (s *soakRun) cutDispatcher(ctx context.Context, random *rand.Rand, length time.Duration) {
	host := s.cluster.plan.layout.dispatcher(random.IntN(len(s.cluster.dispatchers))).String()
	s.applyRule(ctx, relay.Rule{Matches: between([]string{host}, s.replicaHosts()), Effect: relay.Effect{Cut: true}}, length)
}

// randomLinks draws a class of links: between replicas and hosts other than the workers, from and to the workers, among the replicas,
// from and to the operator, or from and to the clients.
func (s *soakRun) randomLinks(random *rand.Rand) func(relay.Link) bool {
	replicas := s.replicaHosts()
	inCore := func(host string) bool { return slices.Contains(replicas, host) }
	switch random.IntN(5) {
	case 0:
		return func(link relay.Link) bool {
			return inCore(link.From) != inCore(link.To) && serverHost(link) != workerHost
		}
	case 1:
		return func(link relay.Link) bool { return serverHost(link) == workerHost }
	case 2:
		return func(link relay.Link) bool { return inCore(link.From) && inCore(link.To) }
	case 3:
		return func(link relay.Link) bool { return link.From == operatorHost || link.To == operatorHost }
	}
	return func(link relay.Link) bool { return link.From == soakHost || link.To == soakHost }
}

// workerHost is the host on which all hollow workers listen.
const workerHost = "127.0.0.1"

// serverHost returns the host that was dialled.
func serverHost(link relay.Link) string {
	if link.Answers {
		return link.From
	}
	return link.To
}

func (s *soakRun) loseAnswers(ctx context.Context, random *rand.Rand, length time.Duration) {
	s.applyRule(ctx, relay.Rule{Matches: s.randomLinks(random), Effect: relay.Effect{LossProbability: minLossProbability + lossProbabilityRange*random.Float64()}}, length)
}

func (s *soakRun) delay(ctx context.Context, random *rand.Rand, length time.Duration) {
	by := time.Duration(random.Int64N(int64(maxDelay)))
	s.applyRule(ctx, relay.Rule{Matches: s.randomLinks(random), Effect: relay.Effect{Delay: by}}, length)
}

func (s *soakRun) resetConnections(_ context.Context, random *rand.Rand, _ time.Duration) {
	s.relay.Reset(s.randomLinks(random), minResetShare+(1-minResetShare)*random.Float64())
}
