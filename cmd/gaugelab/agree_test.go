package main

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"gonum.org/v1/gonum/stat"

	"gaugeslip/internal/emulator"
	"gaugeslip/internal/lab"
)

// Compares the model with the emulator on sockets: the same deployment, loads and metrics. The table is in docs/design/lab.md.
//
//	AGREE=1 go test ./cmd/gaugelab -run Agree -v -timeout 20m
func TestModelAgreesWithEmulator(t *testing.T) {
	if os.Getenv("AGREE") == "" {
		t.Skip("a measurement in real time; set AGREE=1 to run it")
	}
	const runs, seeds = 4, 40
	show := func(all []float64) string {
		mean, dev := stat.MeanStdDev(all, nil)
		return fmt.Sprintf("%.3f ± %.3f", mean, dev)
	}
	for _, load := range []float64{0.6, 0.9, 1.2} {
		all, err := lab.Load(scenarios + "demo.hcl")
		require.NoError(t, err)
		all[0].Load = load
		reports, err := runSeeds(t.Context(), all[0], 1, seeds, false, nil)
		require.NoError(t, err)
		metrics := map[string][2][]float64{}
		add := func(side int, name string, v float64) {
			x := metrics[name]
			x[side] = append(x[side], v)
			metrics[name] = x
		}
		for _, r := range reports {
			add(0, "service", r.Service)
			for class, p := range r.P50 {
				add(0, class+" p50 ms", p)
			}
			add(0, "refused a job", float64(r.Refused)/float64(r.Jobs))
		}
		for i := range runs {
			specs, p := fleetSpec(10)
			f, err := emulator.Start(specs, p, uint64(i), nil)
			require.NoError(t, err)
			addr, stop, err := startDispatcher(t.Context(), f)
			require.NoError(t, err)
			kinds, work := loadClasses()
			l := &emulator.Load{Addr: addr, Rate: load * 21.25 / work, Length: 12 * time.Second, Classes: kinds, Seed: uint64(i), MaxOpen: 1000}
			res := l.Run(t.Context())
			add(1, "service", res.Service())
			sent, refused := 0, 0
			for name, c := range res.Classes {
				add(1, name+" p50 ms", float64(c.Latency.ValueAtQuantile(50))/1000)
				sent, refused = sent+c.Sent, refused+c.Refused
			}
			add(1, "refused a job", float64(refused)/float64(sent))
			require.NoError(t, stop())
			f.Close()
		}
		for _, name := range []string{"service", "plot-load p50 ms", "harvest-sale p50 ms", "refused a job"} {
			t.Logf("load %.1f, %-20s model %s, sockets %s", load, name, show(metrics[name][0]), show(metrics[name][1]))
		}
	}
}
