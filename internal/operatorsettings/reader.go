package operatorsettings

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/zclconf/go-cty/cty"
)

// reader evaluates attributes and collects errors. An absent attribute leaves its target unchanged.
type reader struct {
	block string
	errs  []error
}

func (r *reader) addError(a *hcl.Attribute, why string, args ...any) {
	r.errs = append(r.errs, errorAt(a.Range, r.block+"."+a.Name, fmt.Sprintf(why, args...)))
}

// value evaluates an attribute of a type.
func (r *reader) value(a *hcl.Attribute, want cty.Type) (cty.Value, bool) {
	if a == nil {
		return cty.NilVal, false
	}
	v, diags := a.Expr.Value(nil)
	if diags.HasErrors() {
		r.addError(a, "%s", diags[0].Detail)
		return v, false
	}
	if v.IsNull() || !v.IsKnown() || v.Type() != want {
		r.addError(a, "must be a %s", want.FriendlyName())
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
		r.addError(a, "must be a whole number")
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

// texts reads a list of strings such as ["a", "b"].
func (r *reader) texts(a *hcl.Attribute, to *[]string) {
	if a == nil {
		return
	}
	v, diags := a.Expr.Value(nil)
	if diags.HasErrors() {
		r.addError(a, "%s", diags[0].Detail)
		return
	}
	if !v.IsWhollyKnown() || v.IsNull() || !v.CanIterateElements() {
		r.addError(a, "must be a list of strings")
		return
	}
	*to = nil
	for _, x := range v.AsValueSlice() {
		if x.IsNull() || x.Type() != cty.String {
			r.addError(a, "must be a list of strings")
			return
		}
		*to = append(*to, x.AsString())
	}
}

// duration reads a duration such as "90s", "10m" or "24h".
func (r *reader) duration(a *hcl.Attribute, to *time.Duration) {
	var s string
	if !r.text(a, &s) {
		return
	}
	d, err := time.ParseDuration(s)
	if err != nil || d < 0 {
		r.addError(a, `%q is not a duration such as "90s" or "10m"`, s)
		return
	}
	*to = d
}

var units = []struct {
	name string
	size int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}

// bytes reads a size such as "512KiB", "8MiB" or "1GiB".
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
	r.addError(a, `%q is not a size such as "512KiB" or "8MiB"`, s)
}
