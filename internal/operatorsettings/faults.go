package operatorsettings

import (
	"errors"
	"fmt"
	"strings"

	"github.com/hashicorp/hcl/v2"
)

// locate adds the position of an attribute to an error that starts with its key, or the position of the block if the attribute is
// absent.
func locate(err error, block string, whole hcl.Range, all ...*hcl.Attribute) error {
	key, why, _ := strings.Cut(err.Error(), ": ")
	for _, a := range all {
		if a != nil && a.Name == key {
			return errorAt(a.NameRange, block+"."+key, why)
		}
	}
	return errorAt(whole, block+"."+key, why)
}

// errorAt returns an error with its position and key.
func errorAt(r hcl.Range, key, why string) error {
	return fmt.Errorf("%s:%d:%d: %s: %s", r.Filename, r.Start.Line, r.Start.Column, key, why)
}

// diagnosticsError converts HCL's diagnostics to errors of the same form.
func diagnosticsError(diags hcl.Diagnostics) error {
	var errs []error
	for _, d := range diags {
		if d.Severity != hcl.DiagError {
			continue
		}
		place := hcl.Range{}
		if d.Subject != nil {
			place = *d.Subject
		}
		errs = append(errs, errorAt(place, strings.ToLower(d.Summary), d.Detail))
	}
	return errors.Join(errs...)
}
