// Package site reads our own settings file: HCL, one block a subject. Without a file, and without its block, a subject
// is off. A file is checked whole before any of it counts, and every error names file, line, column and key.
package site

import (
	"errors"
	"fmt"
	"math"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"
	"github.com/zclconf/go-cty/cty"

	"gaugeslip/internal/budget"
	"gaugeslip/internal/net/peers"
	"gaugeslip/internal/overload"
	"gaugeslip/internal/sites"
	"gaugeslip/internal/waiting"
)

// Site is what the file holds.
type Site struct {
	Waiting  *waiting.Limits  // nil: jobs do not wait here
	Overload *overload.Limits // nil: nothing is done about overload beyond what the decision module always does
	Budgets  *budget.Limits   // nil: nothing is divided beyond what the decision module always divides
	Peers    *peers.Limits    // nil: dispatchers do not talk
	Sites    *sites.Limits    // nil: sites are not judged, and nothing is planned for the loss of one
}

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

// Load reads the file that path names, or else the one that NODE_SITE does. With neither, everything is off.
func Load(getenv func(string) string, path string) (*Site, error) {
	if path == "" {
		path = getenv("NODE_SITE")
	}
	if path == "" {
		return &Site{}, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("site: %w", err)
	}
	return Parse(text, path)
}

// Parse reads the text of a file; name is for its errors.
func Parse(text []byte, name string) (*Site, error) {
	parsed, diags := hclparse.NewParser().ParseHCL(text, name)
	if diags.HasErrors() {
		return nil, faults(diags)
	}
	var f file
	if diags = gohcl.DecodeBody(parsed.Body, nil, &f); diags.HasErrors() {
		return nil, faults(diags)
	}
	s := &Site{}
	if f.Waiting != nil {
		lim, err := f.Waiting.limits()
		if err != nil {
			return nil, err
		}
		s.Waiting = lim
	}
	if f.Overload != nil {
		lim, err := f.Overload.limits()
		if err != nil {
			return nil, err
		}
		s.Overload = lim
	}
	if f.Budgets != nil {
		lim, err := f.Budgets.limits()
		if err != nil {
			return nil, err
		}
		s.Budgets = lim
	}
	if f.Peers != nil {
		lim, err := f.Peers.limits()
		if err != nil {
			return nil, err
		}
		s.Peers = lim
	}
	if f.Sites != nil {
		lim, err := f.Sites.limits()
		if err != nil {
			return nil, err
		}
		s.Sites = lim
	}
	if s.Budgets != nil && s.Budgets.Way == budget.ByTalk && s.Peers == nil {
		return nil, at(f.Budgets.Range, "budgets.way", "talk needs a block peers")
	}
	return s, nil
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
func (b *sitesBlock) limits() (*sites.Limits, error) {
	l := sites.Defaults()
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
	r.boolean(b.Fresh, &l.Fresh)
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

// place gives an error that begins with a key the place of that key's attribute, or of its block where it is absent.
func place(err error, block string, whole hcl.Range, all ...*hcl.Attribute) error {
	key, why, _ := strings.Cut(err.Error(), ": ")
	for _, a := range all {
		if a != nil && a.Name == key {
			return at(a.NameRange, block+"."+key, why)
		}
	}
	return at(whole, block+"."+key, why)
}

// at is an error with its place and key.
func at(r hcl.Range, key, why string) error {
	return fmt.Errorf("%s:%d:%d: %s: %s", r.Filename, r.Start.Line, r.Start.Column, key, why)
}

// faults turns HCL's own findings into errors of our form.
func faults(diags hcl.Diagnostics) error {
	var errs []error
	for _, d := range diags {
		if d.Severity != hcl.DiagError {
			continue
		}
		place := hcl.Range{}
		if d.Subject != nil {
			place = *d.Subject
		}
		errs = append(errs, at(place, strings.ToLower(d.Summary), d.Detail))
	}
	return errors.Join(errs...)
}

// reader reads attributes and collects what is wrong with them. One that is absent leaves its target as it is.
type reader struct {
	block string
	errs  []error
}

func (r *reader) fault(a *hcl.Attribute, why string, args ...any) {
	r.errs = append(r.errs, at(a.Range, r.block+"."+a.Name, fmt.Sprintf(why, args...)))
}

// value evaluates an attribute as a type.
func (r *reader) value(a *hcl.Attribute, want cty.Type) (cty.Value, bool) {
	if a == nil {
		return cty.NilVal, false
	}
	v, diags := a.Expr.Value(nil)
	if diags.HasErrors() {
		r.fault(a, "%s", diags[0].Detail)
		return v, false
	}
	if v.IsNull() || !v.IsKnown() || v.Type() != want {
		r.fault(a, "a %s is wanted", want.FriendlyName())
		return v, false
	}
	return v, true
}

func (r *reader) number(a *hcl.Attribute, to *float64) bool {
	v, ok := r.value(a, cty.Number)
	if ok {
		*to, _ = v.AsBigFloat().Float64()
	}
	return ok
}

func (r *reader) integer(a *hcl.Attribute, to *int) {
	var f float64
	if !r.number(a, &f) {
		return
	}
	if f != math.Trunc(f) || math.Abs(f) > 1<<40 {
		r.fault(a, "a whole number is wanted")
		return
	}
	*to = int(f)
}

func (r *reader) boolean(a *hcl.Attribute, to *bool) {
	if v, ok := r.value(a, cty.Bool); ok {
		*to = v.True()
	}
}

func (r *reader) text(a *hcl.Attribute, to *string) bool {
	v, ok := r.value(a, cty.String)
	if ok {
		*to = v.AsString()
	}
	return ok
}

// texts reads ["a", "b"].
func (r *reader) texts(a *hcl.Attribute, to *[]string) {
	if a == nil {
		return
	}
	v, diags := a.Expr.Value(nil)
	if diags.HasErrors() {
		r.fault(a, "%s", diags[0].Detail)
		return
	}
	if !v.IsWhollyKnown() || v.IsNull() || !v.CanIterateElements() {
		r.fault(a, "a list of texts is wanted")
		return
	}
	*to = nil
	for _, x := range v.AsValueSlice() {
		if x.IsNull() || x.Type() != cty.String {
			r.fault(a, "a list of texts is wanted")
			return
		}
		*to = append(*to, x.AsString())
	}
}

// duration reads "90s", "10m", "24h".
func (r *reader) duration(a *hcl.Attribute, to *time.Duration) {
	var s string
	if !r.text(a, &s) {
		return
	}
	d, err := time.ParseDuration(s)
	if err != nil || d < 0 {
		r.fault(a, `%q is no duration such as "90s" or "10m"`, s)
		return
	}
	*to = d
}

var units = []struct {
	name string
	size int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}

// bytes reads "512KiB", "8MiB", "1GiB".
func (r *reader) bytes(a *hcl.Attribute, to *int64) {
	var s string
	if !r.text(a, &s) {
		return
	}
	for _, u := range units {
		if n, ok := strings.CutSuffix(s, u.name); ok {
			if v, err := strconv.ParseUint(strings.TrimSpace(n), 10, 31); err == nil {
				*to = int64(v) * u.size
				return
			}
			break
		}
	}
	r.fault(a, `%q is no size such as "512KiB" or "8MiB"`, s)
}
