package budget

import (
	"math"
	"sync"
	"time"
)

// Account is a budget that a process uses.
type Account struct {
	Name      string
	PerSecond float64 // of the whole budget
	Burst     float64 // of the whole budget
	Keyed     bool    // each key, such as a host, has a budget of its own
}

// AccountStatus is the state of an Account.
type AccountStatus struct {
	Name    string  `json:"budget"`
	Whole   float64 `json:"whole_per_second"`
	Keyed   bool    `json:"for_each_key,omitempty"`
	Floor   float64 `json:"floor"` // as shares of the whole
	Owned   float64 `json:"owned"`
	EndsMS  int64   `json:"ends_in_ms,omitempty"` // of the part beyond the floor
	Epoch   uint32  `json:"epoch"`
	Used    uint64  `json:"used"`
	Refused uint64  `json:"refused"` // for lack of budget
}

// maxKeys limits the keys of an account. Beyond it all buckets are dropped and start empty, which never allows too much.
const maxKeys = 4096

// Ledger holds the shares that a process has of each account, and takes uses from them. It has no shares until SetShare. It is safe
// for concurrent use. A use allocates no memory.
type Ledger struct {
	drift    float64
	mu       sync.Mutex
	accounts []*accountState
}

type accountState struct {
	Account
	share         Share
	single        TokenBucket
	keys          map[uint64]*TokenBucket
	used, refused uint64
	demand        float64 // recent uses per second, by decaying average
	demandAt      time.Duration
}

// NewLedger returns a ledger for clocks that run at most by drift too fast: rates are reduced by that much.
func NewLedger(accounts []Account, drift float64) *Ledger {
	l := &Ledger{drift: drift}
	for _, a := range accounts {
		l.accounts = append(l.accounts, &accountState{Account: a, single: l.newBucket(&a), keys: map[uint64]*TokenBucket{}})
	}
	return l
}

func (l *Ledger) newBucket(a *Account) TokenBucket {
	return TokenBucket{PerSecond: a.PerSecond / (1 + l.drift), Burst: a.Burst}
}

// Accounts returns the number of accounts.
func (l *Ledger) Accounts() int { return len(l.accounts) }

// SetShare changes the process's share of an account.
func (l *Ledger) SetShare(now time.Duration, account int, s Share) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.accounts[account]
	p.share = s
	p.single.SetShare(now, s)
	for _, r := range p.keys {
		r.SetShare(now, s)
	}
}

// bucket returns the bucket of a key. The caller holds the lock.
func (l *Ledger) bucket(now time.Duration, p *accountState, key uint64) *TokenBucket {
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
		r.SetShare(now, p.share)
		p.keys[key] = r
	}
	return r
}

// demandDecay is the time constant of the average demand.
const demandDecay = time.Second

func (p *accountState) decayDemand(now time.Duration) {
	if now > p.demandAt {
		p.demand *= math.Exp(-float64(now-p.demandAt) / float64(demandDecay))
		p.demandAt = now
	}
}

// Take uses one unit of an account at a time. If ok is false, nothing is left; after is then the time until there is, if the share
// stays as it is, or negative if that is not known.
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
	return false, r.TimeUntil(now, 1)
}

// ExtraDemand stores in want the units to request of each account beyond a floor.
func (l *Ledger) ExtraDemand(now time.Duration, floor Units, want []Units) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, p := range l.accounts {
		p.decayDemand(now)
		whole := p.PerSecond
		if p.Keyed {
			whole *= float64(max(len(p.keys), 1))
		}
		want[i] = ExtraDemand(p.demand/demandDecay.Seconds(), whole, floor)
	}
}

// Status returns the state of all accounts at a time.
func (l *Ledger) Status(now time.Duration) []AccountStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]AccountStatus, 0, len(l.accounts))
	for _, p := range l.accounts {
		f := AccountStatus{Name: p.Name, Whole: p.PerSecond, Keyed: p.Keyed, Floor: scaled(p.share.Floor, 1), Owned: scaled(p.share.At(now), 1),
			Epoch: p.share.Epoch, Used: p.used, Refused: p.refused}
		if now < p.share.Until {
			f.EndsMS = (p.share.Until - now).Milliseconds()
		}
		all = append(all, f)
	}
	return all
}
