package main

import (
	"errors"

	"gaugeslip/coord/view"
	"gaugeslip/internal/system/console"
	"gaugeslip/internal/system/internalapi"
)

var errNoHead = errors.New("no head acts at present: look at `status` of each replica, and ask again in a second")

// looking is the flags of all commands that ask a running replica.
type looking struct {
	console.Target
	JSON bool `help:"Print JSON in place of tables. Default: tables."`
}

// printer is where the command's output goes, in the form that was asked for.
func (l *looking) printer(printer *console.Printer) console.Printer {
	return console.Printer{Out: printer.Out, JSON: l.JSON}
}

// asked is what replies have in common that only a certain replica may give.
type asked func() (internalapi.Verdict, view.View)

// ask calls the replica that the flags name.
func (l *looking) ask(method string, args, reply any) error {
	address, err := l.Resolve()
	if err != nil {
		return err
	}
	caller := console.NewCaller()
	defer caller.Close()
	return caller.Call(address, method, args, reply)
}

// askHead calls the replica that the flags name and, where that one may not answer, the head that it knows. Reset empties the reply.
func (l *looking) askHead(method string, args, reply any, verdict asked, reset func()) error {
	address, err := l.Resolve()
	if err != nil {
		return err
	}
	caller := console.NewCaller()
	defer caller.Close()
	if err := caller.Call(address, method, args, reply); err != nil {
		return err
	}
	answer, newest := verdict()
	if answer != internalapi.NotHead {
		return nil
	}
	head := newest.Head().Address
	if head == "" || head == address {
		return errNoHead
	}
	reset()
	if err := caller.Call(head, method, args, reply); err != nil {
		return err
	}
	if answer, _ := verdict(); answer == internalapi.NotHead {
		return errNoHead
	}
	return nil
}
