package figures

import (
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestOutputIsReadByPrometheusParser(t *testing.T) {
	var histogram Histogram
	var sum time.Duration
	random := rand.New(rand.NewPCG(1, 2))
	const observed = 500
	for range observed {
		duration := time.Duration(random.Int64N(int64(8 * time.Second)))
		sum += duration
		histogram.Observe(duration)
	}
	recorder := httptest.NewRecorder()
	Serve(recorder, func(w *Writer) {
		w.Gauge("epoch", "The epoch.", 7)
		w.Flag("head", "Whether it is the head.", true)
		w.Counters("ends_total", "Ends.", "how", []Labelled{{Label: "done", Value: 3}, {Label: `a "quoted" one`, Value: 1}})
		w.Histogram("commit_seconds", "Commits.", &histogram)
	})
	assert.Equal(t, ContentType, recorder.Header().Get("Content-Type"))
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(strings.NewReader(recorder.Body.String()))
	require.NoError(t, err)
	assert.EqualValues(t, 7, families[Prefix+"epoch"].GetMetric()[0].GetGauge().GetValue())
	assert.EqualValues(t, 1, families[Prefix+"head"].GetMetric()[0].GetGauge().GetValue())
	assert.Len(t, families[Prefix+"ends_total"].GetMetric(), 2)
	read := families[Prefix+"commit_seconds"].GetMetric()[0].GetHistogram()
	assert.EqualValues(t, observed, read.GetSampleCount())
	assert.EqualValues(t, observed, histogram.Count())
	assert.InDelta(t, sum.Seconds(), read.GetSampleSum(), 1e-6)
	before := uint64(0)
	for _, bucket := range read.GetBucket() {
		assert.GreaterOrEqual(t, bucket.GetCumulativeCount(), before)
		before = bucket.GetCumulativeCount()
	}
}

func TestBucketBoundsAreInclusive(t *testing.T) {
	var histogram Histogram
	histogram.Observe(bucketBounds[0])
	histogram.Observe(bucketBounds[len(bucketBounds)-1] + 1)
	assert.EqualValues(t, 1, histogram.counts[0])
	assert.EqualValues(t, 1, histogram.counts[len(bucketBounds)])
}
