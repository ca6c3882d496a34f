package localcluster

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"gaugeslip/internal/pause"
	"gaugeslip/internal/system/clusterconfig"
)

const (
	operatorHost       = "operator"
	readerHost         = "reader"
	soakCallTimeout    = 1200 * time.Millisecond
	meanChangeInterval = 400 * time.Millisecond // mean pause between two changes; the maximum is twice that
	readInterval       = 120 * time.Millisecond
	raceShare          = 0.3 // share of changes that race with another one based on the same version
	changeStream       = 8
	changeTimeout      = 8 * time.Second
)

// SoakChanges counts the configuration changes of a soak run.
type SoakChanges struct {
	Sent, Acknowledged, Refused, Doubt, Reads int
}

// change is one configuration sent by an operator.
type change struct {
	base, version int64
	body          []byte
	acknowledged  bool
	refused       bool // refused, with a definite answer to every attempt
	inDoubt       bool // at least one attempt had no definite answer
}

// soakOperator changes the configuration repeatedly, sometimes with two concurrent changes. All the while it reads the configuration
// from every replica.
type soakOperator struct {
	soak         *soakRun
	changeClient *http.Client
	readClient   *http.Client
	random       *rand.Rand
	readers      sync.WaitGroup

	mutex              sync.Mutex
	changes            []*change
	newestAcknowledged int64 // highest acknowledged version
	counts             SoakChanges
}

func (o *soakOperator) setUp(s *soakRun) {
	o.soak = s
	o.changeClient = s.httpClient(operatorHost, soakCallTimeout)
	o.readClient = s.httpClient(readerHost, soakCallTimeout)
	o.random = rand.New(rand.NewPCG(s.options.Seed, changeStream))
	o.newestAcknowledged = s.cluster.configuration.parsed.Version
	o.changes = []*change{{version: o.newestAcknowledged, body: s.cluster.configuration.body, acknowledged: true}}
}

func (o *soakOperator) close() {
	o.changeClient.CloseIdleConnections()
	o.readClient.CloseIdleConnections()
}

// run sends changes until the context ends.
func (o *soakOperator) run(ctx context.Context) {
	defer o.readers.Wait()
	for _, address := range o.soak.cluster.controlAddresses() {
		o.readers.Go(func() { o.read(ctx, address) })
	}
	base := o.newestAcknowledged
	for pause.For(ctx, time.Duration(o.random.Int64N(int64(2*meanChangeInterval)))) == nil {
		count := 1
		if o.random.Float64() < raceShare {
			count = 2
		}
		var group sync.WaitGroup
		for number := range count {
			sent, err := o.newChange(base, int64(number))
			if err != nil {
				o.soak.addFinding("FAULT", "no configuration drawn: %v", err)
				return
			}
			group.Go(func() { o.send(ctx, sent) })
		}
		group.Wait()
		base = o.currentVersion(ctx, base)
	}
}

// newChange creates the next change. Two changes based on the same version have either different version numbers or the same one.
func (o *soakOperator) newChange(base, number int64) (*change, error) {
	version := base + 1 + o.random.Int64N(3)
	body, err := o.soak.cluster.configuration.withVersion(version)
	if err != nil {
		return nil, err
	}
	// Two changes with the same number differ in a key that the parser of configurations ignores.
	body = bytes.Replace(body, []byte("{"), fmt.Appendf(nil, `{"note":"%d.%d",`, o.soak.options.Seed, o.random.Int64()+number), 1)
	sent := &change{base: base, version: version, body: body}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.changes = append(o.changes, sent)
	o.counts.Sent++
	return sent, nil
}

// send sends one change to random replicas until there is a definite answer.
func (o *soakOperator) send(ctx context.Context, sent *change) {
	addresses := o.soak.cluster.controlAddresses()
	for limit := o.soak.now() + changeTimeout; o.soak.now() < limit; {
		status, text, err := sendConfiguration(ctx, o.changeClient, addresses[rand.IntN(len(addresses))], sent.base, sent.body)
		if o.recordAnswer(sent, status, text, err) || pause.For(ctx, operatorRetryInterval) != nil {
			return
		}
	}
}

