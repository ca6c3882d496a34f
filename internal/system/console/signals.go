package console

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals are those that a process takes. Each kind has a place of its own: reloads that wait can't crowd out the order to end.
type Signals struct{ Terminate, Reload <-chan os.Signal }

// NotifySignals has the process take signals from now on; those that come before it serves wait. Till then a SIGHUP ends it.
func NotifySignals() Signals {
	end, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(end, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)
	return Signals{Terminate: end, Reload: reload}
}
