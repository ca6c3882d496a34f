package quota

import (
	"cmp"
	"fmt"
	"slices"
)

// Ledger is the account of all tenants. Make one with NewLedger.
type Ledger struct {
	accounts map[string]*account
	// remainder is the common account of all tenants that the plan doesn't name.
	remainder account
	inForce   bool
	releases  uint64
}

// account is what one tenant may take and takes.
type account struct {
	limit, used int64
	named       bool // by the plan
}

// Account is what the staff is shown of one tenant.
type Account struct {
	// Tenant is its name; empty for those without one.
	Tenant string
	// Named tells whether the plan names it; if not, Limit is what all those share that it doesn't name.
	Named bool
	// Limit and Used are in accelerators; Limit is Unlimited where nothing bounds the tenant.
	Limit, Used int64
}

// NewLedger gives a ledger without a plan, in which nothing is used.
func NewLedger() *Ledger {
	return &Ledger{accounts: make(map[string]*account), remainder: account{limit: Unlimited}}
}

// Configure puts another plan in force. What runs stays, also where it is more than the tenant may take from now on: then nothing
// of it starts until enough has ended.
func (l *Ledger) Configure(plan Plan) {
	l.inForce = plan.InForce()
	l.releases++
	for tenant, promised := range plan.Promised {
		l.open(tenant).limit = promised
	}
	l.remainder = account{limit: plan.Remainder()}
	for tenant, a := range l.accounts {
		_, a.named = plan.Promised[tenant]
		if !a.named {
			l.remainder.used += a.used
			l.forget(tenant, a)
		}
	}
}

// InForce tells whether a plan bounds anybody.
func (l *Ledger) InForce() bool { return l.inForce }

// Fits tells whether a tenant may take so many more accelerators. What takes none always fits.
func (l *Ledger) Fits(tenant string, need int64) bool {
	return need <= 0 || need <= l.Available(tenant)
}

// Available is how many more accelerators a tenant may take; it is below 0 where the tenant's share has become smaller than what it uses.
func (l *Ledger) Available(tenant string) int64 {
	if !l.inForce {
		return Unlimited
	}
	return l.bounding(tenant).available()
}

// Limit is how many accelerators a tenant may take, all in all.
func (l *Ledger) Limit(tenant string) int64 {
	if !l.inForce {
		return Unlimited
	}
	return l.bounding(tenant).limit
}

// Used is how many accelerators those runs of a tenant take that may exist.
func (l *Ledger) Used(tenant string) int64 {
	if a := l.accounts[tenant]; a != nil {
		return a.used
	}
	return 0
}

// Charge takes note of a run that may exist from now on. It doesn't ask whether it fits.
func (l *Ledger) Charge(tenant string, need int64) {
	if need > 0 {
		l.move(tenant, need)
	}
}

// Release takes note that a run doesn't exist any more.
func (l *Ledger) Release(tenant string, need int64) {
	if need > 0 {
		l.move(tenant, -need)
		l.releases++
	}
}

// Releases rises whenever some tenant may take more than before.
func (l *Ledger) Releases() uint64 { return l.releases }

// Accounts are all tenants that the plan names or that use something, by name.
func (l *Ledger) Accounts() []Account {
	accounts := make([]Account, 0, len(l.accounts))
	for tenant, a := range l.accounts {
		accounts = append(accounts, Account{Tenant: tenant, Named: a.named, Limit: l.Limit(tenant), Used: a.used})
	}
	slices.SortFunc(accounts, func(a, b Account) int { return cmp.Compare(a.Tenant, b.Tenant) })
	return accounts
}

// Check compares the ledger with what each tenant uses by another count, and tells the first difference.
func (l *Ledger) Check(used map[string]int64) error {
	rest := int64(0)
	for tenant, a := range l.accounts {
		if a.used != used[tenant] {
			return fmt.Errorf("tenant %q uses %d accelerators, counted %d", tenant, used[tenant], a.used)
		}
		if !a.named {
			rest += a.used
		}
	}
	for tenant, count := range used {
		if count != l.Used(tenant) {
			return fmt.Errorf("tenant %q uses %d accelerators and has no account", tenant, count)
		}
	}
	if rest != l.remainder.used {
		return fmt.Errorf("tenants without a share use %d accelerators, counted %d", rest, l.remainder.used)
	}
	return nil
}

// bounding is the account that bounds a tenant.
func (l *Ledger) bounding(tenant string) *account {
	if a := l.accounts[tenant]; a != nil && a.named {
		return a
	}
	return &l.remainder
}

func (a *account) available() int64 {
	if a.limit == Unlimited {
		return Unlimited
	}
	return a.limit - a.used
}

func (l *Ledger) open(tenant string) *account {
	a := l.accounts[tenant]
	if a == nil {
		a = &account{}
		l.accounts[tenant] = a
	}
	return a
}

func (l *Ledger) move(tenant string, change int64) {
	a := l.open(tenant)
	a.used += change
	if !a.named {
		l.remainder.used += change
		l.forget(tenant, a)
	}
}

// forget drops an account that tells nothing.
func (l *Ledger) forget(tenant string, a *account) {
	if !a.named && a.used == 0 {
		delete(l.accounts, tenant)
	}
}
