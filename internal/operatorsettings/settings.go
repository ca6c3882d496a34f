// Package operatorsettings reads the operators' settings file: HCL, with one block per feature. A feature is off without the file or
// without its block. The whole file is checked before any of it takes effect, and every error names file, line, column and key.
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

// Settings are the contents of the file.
type Settings struct {
	Waiting  *waiting.Limits  // nil: no waiting room
	Overload *overload.Limits // nil: no overload control beyond that of the decision module
	Budgets  *budget.Limits   // nil: no budgets divided beyond those of the decision module
	Peers    *peers.Limits    // nil: dispatchers do not exchange messages
	Sites    *siteloss.Limits // nil: sites are not judged, and there are no plans for the loss of one
}

// Load reads the file at path, or at NODE_SITE if path is empty. Without either, all features are off.
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

// Parse parses the text of a file. name appears in its errors.
func Parse(text []byte, name string) (*Settings, error) {
	parsed, diags := hclparse.NewParser().ParseHCL(text, name)
	if diags.HasErrors() {
		return nil, diagnosticsError(diags)
	}
	var f file
	if diags = gohcl.DecodeBody(parsed.Body, nil, &f); diags.HasErrors() {
		return nil, diagnosticsError(diags)
	}
	s := &Settings{}
	for _, err := range []error{
		readBlock(f.Waiting, &s.Waiting),
		readBlock(f.Overload, &s.Overload),
		readBlock(f.Budgets, &s.Budgets),
		readBlock(f.Peers, &s.Peers),
		readBlock(f.Sites, &s.Sites),
	} {
		if err != nil {
			return nil, err
		}
	}
	if s.Budgets != nil && s.Budgets.Way == budget.LeasedShares && s.Peers == nil {
		return nil, errorAt(f.Budgets.Range, "budgets.way", "talk requires a block peers")
	}
	return s, nil
}

// readBlock evaluates a block. A missing block leaves its feature off.
func readBlock[L any, B any, P interface {
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
