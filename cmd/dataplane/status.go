package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"gaugeslip/internal/system/console"
	"gaugeslip/internal/system/internalapi"
)

type statusCommand struct {
	console.Target
	JSON bool `help:"Print JSON in place of tables. Default: tables."`
}

func (c *statusCommand) Run(printer *console.Printer) error {
	address, err := c.Resolve()
	if err != nil {
		return err
	}
	caller := console.NewCaller()
	defer caller.Close()
	var overview internalapi.DispatcherOverviewReply
	args := internalapi.DispatcherOverviewArgs{}
	if err := caller.Call(address, internalapi.MethodDispatcherOverview, args, &overview); err != nil {
		return err
	}
	form := console.Printer{Out: printer.Out, JSON: c.JSON}
	return form.Print(overview, func(t *console.Table) { statusTable(t, &overview) })
}

func statusTable(t *console.Table, overview *internalapi.DispatcherOverviewReply) {
	t.Row("node", overview.Node)
	t.Row("zone", console.OrDash(overview.Zone))
	t.Row("address", overview.Address)
	t.Row("clients at", overview.Frontend)
	t.Row("up", console.FormatMilliseconds(overview.UptimeMs))
	t.Row("ready", readiness(overview))
	t.Row("configuration", fmt.Sprintf("%d, %d routes", overview.ConfigVersion, overview.Routes))
	t.Row("epoch", overview.Epoch)
	t.Row("chain", console.OrDash(strings.Join(overview.Chain, " > ")))
	t.Row("core heard", agoText(overview.CoreMs))
	t.Row("head heard", agoText(overview.HeadMs))
	t.Row("peers", len(overview.Peers))
	t.BlankLine()
	t.Row("STATUS", "ANSWERS")
	for _, status := range slices.Sorted(maps.Keys(overview.Answers)) {
		t.Row(status, overview.Answers[status])
	}
}

func readiness(overview *internalapi.DispatcherOverviewReply) string {
	if overview.Ready {
		return "yes"
	}
	return "no: " + overview.NotReadyFor
}

func agoText(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return console.FormatMilliseconds(ms) + " ago"
}
