package node

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// The division of the descriptors leaves some for uses other than downstream and upstream.
func TestBudget(t *testing.T) {
	for _, sockets := range []int{64, 1024} {
		down, up := Budget(sockets)
		assert.Positive(t, up)
		assert.Greater(t, down, up)
		assert.LessOrEqual(t, down+up, sockets-6)
	}
}
