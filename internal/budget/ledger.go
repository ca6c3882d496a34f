package budget

import (
	"math"
	"sync"
	"time"
)

// Account is one budget that a process uses.
type Account struct {
	Name      string
	PerSecond float64 // of the whole
	Burst     float64 // of the whole
	Keyed     bool    // there is as much for each key: for each host, say
}

// Figure is an Account as it stands.
type Figure struct {
	Name    string  `json:"budget"`
	Whole   float64 `json:"whole_per_second"`
	Keyed   bool    `json:"for_each_key,omitempty"`
	Floor   float64 `json:"floor"` // shares of the whole
	Owned   float64 `json:"owned"`
	EndsMS  int64   `json:"ends_in_ms,omitempty"` // of what is beyond the floor
	Epoch   uint32  `json:"epoch"`
	Used    uint64  `json:"used"`
	Refused uint64  `json:"refused"` // for want of it
}

// maxKeys bounds the keys of an account. Beyond it all begin anew, empty, which never uses too much.
const maxKeys = 4096

// Ledger holds what a process owns of each account, and pays from it. It owns nothing until it is told. Its methods may be called
// from any goroutine; a use costs no allocation.
type Ledger struct {
	drift    float64
	mu       sync.Mutex
	accounts []*accountState
}

type accountState struct {
	Account
	share         Share
	single        Rate
	keys          map[uint64]*Rate
	used, refused uint64
	demand        float64 // a second, lately
	demandAt      time.Duration
}

// NewLedger makes one, for clocks that run at most by drift too fast: by that much less is used.
func NewLedger(accounts []Account, drift float64) *Ledger {
	l := &Ledger{drift: drift}
	for _, a := range accounts {
		l.accounts = append(l.accounts, &accountState{Account: a, single: l.newBucket(&a), keys: map[uint64]*Rate{}})
	}
	return l
}

func (l *Ledger) newBucket(a *Account) Rate {
	return Rate{PerSecond: a.PerSecond / (1 + l.drift), Burst: a.Burst}
}

// Accounts is how many there are.
func (l *Ledger) Accounts() int { return len(l.accounts) }

// Own changes what the process owns of an account.
func (l *Ledger) Own(now time.Duration, account int, s Share) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.accounts[account]
	p.share = s
	p.single.Own(now, s)
	for _, r := range p.keys {
		r.Own(now, s)
	}
}

// bucket is the bucket of a key. The lock is held.
func (l *Ledger) bucket(now time.Duration, p *accountState, key uint64) *Rate {
	if !p.Keyed {
		return &p.single
	}
	r := p.keys[key]
	if r == nil {
		if len(p.keys) >= maxKeys {
			clear(p.keys)
		}
		fresh := l.newBucket(&p.Account)
		r = &fresh
		r.Own(now, p.share)
		p.keys[key] = r
	}
	return r
}

// demandDecay is how fast demand is forgotten: to 1/e in this time.
const demandDecay = time.Second

func (p *accountState) decayDemand(now time.Duration) {
	if now > p.demandAt {
		p.demand *= math.Exp(-float64(now-p.demandAt) / float64(demandDecay))
		p.demandAt = now
	}
}

// Take uses one of an account at a time. False: there is none, and after tells when there will be, if the share stays; negative:
// it is not known.
func (l *Ledger) Take(now time.Duration, account int, key uint64) (ok bool, after time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.accounts[account]
	p.decayDemand(now)
	p.demand++
	r := l.bucket(now, p, key)
	if r.Take(now, 1) {
		p.used++
		return true, 0
	}
	p.refused++
	return false, r.In(now, 1)
}

// Wanted puts into want what is asked for of each account beyond a floor.
func (l *Ledger) Wanted(now time.Duration, floor Units, want []Units) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, p := range l.accounts {
		p.decayDemand(now)
		whole := p.PerSecond
		if p.Keyed {
			whole *= float64(max(len(p.keys), 1))
		}
		want[i] = Wanted(p.demand/demandDecay.Seconds(), whole, floor)
	}
}

// Figures tells how all accounts stand at a time.
func (l *Ledger) Figures(now time.Duration) []Figure {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]Figure, 0, len(l.accounts))
	for _, p := range l.accounts {
		f := Figure{Name: p.Name, Whole: p.PerSecond, Keyed: p.Keyed, Floor: scaled(p.share.Floor, 1), Owned: scaled(p.share.At(now), 1),
			Epoch: p.share.Epoch, Used: p.used, Refused: p.refused}
		if now < p.share.Until {
			f.EndsMS = (p.share.Until - now).Milliseconds()
		}
		all = append(all, f)
	}
	return all
}
