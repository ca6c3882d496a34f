package operatorsettings

import (
	"errors"
	"fmt"
	"strings"

	"github.com/hashicorp/hcl/v2"
)

// locate gives an error that begins with a key the place of that key's attribute, or of its block where it is absent.
func locate(err error, block string, whole hcl.Range, all ...*hcl.Attribute) error {
	key, why, _ := strings.Cut(err.Error(), ": ")
	for _, a := range all {
		if a != nil && a.Name == key {
			return errorAt(a.NameRange, block+"."+key, why)
		}
	}
	return errorAt(whole, block+"."+key, why)
}

// errorAt is an error with its place and key.
func errorAt(r hcl.Range, key, why string) error {
	return fmt.Errorf("%s:%d:%d: %s: %s", r.Filename, r.Start.Line, r.Start.Column, key, why)
}

// diagnosticsError turns HCL's own findings into errors of our form.
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
