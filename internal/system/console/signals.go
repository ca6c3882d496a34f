package console

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals delivers the signals that a process handles. Each kind has its own channel, so that pending reloads can't displace a termination
// request.
type Signals struct{ Terminate, Reload <-chan os.Signal }

// NotifySignals starts the handling of signals. Signals that arrive before the process reads the channels wait there. Without this call a
// SIGHUP ends the process.
func NotifySignals() Signals {
	end, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(end, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)
	return Signals{Terminate: end, Reload: reload}
}
