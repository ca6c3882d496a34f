// Package operatorsettings reads our own settings file: HCL, one block a subject. Without a file, and without its block, a subject
// is off. A file is checked whole before any of it counts, and every error names file, line, column and key.
package operatorsettings

import (
	"fmt"
	"os"

	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"

	"gaugeslip/internal/budget"
	"gaugeslip/internal/net/peers"
	"gaugeslip/internal/overload"
	"gaugeslip/internal/siteloss"
	"gaugeslip/internal/waiting"
)

// Settings are what the file holds.
type Settings struct {
	Waiting  *waiting.Limits  // nil: jobs do not wait here
	Overload *overload.Limits // nil: nothing is done about overload beyond what the decision module always does
	Budgets  *budget.Limits   // nil: nothing is divided beyond what the decision module always divides
	Peers    *peers.Limits    // nil: dispatchers do not talk
	Sites    *siteloss.Limits // nil: sites are not judged, and nothing is planned for the loss of one
}

// Load reads the file that path names, or else the one that NODE_SITE does. With neither, everything is off.
func Load(getenv func(string) string, path string) (*Settings, error) {
	if path == "" {
		path = getenv("NODE_SITE")
	}
	if path == "" {
		return &Settings{}, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("site: %w", err)
	}
	return Parse(text, path)
}

// Parse reads the text of a file; name is for its errors.
func Parse(text []byte, name string) (*Settings, error) {
	parsed, diags := hclparse.NewParser().ParseHCL(text, name)
	if diags.HasErrors() {
		return nil, faults(diags)
	}
	var f file
	if diags = gohcl.DecodeBody(parsed.Body, nil, &f); diags.HasErrors() {
		return nil, faults(diags)
	}
	s := &Settings{}
	for _, err := range []error{
		read(f.Waiting, &s.Waiting),
		read(f.Overload, &s.Overload),
		read(f.Budgets, &s.Budgets),
		read(f.Peers, &s.Peers),
		read(f.Sites, &s.Sites),
	} {
		if err != nil {
			return nil, err
		}
	}
	if s.Budgets != nil && s.Budgets.Way == budget.LeasedShares && s.Peers == nil {
		return nil, at(f.Budgets.Range, "budgets.way", "talk needs a block peers")
	}
	return s, nil
}

// read reads a block; one that is missing leaves its subject off.
func read[L any, B any, P interface {
	*B
	limits() (*L, error)
}](block P, to **L) error {
	if block == nil {
		return nil
	}
	limits, err := block.limits()
	if err != nil {
		return err
	}
	*to = limits
	return nil
}
