package localcluster

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Two clusters that look for a network at the same time, before any of their processes listens, have to get different networks.
func TestConcurrentClustersGetDistinctNetworks(t *testing.T) {
	first, owner, err := reserveLayout()
	require.NoError(t, err)
	defer owner.Close()
	second, other, err := reserveLayout()
	require.NoError(t, err)
	defer other.Close()
	assert.NotEqual(t, first, second)
}
