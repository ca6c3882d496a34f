package main

import (
	"fmt"
	"maps"
	"slices"

	"gaugeslip/coord/view"
	"gaugeslip/internal/system/console"
	"gaugeslip/internal/system/internalapi"
)

type workersCommand struct {
	replicaFlags
	Service string `placeholder:"NAME" help:"Show the workers of one service only. Default: all."`
}

// workersOutput is the output of `workers --json`.
type workersOutput struct {
	Workers []internalapi.WorkerOverview
	// Held is the number of steps that wait for capacity, by service.
	Held map[string]int
}

func (c *workersCommand) Run(printer *console.Printer) error {
	var reply internalapi.WorkersReply
	verdict := func() (internalapi.Verdict, view.View) { return reply.Verdict, reply.View }
	reset := func() { reply = internalapi.WorkersReply{} }
	if err := c.callHead(internalapi.MethodWorkers, internalapi.WorkersArgs{}, &reply, verdict, reset); err != nil {
		return err
	}
	shown := workersOutput{Workers: reply.Workers, Held: reply.Held}
	if c.Service != "" {
		shown.Workers = slices.DeleteFunc(shown.Workers, func(w internalapi.WorkerOverview) bool { return w.Service != c.Service })
		shown.Held = map[string]int{c.Service: reply.Held[c.Service]}
	}
	return c.printer(printer).Print(shown, func(t *console.Table) { workersTable(t, &shown) })
}

func workersTable(t *console.Table, shown *workersOutput) {
	t.Row("WORKER", "SERVICE", "ADDRESS", "STATE", "RUNS", "CPU", "MEMORY MB", "GPUS", "WITHHELD", "SLOWNESS")
	for i := range shown.Workers {
		w := &shown.Workers[i]
		t.Row(w.Instance, console.OrDash(w.Service), console.OrDash(w.Address), workerState(w), w.Runs, used(w.UsedCPU, w.RoomCPU),
			used(w.UsedMemoryMb, w.RoomMemoryMb), used(w.UsedGPUs, w.RoomGPUs), w.Withheld, fmt.Sprintf("%.2f", w.Slowness))
	}
	t.BlankLine()
	t.Row("SERVICE", "STEPS HELD")
	for _, service := range slices.Sorted(maps.Keys(shown.Held)) {
		t.Row(service, shown.Held[service])
	}
}

func used(used, room int64) string { return fmt.Sprintf("%d/%d", used, room) }

func workerState(w *internalapi.WorkerOverview) string {
	state := w.Reach
	if !w.Listed {
		state += ", unlisted"
	}
	if w.Draining {
		state += ", draining"
	}
	if w.Shut {
		state += ", trials only"
	}
	return state
}
