package quota

import (
	"cmp"
	"fmt"
	"slices"
)

// Ledger holds the accelerator accounts of all tenants. Create one with NewLedger.
type Ledger struct {
	accounts map[string]*account
	// remainder is the common account of all tenants that the plan doesn't name.
	remainder account
	inForce   bool
	releases  uint64
}

// account holds the limit and the usage of one tenant, in accelerators.
type account struct {
	limit, used int64
	named       bool // the plan names the tenant
}

// Account is the public view of one tenant's account, as shown to operators.
type Account struct {
	// Tenant is the tenant's name; empty for jobs without a tenant.
	Tenant string
	// Named is true if the plan names the tenant. If not, Limit is the common limit of all tenants that it doesn't name.
	Named bool
	// Limit and Used are in accelerators. Limit is Unlimited if nothing bounds the tenant.
	Limit, Used int64
}

// NewLedger returns an empty ledger without a plan.
func NewLedger() *Ledger {
	return &Ledger{accounts: make(map[string]*account), remainder: account{limit: Unlimited}}
}

// Configure replaces the plan. Existing runs stay charged, even if a tenant then uses more than its new limit. Such a tenant can start
// nothing that needs accelerators until enough of its runs have ended.
func (l *Ledger) Configure(plan Plan) {
	l.inForce = plan.InForce()
	l.releases++
	for tenant, promised := range plan.Promised {
		l.ensureAccount(tenant).limit = promised
	}
	l.remainder = account{limit: plan.Remainder()}
	for tenant, a := range l.accounts {
		_, a.named = plan.Promised[tenant]
		if !a.named {
			l.remainder.used += a.used
			l.dropUnused(tenant, a)
		}
	}
}

// InForce reports whether the plan bounds any tenant.
func (l *Ledger) InForce() bool { return l.inForce }

// Fits reports whether a tenant may take the needed accelerators now. A need of 0 always fits.
func (l *Ledger) Fits(tenant string, need int64) bool {
	return need <= 0 || need <= l.Available(tenant)
}

// Available returns how many more accelerators a tenant may take. It is negative if the tenant uses more than its current limit.
func (l *Ledger) Available(tenant string) int64 {
	if !l.inForce {
		return Unlimited
	}
	return l.boundingAccount(tenant).available()
}

// Limit returns the total number of accelerators that a tenant may take.
func (l *Ledger) Limit(tenant string) int64 {
	if !l.inForce {
		return Unlimited
	}
	return l.boundingAccount(tenant).limit
}

// Used returns the number of accelerators taken by a tenant's runs that may exist.
func (l *Ledger) Used(tenant string) int64 {
	if a := l.accounts[tenant]; a != nil {
		return a.used
	}
	return 0
}

// Charge adds a run that may exist from now on. It doesn't check whether the run fits.
func (l *Ledger) Charge(tenant string, need int64) {
	if need > 0 {
		l.adjust(tenant, need)
	}
}

// Release removes a run that no longer exists.
func (l *Ledger) Release(tenant string, need int64) {
	if need > 0 {
		l.adjust(tenant, -need)
		l.releases++
	}
}

// Releases returns a counter that increases whenever some tenant may take more accelerators than before.
func (l *Ledger) Releases() uint64 { return l.releases }

// Accounts returns the accounts of all tenants that the plan names or that use accelerators, sorted by name.
func (l *Ledger) Accounts() []Account {
	accounts := make([]Account, 0, len(l.accounts))
	for tenant, a := range l.accounts {
		accounts = append(accounts, Account{Tenant: tenant, Named: a.named, Limit: l.Limit(tenant), Used: a.used})
	}
	slices.SortFunc(accounts, func(a, b Account) int { return cmp.Compare(a.Tenant, b.Tenant) })
	return accounts
}

// Check compares the ledger with an independent count of each tenant's usage and returns an error for the first difference.
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

// boundingAccount returns the account whose limit applies to a tenant.
func (l *Ledger) boundingAccount(tenant string) *account {
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

func (l *Ledger) ensureAccount(tenant string) *account {
	a := l.accounts[tenant]
	if a == nil {
		a = &account{}
		l.accounts[tenant] = a
	}
	return a
}

func (l *Ledger) adjust(tenant string, change int64) {
	a := l.ensureAccount(tenant)
	a.used += change
	if !a.named {
		l.remainder.used += change
		l.dropUnused(tenant, a)
	}
}

// dropUnused deletes the account of a tenant that the plan doesn't name and that uses nothing.
func (l *Ledger) dropUnused(tenant string, a *account) {
	if !a.named && a.used == 0 {
		delete(l.accounts, tenant)
	}
}
