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

// AccountStatus is an Account as it stands.
type AccountStatus struct {
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

// mostKeys bounds the keys of an account. Beyond it all begin anew, empty, which never uses too much.
const mostKeys = 4096

// Ledger holds what a process owns of each account, and pays from it. It owns nothing until it is told. Its methods may be called
// from any goroutine; a use costs no allocation.
type Ledger struct {
	drift float64
	mu    sync.Mutex
	all   []*purse
}

type purse struct {
	Account
	share         Share
	one           TokenBucket
	keys          map[uint64]*TokenBucket
	used, refused uint64
	asked         float64 // a second, lately
	askedAt       time.Duration
}

// NewLedger makes one, for clocks that run at most by drift too fast: by that much less is used.
func NewLedger(accounts []Account, drift float64) *Ledger {
	l := &Ledger{drift: drift}
	for _, a := range accounts {
		l.all = append(l.all, &purse{Account: a, one: l.rate(&a), keys: map[uint64]*TokenBucket{}})
	}
	return l
}

func (l *Ledger) rate(a *Account) TokenBucket {
	return TokenBucket{PerSecond: a.PerSecond / (1 + l.drift), Burst: a.Burst}
}

// Accounts is how many there are.
func (l *Ledger) Accounts() int { return len(l.all) }

// SetShare changes what the process owns of an account.
func (l *Ledger) SetShare(now time.Duration, account int, s Share) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.all[account]
	p.share = s
	p.one.SetShare(now, s)
	for _, r := range p.keys {
		r.SetShare(now, s)
	}
}

// of is the bucket of a key. The lock is held.
func (l *Ledger) of(now time.Duration, p *purse, key uint64) *TokenBucket {
	if !p.Keyed {
		return &p.one
	}
	r := p.keys[key]
	if r == nil {
		if len(p.keys) >= mostKeys {
			clear(p.keys)
		}
		fresh := l.rate(&p.Account)
		r = &fresh
		r.SetShare(now, p.share)
		p.keys[key] = r
	}
	return r
}

// lately is how fast demand is forgotten: to 1/e in this time.
const lately = time.Second

func (p *purse) ask(now time.Duration) {
	if now > p.askedAt {
		p.asked *= math.Exp(-float64(now-p.askedAt) / float64(lately))
		p.askedAt = now
	}
}

// Take uses one of an account at a time. False: there is none, and after tells when there will be, if the share stays; negative:
// it is not known.
func (l *Ledger) Take(now time.Duration, account int, key uint64) (ok bool, after time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.all[account]
	p.ask(now)
	p.asked++
	r := l.of(now, p, key)
	if r.Take(now, 1) {
		p.used++
		return true, 0
	}
	p.refused++
	return false, r.TimeUntil(now, 1)
}

// ExtraDemand puts into want what is asked for of each account beyond a floor.
func (l *Ledger) ExtraDemand(now time.Duration, floor Units, want []Units) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, p := range l.all {
		p.ask(now)
		whole := p.PerSecond
		if p.Keyed {
			whole *= float64(max(len(p.keys), 1))
		}
		want[i] = ExtraDemand(p.asked/lately.Seconds(), whole, floor)
	}
}

// Status tells how all accounts stand at a time.
func (l *Ledger) Status(now time.Duration) []AccountStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]AccountStatus, 0, len(l.all))
	for _, p := range l.all {
		f := AccountStatus{Name: p.Name, Whole: p.PerSecond, Keyed: p.Keyed, Floor: part(p.share.Floor, 1), Owned: part(p.share.At(now), 1),
			Epoch: p.share.Epoch, Used: p.used, Refused: p.refused}
		if now < p.share.Until {
			f.EndsMS = (p.share.Until - now).Milliseconds()
		}
		all = append(all, f)
	}
	return all
}
