package localcluster

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"gaugeslip/internal/pause"
	"gaugeslip/internal/system/hollow"
)

// troubleInjector causes the troubles of a run at their times.
type troubleInjector struct {
	cluster       *Cluster
	logLine       func(string)
	configVersion int64 // of the configuration
	mutex         sync.Mutex
	errs          []error
}

// run causes all troubles at their times, relative to the call, and returns when all of them are over.
func (t *troubleInjector) run(ctx context.Context, troubles []Trouble) error {
	var group sync.WaitGroup
	for i := range troubles {
		trouble := &troubles[i]
		group.Go(func() {
			if pause.For(ctx, trouble.startAfter) != nil {
				return
			}
			t.logLine("trouble: " + trouble.String())
			if err := t.inject(ctx, trouble); err != nil {
				t.recordError(fmt.Errorf("%s: %w", trouble, err))
			}
		})
	}
	group.Wait()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if len(t.errs) > 0 {
		return t.errs[0]
	}
	return nil
}

func (t *troubleInjector) recordError(err error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.errs = append(t.errs, err)
}

func (t *troubleInjector) inject(ctx context.Context, trouble *Trouble) error {
	if trouble.Kind == troubleReconfigure {
		return t.reconfigure(ctx)
	}
	if trouble.target.group == groupWorkers {
		return t.injectIntoWorkers(ctx, trouble)
	}
	children, numbers, err := t.cluster.targetedChildren(trouble.target)
	if err != nil {
		return err
	}
	failures := make([]error, len(children))
	var group sync.WaitGroup
	for i, child := range children {
		group.Go(func() { failures[i] = t.injectIntoChild(ctx, trouble, child, numbers[i]) })
	}
	group.Wait()
	for _, failure := range failures {
		if failure != nil {
			return failure
		}
	}
	return nil
}

// notReplica is used in place of the index of a process that is not a replica.
const notReplica = -1

// targetedChildren returns the processes that a target names, and for each of them its replica index or notReplica.
func (c *Cluster) targetedChildren(target target) (children []*Child, numbers []int, err error) {
	switch target.group {
	case groupHead, groupTail:
		number, err := c.chainEndIndex(target.group)
		if err != nil {
			return nil, nil, err
		}
		return c.replicas[number : number+1], []int{number}, nil
	case groupReplicas:
		for i, child := range c.replicas {
			if target.index == wholeGroup || target.index == i {
				children, numbers = append(children, child), append(numbers, i)
			}
		}
	case groupDispatchers:
		for i, child := range c.dispatchers {
			if target.index == wholeGroup || target.index == i {
				children, numbers = append(children, child), append(numbers, notReplica)
			}
		}
	}
	if len(children) == 0 {
		return nil, nil, fmt.Errorf("there is no %s:%d", target.group, target.index)
	}
	return children, numbers, nil
}

// chainEndIndex returns the index of the replica at the head or the tail of the chain.
func (c *Cluster) chainEndIndex(group string) (int, error) {
	newest, err := c.newestView()
	if err != nil {
		return 0, err
	}
	member := newest.Head()
	if group == groupTail {
		member = newest.Tail()
	}
	number := c.replicaIndex(member.Address)
	if number < 0 {
		return 0, fmt.Errorf("%s does not belong to this cluster", member.Address)
	}
	return number, nil
}

// injectIntoChild applies a trouble to one process and starts the process again afterwards.
func (t *troubleInjector) injectIntoChild(ctx context.Context, trouble *Trouble, child *Child, number int) error {
	switch trouble.Kind {
	case troubleFreeze:
		child.freeze()
		_ = pause.For(ctx, trouble.duration)
		child.thaw()
		return nil
	case troubleRestart:
		child.terminate(terminateTimeout)
	default:
		child.kill()
	}
	if number != notReplica {
		if err := t.cluster.prepareRestart(number, trouble.Kind == troubleWipe); err != nil {
			return err
		}
	}
	_ = pause.For(ctx, trouble.duration)
	return child.start()
}

// prepareRestart writes the settings with which a replica restarts. With wipe it also removes the replica's data.
func (c *Cluster) prepareRestart(number int, wipe bool) error {
	if wipe {
		if err := os.RemoveAll(c.plan.dataDir(number)); err != nil {
			return err
		}
	}
	_, err := c.plan.writeSettings(c.plan.replicaSettings(number, false))
	return err
}

func (t *troubleInjector) injectIntoWorkers(ctx context.Context, trouble *Trouble) error {
	found := false
	for i, worker := range t.cluster.fleet.workers {
		if trouble.target.index != wholeGroup && trouble.target.index != i {
			continue
		}
		found = true
		if trouble.Kind == troubleFreeze {
			worker.SetFaults(hollow.Faults{Silent: true})
			defer worker.SetFaults(hollow.Faults{})
			continue
		}
		worker.Crash(trouble.duration)
	}
	if !found {
		return fmt.Errorf("there is no worker:%d", trouble.target.index)
	}
	_ = pause.For(ctx, trouble.duration)
	return nil
}

const reconfigureTimeout = 20 * time.Second

// reconfigure replaces the configuration by the same one with the next version number.
func (t *troubleInjector) reconfigure(ctx context.Context) error {
	t.mutex.Lock()
	base := t.configVersion
	t.configVersion++
	t.mutex.Unlock()
	body, err := t.cluster.configuration.withVersion(base + 1)
	if err != nil {
		return err
	}
	limited, cancel := context.WithTimeout(ctx, reconfigureTimeout)
	defer cancel()
	operator := newOperator(t.cluster.controlAddresses())
	defer operator.close()
	return operator.replace(limited, base, body)
}
