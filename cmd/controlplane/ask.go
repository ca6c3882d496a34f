package main

import (
	"errors"

	"gaugeslip/coord/view"
	"gaugeslip/internal/system/console"
	"gaugeslip/internal/system/internalapi"
)

var errNoHead = errors.New("no replica is head at present: run `status` for each replica, and try again in a second")

// replicaFlags contains the flags of all commands that call a running replica.
type replicaFlags struct {
	console.Target
	JSON bool `help:"Print JSON in place of tables. Default: tables."`
}

// printer returns a printer with the output format that the flags select.
func (l *replicaFlags) printer(printer *console.Printer) console.Printer {
	return console.Printer{Out: printer.Out, JSON: l.JSON}
}

// verdictFunc returns the verdict and the view of a reply that only the head (or another certain replica) may give.
type verdictFunc func() (internalapi.Verdict, view.View)

// call calls the replica that the flags select.
func (l *replicaFlags) call(method string, args, reply any) error {
	address, err := l.Resolve()
	if err != nil {
		return err
	}
	caller := console.NewCaller()
	defer caller.Close()
	return caller.Call(address, method, args, reply)
}

// callHead calls the replica that the flags select. If that replica isn't the head, it calls the head of the view in the reply. Reset clears the
// reply between the calls.
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
