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
	seriesShare        = 0.3 // share of changes that are sent together with others, each based on the one before it
	maxSeriesChanges   = 8   // the protocol's limit of changes in progress
	maxSeriesDelay     = 250 * time.Millisecond
	repeatedShare      = 0.2 // share of acknowledged changes that are sent again
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
	refused       bool // refused: no copy of it may be in force, now or later
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
		if o.random.Float64() < seriesShare {
			o.sendSeries(ctx, o.random, base, o.anyReplica(o.random))
		} else {
			o.sendConcurrently(ctx, base)
		}
		base = o.currentVersion(ctx, base)
	}
}

// sendConcurrently sends one change, or two that are based on the same version.
func (o *soakOperator) sendConcurrently(ctx context.Context, base int64) {
	count := 1
	if o.random.Float64() < raceShare {
		count = 2
	}
	var group sync.WaitGroup
	for number := range count {
		if sent := o.newChange(o.random, base, int64(number)); sent != nil {
			first := o.anyReplica(o.random)
			group.Go(func() { o.send(ctx, sent, first) })
		}
	}
	group.Wait()
}

// anyReplica returns the address of a random replica.
func (o *soakOperator) anyReplica(random *rand.Rand) string {
	addresses := o.soak.cluster.controlAddresses()
	return addresses[random.IntN(len(addresses))]
}

// sendSeries sends several changes that are in progress together, each based on the one before it, all to the same replica at first. A
// change that is not acknowledged ends those that are based on it.
func (o *soakOperator) sendSeries(ctx context.Context, random *rand.Rand, base int64, first string) {
	var group sync.WaitGroup
	for number := range 2 + random.IntN(maxSeriesChanges-1) {
		sent := o.newChange(random, base, int64(number))
		if sent == nil {
			break
		}
		base = sent.version
		delay := time.Duration(random.Int64N(int64(maxSeriesDelay)))
		current := ctx
		next, cancelNext := context.WithCancel(ctx)
		defer cancelNext()
		group.Go(func() {
			if pause.For(current, delay) != nil || !o.send(current, sent, first) {
				cancelNext()
			}
		})
		ctx = next
	}
	group.Wait()
}

// newChange creates the next change, or returns nil after a finding. Two changes based on the same version have either different version
// numbers or the same one.
func (o *soakOperator) newChange(random *rand.Rand, base, number int64) *change {
	version := base + 1 + random.Int64N(3)
	body, err := o.soak.cluster.configuration.withVersion(version)
	if err != nil {
		o.soak.addFinding("FAULT", "no configuration drawn: %v", err)
		return nil
	}
	// Two changes with the same number differ in a key that the parser of configurations ignores.
	body = bytes.Replace(body, []byte("{"), fmt.Appendf(nil, `{"note":"%d.%d",`, o.soak.options.Seed, random.Int64()+number), 1)
	sent := &change{base: base, version: version, body: body}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.changes = append(o.changes, sent)
	o.counts.Sent++
	return sent
}

// send sends one change to a replica, and then to others after growing pauses, until there is a definite answer. It reports whether the
// change was acknowledged.
func (o *soakOperator) send(ctx context.Context, sent *change, address string) bool {
	longest := 2 * operatorRetryInterval
	for limit := o.soak.now() + changeTimeout; o.soak.now() < limit; longest = min(2*longest, time.Second) {
		status, text, err := sendConfiguration(ctx, o.changeClient, address, sent.base, sent.body)
		if o.recordAnswer(sent, status, text, err) || pause.For(ctx, rand.N(longest)) != nil {
			break
		}
		addresses := o.soak.cluster.controlAddresses()
		address = addresses[rand.IntN(len(addresses))]
	}
	acknowledged := o.isAcknowledged(sent)
	if acknowledged && rand.Float64() < repeatedShare {
		o.repeat(ctx, sent)
	}
	return acknowledged
}

func (o *soakOperator) isAcknowledged(sent *change) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return sent.acknowledged
}

// repeat sends an acknowledged change once more. It may get no clear answer, but it may not be refused.
func (o *soakOperator) repeat(ctx context.Context, sent *change) {
	addresses := o.soak.cluster.controlAddresses()
	status, text, err := sendConfiguration(ctx, o.changeClient, addresses[rand.IntN(len(addresses))], sent.base, sent.body)
	if err == nil && status >= http.StatusBadRequest && status < http.StatusInternalServerError {
		o.soak.addFinding("CONFIG", "change to %d on %d was acknowledged and then answered %d: %s", sent.version, sent.base, status, text)
	}
}

// recordAnswer records an answer and reports whether it was definite.
func (o *soakOperator) recordAnswer(sent *change, status int, text []byte, err error) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	switch {
	case err != nil || status >= http.StatusInternalServerError:
		return false
	case status == http.StatusOK:
		o.acknowledge(sent)
	case status == http.StatusPreconditionFailed:
		sent.refused = true
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
