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

// budgets are this process's shares of what belongs to the fleet.
type budgets struct {
	ledger     *budget.Ledger
	gate       *dispatch.BudgetGate
	lists      int // account of calls for the list; -1: there is no bound on them
	now        func() time.Duration
	path       string       // of the lock
	peers      *peers.Peers // nil: no talk
	equalShare budget.Share // without talk
	stop       func()       // ends the hold on the shares
	done       chan struct{}
}

// newBudgets makes them as the settings want; nil: there are none. Nothing is owned yet.
func newBudgets(cfg *config.Config, own *operatorsettings.Settings, now func() time.Duration, figures *operators.Metrics) *budgets {
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
			figures.LabelledFunc("members", "Dispatchers by what membership has of them.", "state", state, func() float64 { return b.peers.Count(state) })
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
			figures.LabelledFunc(name, x.help, "budget", f.Name, func() float64 { return x.of(b.ledger.Status(b.now())[i]) })
		}
	}
	return b
}

// hold holds this member's shares until ctx or release ends it. Of two processes of one dispatcher one alone owns them: whoever has
// the lock in $TMPDIR, or with talk the address. The lock goes with its process, however that ends.
func (b *budgets) hold(ctx context.Context) {
	ctx, b.stop = context.WithCancel(ctx)
	go func() {
		defer close(b.done)
		if b.peers != nil {
			if err := b.peers.Run(ctx); err != nil {
				slog.Error("no talk with the other dispatchers: this one owns no share", "error", err)
			}
			return
		}
		free, err := lockFile(ctx, b.path)
		if err != nil {
			slog.Error("no lock on the shares: this process owns none", "error", err)
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

// release gives the shares up, to a successor of this process. It returns when that is done.
func (b *budgets) release() {
	b.stop()
	<-b.done
}

const lockRetryInterval = 50 * time.Millisecond

// lockFile waits for the lock on a file and gives what frees it; nil: ctx has ended.
func lockFile(ctx context.Context, path string) (free func(), err error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("lock: %w", err)
	}
	for said := false; ; {
		err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		switch {
		case err == nil:
			return func() { f.Close() }, nil
		case !errors.Is(err, syscall.EWOULDBLOCK) && !errors.Is(err, syscall.EINTR):
			f.Close()
			return nil, fmt.Errorf("lock: %w", err)
		case !said:
			said = true
			slog.Info("another process of this dispatcher owns its shares: waiting for it")
		}
		if pause.For(ctx, lockRetryInterval) != nil {
			f.Close()
			return nil, nil
		}
	}
}

// waitListBudget waits until there is room for a call for the list.
func (b *budgets) waitListBudget(ctx context.Context) error {
	for {
		ok, after := b.ledger.Take(b.now(), b.lists, 0)
		if ok {
			return nil
		}
		if after < 0 || after > time.Second { // the share may change
			after = time.Second
		}
		if err := pause.For(ctx, max(after, 10*time.Millisecond)); err != nil {
			return err
		}
	}
}

// budgetedSource is a source whose calls wait for room in the fleet's budget.
type budgetedSource struct {
	cluster.Source
	budgets *budgets
}

// Watch waits its turn, then watches.
func (s *budgetedSource) Watch(ctx context.Context, after uint64, each func(dispatch.HostList)) error {
	if err := s.budgets.waitListBudget(ctx); err != nil {
		return err
	}
	return s.Source.Watch(ctx, after, each)
}

// bound makes a source wait for room in the fleet's budget, where there is one.
func (b *budgets) bound(s cluster.Source) cluster.Source {
	if b == nil || b.lists < 0 {
		return s
	}
	return &budgetedSource{Source: s, budgets: b}
}

// views adds what the operators' door shows of budgets and members.
func (b *budgets) views(v map[string]func() any) {
	if b == nil {
		return
	}
	v["budgets"] = func() any { return b.ledger.Status(b.now()) }
	if b.peers != nil {
		v["members"] = func() any { return b.peers.View() }
	}
}