// recordAnswer records an answer and reports whether it was definite.
func (o *soakOperator) recordAnswer(sent *change, status int, text []byte, err error) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	switch {
	case err != nil || status >= http.StatusInternalServerError:
		sent.inDoubt = true
		return false
	case status == http.StatusOK:
		o.acknowledge(sent)
	case status == http.StatusPreconditionFailed:
		sent.refused = !sent.inDoubt
		o.counts.Refused++
	default:
		o.soak.addFinding("CONFIG", "change to %d on %d was answered %d: %s", sent.version, sent.base, status, text)
	}
	return true
}

func (o *soakOperator) acknowledge(sent *change) {
	sent.acknowledged = true
	o.counts.Acknowledged++
	o.newestAcknowledged = max(o.newestAcknowledged, sent.version)
	for _, other := range o.changes {
		if other != sent && other.acknowledged && other.base == sent.base && other.base > 0 {
			o.soak.addFinding("CONFIG", "two changes on %d were acknowledged: %d and %d", sent.base, other.version, sent.version)
		}
	}
}

// read polls the configuration of one replica until the context ends.
func (o *soakOperator) read(ctx context.Context, address string) {
	for pause.For(ctx, readInterval) == nil {
		o.readOnce(ctx, address)
	}
}

// readOnce checks that the configuration read is at least as new as the newest one acknowledged before the read, and that it was sent
// by the operator.
func (o *soakOperator) readOnce(ctx context.Context, address string) (version int64, known bool) {
	o.mutex.Lock()
	minimum := o.newestAcknowledged
	o.mutex.Unlock()
	status, body, err := fetch(ctx, o.readClient, address, "/Config.Read")
	if err != nil || status >= http.StatusInternalServerError {
		return 0, false
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.counts.Reads++
	if status != http.StatusOK {
		o.soak.addFinding("CONFIG", "%s answers a read with %d: %s", address, status, body)
		return 0, false
	}
	parsed, err := clusterconfig.Parse(body)
	if err != nil {
		o.soak.addFinding("CONFIG", "%s answers a read with what can't be read: %v", address, err)
		return 0, false
	}
	if parsed.Version < minimum {
		o.soak.addFinding("CONFIG", "%s answers %d, and %d was acknowledged before it was asked", address, parsed.Version, minimum)
	}
	o.checkSent(address, parsed.Version, body)
	return parsed.Version, true
}

// checkSent checks that a configuration is one that was sent and not refused.
func (o *soakOperator) checkSent(address string, version int64, body []byte) {
	for _, sent := range o.changes {
		if sent.version != version || !bytes.Equal(sent.body, body) {
			continue
		}
		if sent.refused {
			o.soak.addFinding("CONFIG", "%s answers %d on %d, which was refused", address, version, sent.base)
		}
		return
	}
	o.soak.addFinding("CONFIG", "%s answers %d with a body that nobody sent", address, version)
}

// currentVersion returns the version on which the next change is based, or before if no replica answers.
func (o *soakOperator) currentVersion(ctx context.Context, before int64) int64 {
	for _, address := range o.soak.cluster.controlAddresses() {
		if version, known := o.readOnce(ctx, address); known {
			return version
		}
	}
	return before
}

// checkFinalReads checks that every replica answers with the newest configuration after the troubles.
func (o *soakOperator) checkFinalReads(ctx context.Context) {
	for _, address := range o.soak.cluster.controlAddresses() {
		for {
			if _, known := o.readOnce(ctx, address); known {
				break
			}
			if pause.For(ctx, soakPollInterval) != nil {
				o.soak.addFinding("CONFIG", "%s doesn't answer a read in the end", address)
				break
			}
		}
	}
}

func (o *soakOperator) count() SoakChanges {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	counted := o.counts
	for _, sent := range o.changes {
		if !sent.acknowledged && !sent.refused {
			counted.Doubt++
		}
	}
	return counted
}
