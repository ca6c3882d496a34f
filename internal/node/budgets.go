package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"syscall"
	"time"

	"gaugeslip/internal/budget"
	"gaugeslip/internal/config"
	"gaugeslip/internal/dispatch"
	"gaugeslip/internal/net/cluster"
	"gaugeslip/internal/net/operators"
	"gaugeslip/internal/net/peers"
	"gaugeslip/internal/operatorsettings"
	"gaugeslip/internal/pause"
)

// budgets holds this process's shares of the budgets of the whole fleet.
type budgets struct {
	ledger     *budget.Ledger
	gate       *dispatch.BudgetGate
	lists      int // account of calls for the host list; -1: they are not limited
	now        func() time.Duration
	path       string       // of the lock file
	peers      *peers.Peers // nil: shares are not leased
	equalShare budget.Share // share of each member if shares are not leased
	stop       func()       // ends hold
	done       chan struct{}
}

// newBudgets creates the budgets that the settings ask for; nil if there are none. No share is owned yet.
func newBudgets(cfg *config.Config, own *operatorsettings.Settings, now func() time.Duration, metrics *operators.Metrics) *budgets {
	if own.Budgets == nil {
		return nil
	}
	policy := &cfg.Settings.Policy
	drift, members := 0.0, max(policy.Replicas, 1)
	if own.Budgets.Way == budget.LeasedShares {
		drift, members = own.Peers.Drift, len(own.Peers.Members)
	}
	accounts, gate, lists := dispatch.BudgetAccounts(own.Budgets, policy)
	b := &budgets{ledger: budget.NewLedger(accounts, drift), lists: lists, now: now, done: make(chan struct{}),
		path: operators.StateFilePath(os.TempDir(), cfg.Name, "share"), equalShare: budget.EqualShare(members)}
	b.gate = gate(b.ledger)
	if own.Budgets.Way == budget.LeasedShares {
		b.peers = peers.New(peers.Config{Limits: *own.Peers, Self: policy.Ordinal, Floor: own.Budgets.FloorUnits(members), Ledger: b.ledger,
			Now: now, Life: rand.Uint64() | 1})
		for _, state := range []string{"alive", "silent", "left"} {
			metrics.LabelledFunc("members", "Dispatchers by what membership has of them.", "state", state, func() float64 { return b.peers.Count(state) })
		}
	}
	for i, f := range b.ledger.Status(now()) {
		for name, x := range map[string]struct {
			help string
			of   func(budget.AccountStatus) float64
		}{
			"budget_whole":         {"What the whole fleet may use a second.", func(f budget.AccountStatus) float64 { return f.Whole }},
			"budget_owned":         {"Share of the whole that this process owns.", func(f budget.AccountStatus) float64 { return f.Owned }},
			"budget_used_total":    {"Uses by this process, since the start.", func(f budget.AccountStatus) float64 { return float64(f.Used) }},
			"budget_refused_total": {"Uses refused for want of a share, since the start.", func(f budget.AccountStatus) float64 { return float64(f.Refused) }},
			"budget_epoch":         {"Rises with each change of the share.", func(f budget.AccountStatus) float64 { return float64(f.Epoch) }},
		} {
			metrics.LabelledFunc(name, x.help, "budget", f.Name, func() float64 { return x.of(b.ledger.Status(b.now())[i]) })
		}
	}
	return b
}

// hold owns this member's shares until ctx ends or release is called. Of two processes of one dispatcher only one
// owns them: the one that holds the lock in $TMPDIR, or with leased shares the one that holds the peer address. The
// lock is released when its process ends, however that happens.
func (b *budgets) hold(ctx context.Context) {
	ctx, b.stop = context.WithCancel(ctx)
	go func() {
		defer close(b.done)
		if b.peers != nil {
			if err := b.peers.Run(ctx); err != nil {
				slog.Error("peer communication failed: this dispatcher owns no share", "error", err)
			}
			return
		}
		free, err := lockFile(ctx, b.path)
		if err != nil {
			slog.Error("locking the shares failed: this process owns none", "error", err)
			return
		}
		if free == nil {
			return
		}
		b.setShares(b.equalShare)
		<-ctx.Done()
		b.setShares(budget.Share{})
		free()
	}()
}

func (b *budgets) setShares(s budget.Share) {
	for i := range b.ledger.Accounts() {
		b.ledger.SetShare(b.now(), i, s)
	}
}

// release gives the shares up to a successor of this process. It returns when that is done.
func (b *budgets) release() {
	b.stop()
	<-b.done
}

const lockRetryInterval = 50 * time.Millisecond

// lockFile waits for the lock on a file and returns the function that releases it; nil if ctx has ended.
func lockFile(ctx context.Context, path string) (free func(), err error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("lock: %w", err)
	}
	for logged := false; ; {
		err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		switch {
		case err == nil:
			return func() { f.Close() }, nil
		case !errors.Is(err, syscall.EWOULDBLOCK) && !errors.Is(err, syscall.EINTR):
			f.Close()
			return nil, fmt.Errorf("lock: %w", err)
		case !logged:
			logged = true
			slog.Info("another process of this dispatcher owns its shares: waiting for the lock")
		}
		if pause.For(ctx, lockRetryInterval) != nil {
			f.Close()
			return nil, nil
		}
	}
}

// waitListBudget waits until the budget permits a call for the host list.
func (b *budgets) waitListBudget(ctx context.Context) error {
	for {
		ok, after := b.ledger.Take(b.now(), b.lists, 0)
		if ok {
			return nil
		}
		if after < 0 || after > time.Second { // retry at least each second: the share may change
			after = time.Second
		}
		if err := pause.For(ctx, max(after, 10*time.Millisecond)); err != nil {
			return err
		}
	}
}

// budgetedSource is a source of the host list whose calls wait for the fleet's budget.
type budgetedSource struct {
	cluster.Source
	budgets *budgets
}

// Watch waits for the budget, then watches.
func (s *budgetedSource) Watch(ctx context.Context, after uint64, each func(dispatch.HostList)) error {
	if err := s.budgets.waitListBudget(ctx); err != nil {
		return err
	}
	return s.Source.Watch(ctx, after, each)
}

// bound makes the calls of a source wait for the fleet's budget, if there is one.
func (b *budgets) bound(s cluster.Source) cluster.Source {
	if b == nil || b.lists < 0 {
		return s
	}
	return &budgetedSource{Source: s, budgets: b}
}

// views adds the budgets and members to the views of the operators' endpoint.
func (b *budgets) views(v map[string]func() any) {
	if b == nil {
		return
	}
	v["budgets"] = func() any { return b.ledger.Status(b.now()) }
	if b.peers != nil {
		v["members"] = func() any { return b.peers.View() }
	}
}
