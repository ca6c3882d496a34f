package dataplane

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"gaugeslip/internal/pause"
	"gaugeslip/internal/system/internalapi"
)

// pollsPerRound is the number of polls in a round: one starts with the seeds, two with the head and one with another replica of
// the chain.
const pollsPerRound = 4

// Poller polls the core for newer views and configurations, at intervals and on request. The polls also show whether the core is
// reachable.
type Poller struct {
	caller       Caller
	directory    *Directory
	options      Options
	seeds        atomic.Pointer[[]string]
	pollRequests chan struct{}
	polls        int
	// onError receives errors about data that could not be used.
	onError func(error)
}

// NewPoller returns a poller. The seeds are internal addresses of a few replicas. onError must not block.
func NewPoller(caller Caller, directory *Directory, seeds []string, onError func(error), options Options) *Poller {
	p := &Poller{
		caller:       caller,
		directory:    directory,
		options:      options.withDefaults(),
		pollRequests: make(chan struct{}, 1),
		polls:        rand.IntN(1 << 16),
		onError:      onError,
	}
	p.SetSeeds(seeds)
	return p
}

// SetSeeds replaces the seeds.
func (p *Poller) SetSeeds(seeds []string) {
	kept := slices.Clone(seeds)
	p.seeds.Store(&kept)
}

// RequestPoll asks for a poll soon. It never blocks.
func (p *Poller) RequestPoll() {
	select {
	case p.pollRequests <- struct{}{}:
	default:
	}
}

// Run polls until the context ends.
func (p *Poller) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-p.pollRequests:
		}
		p.Poll()
		if pause.For(ctx, p.options.MinPollGap) != nil {
			return
		}
		timer.Reset(p.interval())
	}
}

// interval returns the time until the next poll, varied at random so that the dispatchers' polls don't coincide.
func (p *Poller) interval() time.Duration {
	return p.options.PollInterval*3/4 + rand.N(p.options.PollInterval/2) - p.options.MinPollGap
}

// Poll asks replicas one after the other until a serving one has replied.
func (p *Poller) Poll() {
	p.polls++
	candidates, first := p.candidates()
	for offset := range candidates {
		if p.pollReplica(candidates[(first+offset)%len(candidates)]) {
			return
		}
	}
}

// candidates returns the addresses that this poll may ask, and the index of the first one.
func (p *Poller) candidates() (addresses []string, first int) {
	round, turn := p.polls/pollsPerRound, p.polls%pollsPerRound
	chain := p.directory.View().Chain
	switch {
	case turn == 0 || len(chain) == 0:
		return *p.seeds.Load(), round
	case turn == 2 && len(chain) > 1:
		first = 1 + round%(len(chain)-1)
	}
	addresses = make([]string, len(chain))
	for index := range chain {
		addresses[index] = chain[index].Address
	}
	return addresses, first
}

// pollReplica polls one replica and fetches newer data from it. It reports whether the replica is serving.
func (p *Poller) pollReplica(address string) bool {
	var digest internalapi.DigestReply
	err := p.caller.Call(address, internalapi.MethodDigest, &internalapi.DigestArgs{}, &digest, p.options.PollTimeout)
	if err != nil {
		return false
	}
	p.directory.RecordReply(address)
	if digest.Serving {
		p.directory.RecordContact()
	}
	if p.isNewer(&digest) {
		p.fetch(address)
	}
	if digest.Serving {
		p.directory.RecordCurrent(digest.ConfigVersion)
	}
	return digest.Serving
}

func (p *Poller) isNewer(digest *internalapi.DigestReply) bool {
	known := p.directory.View()
	if !known.Known() || digest.Epoch > known.Epoch {
		return true
	}
	return digest.ConfigVersion > p.directory.ConfigVersion()
}

func (p *Poller) fetch(address string) {
	known := p.directory.View()
	args := internalapi.FetchArgs{
		Epoch:         known.Epoch,
		ConfigVersion: p.directory.ConfigVersion(),
		HasView:       known.Known(),
	}
	var reply internalapi.FetchReply
	if err := p.caller.Call(address, internalapi.MethodFetch, &args, &reply, p.options.PollTimeout); err != nil {
		return
	}
	p.directory.LearnView(reply.View)
	if len(reply.Config) == 0 {
		return
	}
	if _, err := p.directory.LearnConfig(reply.ConfigVersion, reply.Config); err != nil {
		p.onError(err)
	}
}
