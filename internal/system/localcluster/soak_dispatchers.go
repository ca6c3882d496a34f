package localcluster

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"gaugeslip/internal/pause"
)

// checkDispatchers holds that every dispatcher has the newest configuration in force once all is calm, and counts no job as pending that
// has begun or is over.
func (s *soak) checkDispatchers(ctx context.Context) {
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

// versionMetric is the figure of a dispatcher that tells its configuration's version.
const versionMetric = "gaugeslip_config_version "

func (s *soak) hasNewestConfiguration(ctx context.Context, client *http.Client, address string) bool {
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

// acknowledged is the highest version that was acknowledged.
func (o *soakOperator) acknowledged() int64 {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.newestAcknowledged
}
