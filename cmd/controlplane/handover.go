package main

import (
	"fmt"

	"gaugeslip/coord/view"
	"gaugeslip/internal/system/console"
	"gaugeslip/internal/system/internalapi"
)

type handoverCommand struct{ looking }

// shownHandover is what `handover --json` prints.
type shownHandover struct {
	Epoch uint64
	Head  string
}

func (c *handoverCommand) Run(printer *console.Printer) error {
	var reply internalapi.HandoverReply
	verdict := func() (internalapi.Verdict, view.View) { return reply.Verdict, reply.View }
	reset := func() { reply = internalapi.HandoverReply{} }
	if err := c.askHead(internalapi.MethodHandover, internalapi.HandoverArgs{}, &reply, verdict, reset); err != nil {
		return err
	}
	if reply.Verdict != internalapi.Done {
		return fmt.Errorf("not handed over: %s", reply.Text)
	}
	shown := shownHandover{Epoch: reply.View.Epoch, Head: reply.View.Head().Address}
	return c.printer(printer).Print(shown, func(t *console.Table) {
		t.Row("epoch", shown.Epoch)
		t.Row("head", shown.Head)
		t.Row("chain", chainText(reply.View))
	})
}
