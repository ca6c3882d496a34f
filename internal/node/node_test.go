package node

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// The shares of the descriptors leave room for what is neither downstream nor upstream.
func TestBudget(t *testing.T) {
	for _, sockets := range []int{64, 1024} {
		down, up := Budget(sockets)
		assert.Positive(t, up)
		assert.Greater(t, down, up)
		assert.LessOrEqual(t, down+up, sockets-6)
	}
}
