package dataplane

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/coord/view"
	"gaugeslip/internal/system/clusterconfig"
	"gaugeslip/internal/system/findings"
)

func TestViewAndConfigurationNeverGoBack(t *testing.T) {
	directory := NewDirectory()
	var learners sync.WaitGroup
	for learner := range uint64(8) {
		random := rand.New(rand.NewPCG(1, learner))
		learners.Go(func() {
			for range 200 {
				epoch, version := directory.View().Epoch, directory.ConfigVersion()
				next := random.IntN(100) + 1
				directory.LearnView(chainOf(uint64(next), "a"))
				_, err := directory.LearnConfig(uint64(next), configBody(next))
				assert.NoError(t, err)
				assert.GreaterOrEqual(t, directory.View().Epoch, max(epoch, uint64(next)))
				assert.GreaterOrEqual(t, directory.ConfigVersion(), max(version, uint64(next)))
			}
		})
	}
	learners.Wait()
}

func TestViewOfEpochZeroIsLearned(t *testing.T) {
	directory := NewDirectory()
	assert.False(t, directory.LearnView(view.View{Epoch: 4}), "a view without voters is unknown")
	assert.True(t, directory.LearnView(chainOf(0, "a")))
	assert.False(t, directory.LearnView(chainOf(0, "b")))
	assert.Equal(t, "a", directory.View().Head().Address)
}

func TestInvalidConfigurationChangesNothing(t *testing.T) {
	directory := testDirectory(t, "a")
	var found findings.Findings
	_, err := directory.LearnConfig(2, []byte(`{"version":2,"routes":[{"backend":"none"}]}`))
	assert.ErrorAs(t, err, &found)
	_, err = directory.LearnConfig(2, []byte(`{"version":2,"routes":[{"backend":"none"}]}`))
	assert.NoError(t, err, "the error is reported once")
	_, err = directory.LearnConfig(3, configBody(4))
	assert.Error(t, err)
	assert.EqualValues(t, 1, directory.ConfigVersion())
	learned, err := directory.LearnConfig(5, configBody(5))
	require.NoError(t, err)
	assert.True(t, learned)
}

func TestWatchReportsNewerView(t *testing.T) {
	directory := testDirectory(t, "a")
	_, changed := directory.Watch()
	directory.LearnView(chainOf(1, "b"))
	select {
	case <-changed:
		t.Fatal("change reported without a newer view")
	default:
	}
	directory.LearnView(chainOf(2, "b"))
	<-changed
}

func TestReadiness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var changes []bool
		directory := NewDirectory()
		readiness := NewReadiness(directory, func(ready bool, _ string) { changes = append(changes, ready) }, Options{})
		status := func() int { return serve(readiness, "GET", "/readyz", "").Code }
		assert.Equal(t, 503, status())
		_, err := directory.LearnConfig(1, configBody(1))
		require.NoError(t, err)
		assert.Equal(t, 503, status())
		directory.LearnView(chainOf(1, "a"))
		assert.Equal(t, 503, status())
		directory.RecordContact()
		assert.Equal(t, 503, status())
		directory.RecordCurrent(2)
		assert.Equal(t, 503, status(), "a newer configuration exists")
		directory.RecordCurrent(1)
		assert.Equal(t, 200, status())
		sleepFor(defaultCoreContactTimeout)
		assert.Equal(t, 503, status())
		directory.RecordContact()
		assert.Equal(t, 200, status())
		directory.LearnView(chainOf(2))
		assert.Equal(t, 503, status(), "the view has no head")
		directory.LearnView(chainOf(3, "a"))
		assert.Equal(t, 200, status())
		readiness.Drain()
		assert.Equal(t, 503, status())
		assert.Equal(t, []bool{true, false, true, false, true, false}, changes)
	})
}

func TestDefaultLimits(t *testing.T) {
	parsed, err := clusterconfig.Parse([]byte(`{"version":1}`))
	require.NoError(t, err)
	assert.Equal(t, parsed.Limits, DefaultLimits())
}

func TestContactAtStartCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		directory := NewDirectory()
		assert.False(t, directory.Reachable(time.Hour))
		directory.RecordContact()
		assert.True(t, directory.Reachable(time.Nanosecond))
	})
}
