package localcluster

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"gaugeslip/internal/pause"
)

// checkDispatchers checks that every dispatcher has the newest configuration in force after the troubles.
func (s *soakRun) checkDispatchers(ctx context.Context) {
	client := s.httpClient(readerHost, soakCallTimeout)
	defer client.CloseIdleConnections()
	var group sync.WaitGroup
	for i := range s.cluster.dispatchers {
		group.Go(func() { s.checkDispatcher(ctx, client, i) })
	}
	group.Wait()
}

func (s *soakRun) checkDispatcher(ctx context.Context, client *http.Client, index int) {
	address := hostPort(s.cluster.plan.layout.dispatcher(index), readinessPort)
	for {
		version, err := configurationInForce(ctx, client, address)
		newest := s.operator.acknowledged()
		if err == nil && version >= newest {
			return
		}
		if pause.For(ctx, soakPollInterval) != nil {
			s.addFinding("CONFIG", "%s has configuration %d in the end (%v), %d was acknowledged", s.cluster.dispatchers[index].Name, version, err, newest)
			return
		}
	}
}

// versionMetric is the metric for the version of a dispatcher's configuration.
const versionMetric = "gaugeslip_config_version "

var errNoVersion = errors.New("its figures show no version")

// configurationInForce returns the version that a dispatcher has in force.
func configurationInForce(ctx context.Context, client *http.Client, address string) (int64, error) {
	_, text, err := fetch(ctx, client, address, "/metrics")
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(strings.TrimSpace(line), versionMetric); found {
			version, err := strconv.ParseFloat(value, 64)
			return int64(version), err
		}
	}
	return 0, fmt.Errorf("%w in %d bytes", errNoVersion, len(text))
}

// acknowledged returns the highest acknowledged version.
func (o *soakOperator) acknowledged() int64 {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.newestAcknowledged
}
