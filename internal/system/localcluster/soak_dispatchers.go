package localcluster

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"gaugeslip/internal/pause"
)

// checkDispatchers checks that every dispatcher has the newest configuration in force after the troubles.
func (s *soakRun) checkDispatchers(ctx context.Context) {
	client := s.httpClient(readerHost, soakCallTimeout)
	defer client.CloseIdleConnections()
	for i := range s.cluster.dispatchers {
		address := hostPort(s.cluster.plan.layout.dispatcher(i), readinessPort)
		for !s.hasNewestConfiguration(ctx, client, address) {
			if pause.For(ctx, soakPollInterval) != nil {
				s.addFinding("CONFIG", "%s hasn't the newest configuration in the end", s.cluster.dispatchers[i].Name)
				break
			}
		}
	}
}

// versionMetric is the metric for the version of a dispatcher's configuration.
const versionMetric = "gaugeslip_config_version "

func (s *soakRun) hasNewestConfiguration(ctx context.Context, client *http.Client, address string) bool {
	_, text, err := fetch(ctx, client, address, "/metrics")
	if err != nil {
		return false
	}
	for line := range strings.Lines(string(text)) {
		value, found := strings.CutPrefix(strings.TrimSpace(line), versionMetric)
		if !found {
			continue
		}
		version, err := strconv.ParseFloat(value, 64)
		return err == nil && int64(version) >= s.operator.acknowledged()
	}
	return false
}

// acknowledged returns the highest acknowledged version.
func (o *soakOperator) acknowledged() int64 {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.newestAcknowledged
}
