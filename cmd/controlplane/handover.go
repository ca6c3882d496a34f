package main

import (
	"fmt"

	"gaugeslip/coord/view"
	"gaugeslip/internal/system/console"
	"gaugeslip/internal/system/internalapi"
)

type handoverCommand struct{ replicaFlags }

// handoverOutput is the output of `handover --json`.
type handoverOutput struct {
	Epoch uint64
	Head  string
}

func (c *handoverCommand) Run(printer *console.Printer) error {
	var reply internalapi.HandoverReply
	verdict := func() (internalapi.Verdict, view.View) { return reply.Verdict, reply.View }
	reset := func() { reply = internalapi.HandoverReply{} }
	if err := c.callHead(internalapi.MethodHandover, internalapi.HandoverArgs{}, &reply, verdict, reset); err != nil {
		return err
	}
	if reply.Verdict != internalapi.Done {
		return fmt.Errorf("not handed over: %s", reply.Text)
	}
	shown := handoverOutput{Epoch: reply.View.Epoch, Head: reply.View.Head().Address}
	return c.printer(printer).Print(shown, func(t *console.Table) {
		t.Row("epoch", shown.Epoch)
		t.Row("head", shown.Head)
		t.Row("chain", chainText(reply.View))
	})
}
