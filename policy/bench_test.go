package policy

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkStep runs one scheduler of a fleet. Each Step handles an arrival, or the start and the end of a job sent before.
func BenchmarkStep(b *testing.B) {
	for _, fleet := range []struct{ workers, schedulers int }{{16, 3}, {16, 40}, {230, 400}} {
		b.Run(fmt.Sprintf("%dworkers_%dschedulers", fleet.workers, fleet.schedulers), func(b *testing.B) {
			cfg := testConfig()
			cfg.Replicas, cfg.Probes = fleet.schedulers, false
			d, err := New(cfg, 1)
			if err != nil {
				b.Fatal(err)
			}
			var all []Worker
			for i := range fleet.workers {
				all = append(all, Worker{ID: uint32(1000 + 37*i), Zone: i % 2, Cell: i / 4, Scale: 2})
			}
			now, in, out := time.Hour, []Event{{Kind: WorkerList, Whole: true, Workers: all}}, []Action(nil)
			out = d.Step(now, in, out)
			for i := 0; b.Loop(); i++ {
				now += 50 * ms
				out = d.Step(now, []Event{{Kind: JobArrived, Job: uint64(i + 1), Class: i % 4, Tenant: -1,
					Budget: 3 * time.Second, Size: time.Duration(40+i%97) * ms, Slots: 1}}, out[:0])
				for _, a := range out {
					if a.Kind == Send {
						in = append(in[:0], Event{Kind: JobStarted, Job: a.Job, Worker: a.Worker},
							Event{Kind: AttemptEnded, Job: a.Job, Worker: a.Worker, Finished: true})
						now += 60 * ms
						out = d.Step(now, in, out[:0])
						break
					}
				}
			}
		})
	}
}
