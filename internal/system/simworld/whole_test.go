package simworld

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var smallWorld = options{replicas: 3, tolerance: 1, dispatchers: 1, workers: 2}

func TestConfigurationIsReplaced(t *testing.T) {
	runInWorld(t, 1, smallWorld, func(w *world) {
		operator := w.newOperator(0)
		require.Equal(t, 200, operator.replace(w.awaitHead(3), order{version: 1, mark: 2000}).status)
		time.Sleep(time.Second)
		read := operator.read(w.tail())
		require.EqualValues(t, 1, read.version)
		require.Equal(t, 2000, read.mark)
		w.requireRegister()
	})
}
