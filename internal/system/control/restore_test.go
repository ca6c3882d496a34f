package control

import (
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/internalapi"
	"gaugeslip/internal/system/logfile"
)

// All disks but one are lost, more than the fault tolerance. The remaining one, restored, admits the others as learners.
func TestSystemRecoversFromOneDisk(t *testing.T) {
	cluster := startCluster(t, 3, 1)
	cluster.replace(3, testConfig)
	cluster.submit(3, 7, "barn", testJob, internalapi.Done)
	survivor := cluster.head(3)
	before := cluster.nodes
	for _, node := range before {
		node.stop()
		node.engine.disk.stop()
		require.NoError(t, node.operator.Close())
	}

	target := filepath.Join(t.TempDir(), "restored")
	restored, err := logfile.Restore(survivor.settings.DataDir, LogName, target)
	require.NoError(t, err)
	assert.Equal(t, survivor.self().Address, restored.Member.Address)
	cluster.nodes = nil
	for _, node := range before {
		settings := *node.settings
		settings.Bootstrap = false
		settings.DataDir = filepath.Join(t.TempDir(), "empty")
		if node == survivor {
			settings.DataDir = target
		}
		cluster.start(&settings)
	}
	cluster.until(func() bool {
		reply := cluster.overview(cluster.head(3))
		return reply.ConfigVersion == 1 && reply.Jobs["pending"] == 1 && reply.View.Epoch > restored.Epoch
	})
	cluster.replace(3, testConfig) // a repeated request is confirmed again
	cluster.submit(3, 8, "barn", testJob, internalapi.Done)
	cluster.until(func() bool { return cluster.jobs(cluster.head(3), internalapi.JobsArgs{}).Total == 2 })
}
