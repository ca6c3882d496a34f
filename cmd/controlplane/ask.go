package main

import (
	"errors"

	"gaugeslip/coord/view"
	"gaugeslip/internal/system/console"
	"gaugeslip/internal/system/internalapi"
)

var errNoHead = errors.New("no head acts at present: look at `status` of each replica, and ask again in a second")

// replicaFlags is the flags of all commands that ask a running replica.
type replicaFlags struct {
	console.Target
	JSON bool `help:"Print JSON in place of tables. Default: tables."`
}

// printer is where the command's output goes, in the form that was asked for.
func (l *replicaFlags) printer(printer *console.Printer) console.Printer {
	return console.Printer{Out: printer.Out, JSON: l.JSON}
}

// verdictFunc is what replies have in common that only a certain replica may give.
type verdictFunc func() (internalapi.Verdict, view.View)

// call calls the replica that the flags name.
func (l *replicaFlags) call(method string, args, reply any) error {
	address, err := l.Resolve()
	if err != nil {
		return err
	}
	caller := console.NewCaller()
	defer caller.Close()
	return caller.Call(address, method, args, reply)
}

// callHead calls the replica that the flags name and, where that one may not answer, the head that it knows. Reset empties the reply.
func (l *replicaFlags) callHead(method string, args, reply any, verdict verdictFunc, reset func()) error {
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
