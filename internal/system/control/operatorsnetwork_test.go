package control

import (
	"time"

	"gaugeslip/coord/replica"
	"gaugeslip/coord/transport"
	"gaugeslip/internal/system/internalapi"
)

// lost reports whether a message sent now from one machine to another is lost.
func (w *operatorsSim) lost(from, to int) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.cut[[2]int{from, to}] || w.random.Float64() < w.lossy
}

// latency returns a random network latency.
func (w *operatorsSim) latency() time.Duration {
	return w.randomDuration(time.Millisecond, 3*time.Millisecond)
}

// isolate cuts a machine off or reconnects it. in and out select the directions.
func (w *operatorsSim) isolate(m *operatorsMachine, cut, in, out bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, other := range w.machines {
		if out {
			w.cut[[2]int{m.number, other.number}] = cut && other != m
		}
		if in {
			w.cut[[2]int{other.number, m.number}] = cut && other != m
		}
	}
}

func (w *operatorsSim) setLossy(part float64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.lossy = part
}

func (w *operatorsSim) machineAt(address string) *operatorsMachine {
	for _, m := range w.machines {
		if m.settings.InternalAddress() == address {
			return m
		}
	}
	return nil
}

func (p *operatorsProcess) send(to string, message *replica.Message) {
	w, target := p.host.sim, p.host.sim.machineAt(to)
	if target == nil || !p.alive() || w.lost(p.host.number, target.number) {
		return
	}
	time.AfterFunc(w.latency(), func() {
		if other := target.running(); other != nil {
			other.loop.post(func() { other.engine.step(replica.Receive{Message: message}) })
		}
	})
}

// callPeer calls another replica's service. It returns ErrNotSent if no process runs there, and ErrUnknown if the call or its answer is
// lost.
func (p *operatorsProcess) callPeer(address, method string, args, reply any, timeout time.Duration) error {
	w, target := p.host.sim, p.host.sim.machineAt(address)
	expired := time.After(timeout)
	if w.lost(p.host.number, target.number) {
		<-expired
		return transport.ErrUnknown
	}
	time.Sleep(w.latency())
	other := target.running()
	if other == nil {
		return transport.ErrNotSent
	}
	answers := make(chan any, 1)
	go func() { answers <- serve(&Service{node: other.Node}, method, args) }()
	select {
	case answer := <-answers:
		time.Sleep(w.latency())
		if !other.alive() || !p.alive() || w.lost(target.number, p.host.number) {
			<-expired
			return transport.ErrUnknown
		}
		put(reply, answer)
		return nil
	case <-expired:
		return transport.ErrUnknown
	}
}

// serve executes a call as the replica's server does.
func serve(service *Service, method string, args any) any {
	if method == internalapi.MethodReplace {
		var reply internalapi.ReplaceReply
		_ = service.Replace(args.(internalapi.ReplaceArgs), &reply)
		return reply
	}
	var reply internalapi.ReadReply
	_ = service.Read(args.(internalapi.ReadArgs), &reply)
	return reply
}
