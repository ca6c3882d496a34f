package dataplane

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/coord/transport"
	"gaugeslip/internal/system/figures"
	"gaugeslip/internal/system/internalapi"
)

func TestMetricsAndOverview(t *testing.T) {
	_, server := serveControl(t)
	defer server.Close()
	process := startProcess(t, server)
	defer func() { assert.NoError(t, process.Stop()) }()
	process.logger.await(t, "configuration taken")
	process.logger.await(t, "head changed")
	process.checkReady(t)
	conn, err := net.Dial("tcp", process.frontend.Address())
	require.NoError(t, err)
	defer conn.Close()
	kept := client{Conn: conn, reader: bufio.NewReader(conn)}
	kept.exchange(t, request("POST", testPrefix+testID, testBody))
	kept.exchange(t, request("GET", testPrefix+"00000000000000ff", ""))
	kept.exchange(t, request("GET", "/elsewhere/", ""))

	families := scrape(t, process.ready)
	gauge := func(name string) float64 { return families[figures.Prefix+name].GetMetric()[0].GetGauge().GetValue() }
	assert.EqualValues(t, 1, gauge("ready"))
	assert.EqualValues(t, 1, gauge("config_version"))
	assert.GreaterOrEqual(t, gauge("core_contact_age_seconds"), 0.0)
	for _, metric := range families[figures.Prefix+"answers_total"].GetMetric() {
		want := map[string]float64{"200": 1, "404": 1, "410": 1}[metric.GetLabel()[0].GetValue()]
		assert.Equal(t, want, metric.GetCounter().GetValue(), metric.String())
	}
	checkOverview(t, process)
}

func scrape(t *testing.T, address string) map[string]*dto.MetricFamily {
	response, err := http.Get("http://" + address + metricsPath)
	require.NoError(t, err)
	defer http.DefaultClient.CloseIdleConnections()
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	assert.Equal(t, figures.ContentType, response.Header.Get("Content-Type"))
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(strings.NewReader(string(text)))
	require.NoError(t, err)
	return families
}

func checkOverview(t *testing.T, process running) {
	caller := transport.NewClient(transport.Options{})
	defer caller.Close()
	var reply internalapi.DispatcherOverviewReply
	args := internalapi.DispatcherOverviewArgs{}
	err := caller.Call(process.settings.InternalAddress(), internalapi.MethodDispatcherOverview, args, &reply, 10*time.Second)
	require.NoError(t, err)
	assert.Equal(t, "edge-1", reply.Node)
	assert.True(t, reply.Ready)
	assert.Empty(t, reply.NotReadyFor)
	assert.EqualValues(t, 1, reply.ConfigVersion)
	assert.Equal(t, 1, reply.Routes)
	assert.Len(t, reply.Chain, 1)
	assert.EqualValues(t, 1, reply.Answers["410"])
}

func TestNotReadyReasons(t *testing.T) {
	directory := NewDirectory()
	var reasons []string
	readiness := NewReadiness(directory, func(_ bool, reason string) { reasons = append(reasons, reason) }, Options{})
	assert.Contains(t, readiness.notReadyReason(), "configuration")
	_, err := directory.LearnConfig(1, configBody(1))
	require.NoError(t, err)
	assert.Contains(t, readiness.notReadyReason(), "no replica")
	directory.RecordContact()
	assert.Contains(t, readiness.notReadyReason(), "head")
	directory.LearnView(chainOf(0, "127.0.0.1:1"))
	assert.Contains(t, readiness.notReadyReason(), "newest")
	directory.RecordCurrent(1)
	assert.Empty(t, readiness.notReadyReason())
	serve(readiness, "GET", "/readyz", "")
	readiness.Drain()
	serve(readiness, "GET", "/readyz", "")
	assert.Equal(t, []string{"", "it is ending"}, reasons)
}

func TestEveryResponseIsCounted(t *testing.T) {
	var counts statusCounts
	for _, status := range countedStatuses {
		counts.count(status)
	}
	counts.count(http.StatusTeapot)
	for _, count := range counts.labelled() {
		assert.EqualValues(t, 1, count.Value, count.Label)
	}
	assert.EqualValues(t, -1, ageMs(0, NewDirectory()))
	assert.EqualValues(t, -1, ageSeconds(0, NewDirectory()))
}
