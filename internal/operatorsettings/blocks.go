package operatorsettings

import (
	"errors"

	"github.com/hashicorp/hcl/v2"

	"gaugeslip/internal/budget"
	"gaugeslip/internal/net/peers"
	"gaugeslip/internal/overload"
	"gaugeslip/internal/siteloss"
	"gaugeslip/internal/waiting"
)

// file is the form of the file. Attributes are read by hand, so that an error can point at them.
type file struct {
	Waiting  *waitingBlock  `hcl:"waiting,block"`
	Overload *overloadBlock `hcl:"overload,block"`
	Budgets  *budgetsBlock  `hcl:"budgets,block"`
	Peers    *peersBlock    `hcl:"peers,block"`
	Sites    *sitesBlock    `hcl:"sites,block"`
}

type sitesBlock struct {
	Usable *hcl.Attribute `hcl:"usable,optional"`
	Notice *hcl.Attribute `hcl:"notice,optional"`
	Range  hcl.Range      `hcl:",def_range"`
}

type budgetsBlock struct {
	Way       *hcl.Attribute `hcl:"way,optional"`
	Floor     *hcl.Attribute `hcl:"floor,optional"`
	Tenants   *hcl.Attribute `hcl:"tenants,optional"`
	Burst     *hcl.Attribute `hcl:"burst,optional"`
	Probes    *hcl.Attribute `hcl:"probes,optional"`
	ListCalls *hcl.Attribute `hcl:"list_calls,optional"`
	Range     hcl.Range      `hcl:",def_range"`
}

type peersBlock struct {
	Listen  *hcl.Attribute `hcl:"listen,optional"`
	Members *hcl.Attribute `hcl:"members,optional"`
	Voters  *hcl.Attribute `hcl:"voters,optional"`
	Drift   *hcl.Attribute `hcl:"drift,optional"`
	Range   hcl.Range      `hcl:",def_range"`
}

type waitingBlock struct {
	MaxJobs     *hcl.Attribute `hcl:"max_jobs,optional"`
	MaxKept     *hcl.Attribute `hcl:"max_kept,optional"`
	MaxBytes    *hcl.Attribute `hcl:"max_bytes,optional"`
	Retention   *hcl.Attribute `hcl:"retention,optional"`
	DefaultDue  *hcl.Attribute `hcl:"default_due,optional"`
	MaxDue      *hcl.Attribute `hcl:"max_due,optional"`
	MaxDelay    *hcl.Attribute `hcl:"max_delay,optional"`
	Share       *hcl.Attribute `hcl:"share,optional"`
	ClientShare *hcl.Attribute `hcl:"client_share,optional"`
	OnFailure   *hcl.Attribute `hcl:"on_failure,optional"`
	Fresh       *hcl.Attribute `hcl:"remember_fresh,optional"`
	Range       hcl.Range      `hcl:",def_range"`
}

type overloadBlock struct {
	Questions *hcl.Attribute `hcl:"questions,optional"`
	KeepLanes *hcl.Attribute `hcl:"keep_lanes,optional"`
	Enter     *hcl.Attribute `hcl:"enter,optional"`
	Leave     *hcl.Attribute `hcl:"leave,optional"`
	Margin    *hcl.Attribute `hcl:"margin,optional"`
	Repeats   *hcl.Attribute `hcl:"repeats,optional"`
	Shed      *hcl.Attribute `hcl:"shed,optional"`
	Floor     *hcl.Attribute `hcl:"floor,optional"`
	Order     *hcl.Attribute `hcl:"order,optional"`
	Range     hcl.Range      `hcl:",def_range"`
}

// limits reads the block budgets.
func (b *budgetsBlock) limits() (*budget.Limits, error) {
	l := budget.Defaults()
	r := reader{block: "budgets"}
	r.text(b.Way, (*string)(&l.Way))
	r.number(b.Floor, &l.Floor)
	r.boolean(b.Tenants, &l.Tenants)
	r.number(b.Burst, &l.Burst)
	r.number(b.Probes, &l.Probes)
	r.number(b.ListCalls, &l.ListCalls)
	return done(&l, &r, b.Range, b.Way, b.Floor, b.Burst, b.Probes, b.ListCalls)
}

// limits reads the block sites.
func (b *sitesBlock) limits() (*siteloss.Limits, error) {
	l := siteloss.Defaults()
	r := reader{block: "sites"}
	r.number(b.Usable, &l.Usable)
	r.duration(b.Notice, &l.Notice)
	return done(&l, &r, b.Range, b.Usable, b.Notice)
}

// limits reads the block peers.
func (b *peersBlock) limits() (*peers.Limits, error) {
	l := peers.Defaults()
	r := reader{block: "peers"}
	r.text(b.Listen, &l.Listen)
	r.texts(b.Members, &l.Members)
	if len(l.Members) == 2 {
		l.Voters = 1 // of two no majority outlives one
	}
	r.integer(b.Voters, &l.Voters)
	r.number(b.Drift, &l.Drift)
	return done(&l, &r, b.Range, b.Listen, b.Members, b.Voters, b.Drift)
}

// limits reads the block waiting.
func (b *waitingBlock) limits() (*waiting.Limits, error) {
	l := waiting.Defaults()
	r := reader{block: "waiting"}
	r.integer(b.MaxJobs, &l.MaxJobs)
	r.integer(b.MaxKept, &l.MaxKept)
	r.bytes(b.MaxBytes, &l.MaxBytes)
	r.duration(b.Retention, &l.Retention)
	r.duration(b.MaxDue, &l.MaxDue)
	if b.DefaultDue == nil {
		l.DefaultDue = min(l.DefaultDue, l.MaxDue)
	}
	r.duration(b.DefaultDue, &l.DefaultDue)
	r.duration(b.MaxDelay, &l.MaxDelay)
	r.number(b.Share, &l.Share)
	r.number(b.ClientShare, &l.ClientShare)
	r.boolean(b.Fresh, &l.RememberFresh)
	switch word := "fail"; {
	case r.text(b.OnFailure, &word) && word != "fail" && word != "run":
		r.fault(b.OnFailure, `%q is neither "fail" nor "run"`, word)
	default:
		l.RunOnFailure = word == "run"
	}
	return done(&l, &r, b.Range, b.MaxJobs, b.MaxKept, b.MaxBytes, b.Retention, b.DefaultDue, b.MaxDue, b.MaxDelay, b.Share, b.ClientShare)
}

// limits reads the block overload.
func (b *overloadBlock) limits() (*overload.Limits, error) {
	l := overload.Defaults()
	r := reader{block: "overload"}
	r.number(b.Questions, &l.Questions)
	r.boolean(b.KeepLanes, &l.KeepLanes)
	r.number(b.Enter, &l.Enter)
	r.number(b.Leave, &l.Leave)
	r.number(b.Margin, &l.Margin)
	r.number(b.Repeats, &l.Repeats)
	r.boolean(b.Shed, &l.Shed)
	r.number(b.Floor, &l.Floor)
	r.texts(b.Order, &l.Order)
	return done(&l, &r, b.Range, b.Questions, b.Enter, b.Leave, b.Margin, b.Repeats, b.Floor)
}

// done gives what a block holds, or what is wrong with it, at the place of the attribute that it is about.
func done[L interface{ Check() error }](l L, r *reader, whole hcl.Range, all ...*hcl.Attribute) (L, error) {
	var none L
	if len(r.errs) > 0 {
		return none, errors.Join(r.errs...)
	}
	if err := l.Check(); err != nil {
		return none, place(err, r.block, whole, all...)
	}
	return l, nil
}
