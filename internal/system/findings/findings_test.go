package findings

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestNoFindingIsNoError(t *testing.T) {
	var found Findings
	assert.NoError(t, found.Err())
}

func TestOneFindingReadsAsItsPlaceAndText(t *testing.T) {
	var found Findings
	found.Add(Item("routes", 2, "backend"), "unknown service %q", "x")
	assert.EqualError(t, found.Err(), `routes[2].backend: unknown service "x"`)
}

func TestAFindingWithoutAPlaceIsItsText(t *testing.T) {
	assert.Equal(t, "is not an object", Finding{Text: "is not an object"}.String())
}

func TestAllFindingsAreReportedTogether(t *testing.T) {
	var found Findings
	found.Add("version", "is missing")
	found.Add(Item("routes", 0, ""), "is empty")
	assert.EqualError(t, found.Err(), "2 findings: version: is missing; routes[0]: is empty")
}

func TestManyFindingsAreCounted(t *testing.T) {
	var found Findings
	for index := range maxShown + 3 {
		found.Add(Item("routes", index, ""), "is empty")
	}
	text := found.Error()
	assert.True(t, strings.HasSuffix(text, "; and 3 more"), text)
	assert.NotContains(t, text, fmt.Sprintf("routes[%d]", maxShown))
}

func TestFindingsAreFoundInAWrappedError(t *testing.T) {
	var found Findings
	found.Add("version", "is missing")
	wrapped := fmt.Errorf("configuration: %w", found.Err())
	var got Findings
	require.True(t, errors.As(wrapped, &got))
	assert.Equal(t, found, got)
}
