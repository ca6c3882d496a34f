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

// troublemaker causes troubles at their times.
type troublemaker struct {
	cluster *Cluster
	tell    func(string)
	version int64 // of the configuration
	mutex   sync.Mutex
	faults  []error
}

// run causes all troubles, counted from now, and returns once all are over.
func (t *troublemaker) run(ctx context.Context, troubles []Trouble) error {
	var group sync.WaitGroup
	for i := range troubles {
		trouble := &troubles[i]
		group.Go(func() {
			if pause.For(ctx, trouble.at) != nil {
				return
			}
			t.tell("trouble: " + trouble.String())
			if err := t.cause(ctx, trouble); err != nil {
				t.note(fmt.Errorf("%s: %w", trouble, err))
			}
		})
	}
	group.Wait()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if len(t.faults) > 0 {
		return t.faults[0]
	}
	return nil
}

func (t *troublemaker) note(err error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.faults = append(t.faults, err)
}

func (t *troublemaker) cause(ctx context.Context, trouble *Trouble) error {
	if trouble.Kind == troubleReconfigure {
		return t.reconfigure(ctx)
	}
	if trouble.target.group == groupWorkers {
		return t.strikeWorkers(ctx, trouble)
	}
	children, numbers, err := t.cluster.struck(trouble.target)
	if err != nil {
		return err
	}
	failures := make([]error, len(children))
	var group sync.WaitGroup
	for i, child := range children {
		group.Go(func() { failures[i] = t.strike(ctx, trouble, child, numbers[i]) })
	}
	group.Wait()
	for _, failure := range failures {
		if failure != nil {
			return failure
		}
	}
	return nil
}

// notReplica stands for the number of a process that is no replica.
const notReplica = -1

// struck are the processes that a target names, with the numbers of replicas among them.
func (c *Cluster) struck(target target) (children []*Child, numbers []int, err error) {
	switch target.group {
	case groupHead, groupTail:
		number, err := c.memberAt(target.group)
		if err != nil {
			return nil, nil, err
		}
		return c.replicas[number : number+1], []int{number}, nil
	case groupReplicas:
		for i, child := range c.replicas {
			if target.index == allOf || target.index == i {
				children, numbers = append(children, child), append(numbers, i)
			}
		}
	case groupDispatchers:
		for i, child := range c.dispatchers {
			if target.index == allOf || target.index == i {
				children, numbers = append(children, child), append(numbers, notReplica)
			}
		}
	}
	if len(children) == 0 {
		return nil, nil, fmt.Errorf("there is no %s:%d", target.group, target.index)
	}
	return children, numbers, nil
}

// memberAt is the number of the replica at the chain's head or tail.
func (c *Cluster) memberAt(group string) (int, error) {
	newest, err := c.view()
	if err != nil {
		return 0, err
	}
	member := newest.Head()
	if group == groupTail {
		member = newest.Tail()
	}
	number := c.replicaAt(member.Address)
	if number < 0 {
		return 0, fmt.Errorf("%s is none of this cluster", member.Address)
	}
	return number, nil
}

// strike has one process suffer a trouble and come back.
func (t *troublemaker) strike(ctx context.Context, trouble *Trouble, child *Child, number int) error {
	switch trouble.Kind {
	case troubleFreeze:
		child.freeze()
		_ = pause.For(ctx, trouble.length)
		child.thaw()
		return nil
	case troubleRestart:
		child.terminate(endLimit)
	default:
		child.kill()
	}
	if number != notReplica {
		if err := t.cluster.prepareReturn(number, trouble.Kind == troubleWipe); err != nil {
			return err
		}
	}
	_ = pause.For(ctx, trouble.length)
	return child.start()
}

// prepareReturn writes the settings with which a replica comes back, and takes its disk away where that is lost.
func (c *Cluster) prepareReturn(number int, wipe bool) error {
	if wipe {
		if err := os.RemoveAll(c.plan.dataFolder(number)); err != nil {
			return err
		}
	}
	_, err := c.plan.write(c.plan.replica(number, false))
	return err
}

func (t *troublemaker) strikeWorkers(ctx context.Context, trouble *Trouble) error {
	struck := false
	for i, worker := range t.cluster.fleet.workers {
		if trouble.target.index != allOf && trouble.target.index != i {
			continue
		}
		struck = true
		if trouble.Kind == troubleFreeze {
			worker.SetFaults(hollow.Faults{Silent: true})
			defer worker.SetFaults(hollow.Faults{})
			continue
		}
		worker.Crash(trouble.length)
	}
	if !struck {
		return fmt.Errorf("there is no worker:%d", trouble.target.index)
	}
	_ = pause.For(ctx, trouble.length)
	return nil
}

const reconfigureLimit = 20 * time.Second

// reconfigure has the operator replace the configuration by the same one with the next number.
func (t *troublemaker) reconfigure(ctx context.Context) error {
	t.mutex.Lock()
	base := t.version
	t.version++
	t.mutex.Unlock()
	body, err := t.cluster.configuration.renumbered(base + 1)
	if err != nil {
		return err
	}
	limited, cancel := context.WithTimeout(ctx, reconfigureLimit)
	defer cancel()
	operator := newOperator(t.cluster.controls())
	defer operator.close()
	return operator.replace(limited, base, body)
}
