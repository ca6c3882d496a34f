package operatorsettings

import (
	"errors"
	"fmt"
	"strings"

	"github.com/hashicorp/hcl/v2"
)

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
