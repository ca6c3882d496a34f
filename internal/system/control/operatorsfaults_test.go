package control

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/stretchr/testify/assert"

	"gaugeslip/coord/view"
	"gaugeslip/internal/system/state"
)

// faults injects random faults on the machines, at times more of them at once than the fault tolerance.
func (r *operatorsRun) faults(random *rand.Rand) {
	for time.Now().Before(r.over) {
		time.Sleep(time.Duration(50+random.IntN(900)) * time.Millisecond)
		m, length := r.machines[random.IntN(len(r.machines))], time.Duration(100+random.IntN(2500))*time.Millisecond
		kind := random.IntN(10)
		r.trace("%v fault %d at %d for %v", time.Until(r.over), kind, m.number, length)
		switch kind {
		case 0, 1:
			m.kill(kind == 0)
			time.AfterFunc(length, m.start)
		case 2:
			m.freeze(length)
		case 3, 4, 5:
			in, out := kind != 3, kind != 4
			r.isolate(m, true, in, out)
			time.AfterFunc(length, func() { r.isolate(m, false, in, out) })
		case 6:
			m.leave()
			time.AfterFunc(length/2, func() {
				m.kill(false)
				m.start()
			})
		case 7:
			m.freeze(length)
			r.isolate(m, true, true, true)
			time.AfterFunc(length+200*time.Millisecond, func() { r.isolate(m, false, true, true) })
		case 8:
			r.killAll(random)
		case 9:
			r.wipe(m, length)
		}
	}
}

// wipe erases a machine's disk if all machines are in the chain. The machine comes back with an empty disk.
func (r *operatorsRun) wipe(m *operatorsMachine, length time.Duration) {
	if len(r.machines) == 1 || !r.isComplete() {
		return
	}
	m.settings.Bootstrap = false
	m.kill(false)
	m.disk.Wipe()
	time.AfterFunc(length/2, m.start)
}

// isComplete reports whether a head has all machines in its chain, each with the identity of its present disk.
func (r *operatorsRun) isComplete() bool {
	head := r.completeHead()
	if head == nil || head.running() == nil {
		return false
	}
	members := onProcess(head.running(), func(n *Node) []view.Member { return n.engine.view().Chain })
	for _, m := range r.machines {
		p := m.running()
		if p == nil {
			return false
		}
		self := onProcess(p, func(n *Node) view.Member { return n.engine.replica.Self() })
		if !slices.ContainsFunc(members, func(member view.Member) bool { return member.ID == self.ID }) {
			return false
		}
	}
	return true
}

func (r *operatorsRun) killAll(random *rand.Rand) {
	if random.IntN(3) != 0 {
		return
	}
	for _, m := range r.machines {
		m.kill(random.IntN(2) == 0)
		time.AfterFunc(time.Duration(random.IntN(500))*time.Millisecond, m.start)
	}
}

// fill puts more configurations in force than are remembered, one after the other, recorded as calls of one operator.
func (r *operatorsRun) fill() {
	m := r.head()
	p := m.running()
	const many = 1040
	for version := uint64(1); version <= many; version++ {
		call := newOrder(version-1, version, r.mark())
		command := &state.ConfigReplaced{Base: call.base, Version: call.version, Body: []byte(call.body)}
		r.history.record(historySessions, call, func() operatorsAnswer { return operatorsAnswer{status: http.StatusOK} })
		r.confirmed(call)
		p.loop.post(func() {
			p.engine.propose(state.Command{Kind: state.KindConfigReplaced, ConfigReplaced: command}, func(result state.Result, status commitStatus) {
				assert.Equal(r.t, []any{state.Applied, statusCommitted}, []any{result.Outcome, status})
			})
		})
	}
	time.Sleep(time.Second)
}
