package downstream

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"time"

	"gaugeslip/internal/settings"
)

// AcceptFor is how long after the start of a shutdown new connections are accepted. The platform sends new
// connections for up to 0.4 s, and what arrives within 0.7 s has to be served. Whatever arrives later and is still
// unanswered at the platform's kill counts as lost, so nothing is read after that.
const AcceptFor = 700 * time.Millisecond

// KilledAfter is how long after the start of a shutdown the platform kills a dispatcher: the longest deadline of its
// classes, but at most 3 s, plus AcceptFor. Jobs that arrive during a shutdown get no more budget than that, less a
// margin. A job that would be cut off is refused at once, while its client can still go elsewhere, and is not
// started.
func KilledAfter(set *settings.Settings) time.Duration {
	longest := time.Duration(0)
	for _, c := range set.Policy.Classes {
		longest = max(longest, c.Deadline)
	}
	return min(longest, 3*time.Second) + AcceptFor
}

// killMargin is how long before the platform's kill the last answer is decided; less if the deadlines are short.
const killMargin = 300 * time.Millisecond

// answerDeadline returns the time by which all accepted jobs must be decided, given the time of the platform's kill.
func (s *Server) answerDeadline(killed time.Time) time.Time {
	return killed.Add(-min(killMargin, s.cfg.KilledAfter/4))
}

// Listen opens the address that the dispatcher listens on, or takes over the socket that the platform holds for it.
// Such a socket outlives the process: a successor accepts on it while this process ends.
func (s *Server) Listen() (net.Listener, error) {
	ln, err := s.listen()
	if err != nil {
		return nil, fmt.Errorf("downstream: %w", err)
	}
	s.gate = newGate(ln, s.cfg.MaxConns)
	return s.gate, nil
}

func (s *Server) listen() (net.Listener, error) {
	if s.cfg.Inherited == 0 {
		return net.Listen("tcp", s.cfg.Listen)
	}
	f := os.NewFile(uintptr(s.cfg.Inherited), "inherited listener")
	if f == nil {
		return nil, fmt.Errorf("inherited descriptor %d: not open", s.cfg.Inherited)
	}
	defer f.Close() // FileListener duplicates the descriptor
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("inherited descriptor %d: %w", s.cfg.Inherited, err)
	}
	return ln, nil
}

// Serve serves until ctx ends. It then continues while clients may still arrive and until every accepted request has
// its answer. On an inherited socket a successor may take over before ctx ends (Handover): this process then stops
// accepting at once, answers what it has and waits for ctx to end.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	failed := make(chan error, 1)
	go func() { failed <- s.http.Serve(ln) }()
	select {
	case err := <-failed:
		return fmt.Errorf("downstream: %w", err)
	case <-ctx.Done():
	case <-s.handover:
	}
	// The platform kills the process only after SIGTERM, which may follow a handover.
	if ctx.Err() != nil {
		s.recordTermination()
	} else {
		defer context.AfterFunc(ctx, s.recordTermination)()
	}
	s.stopping.Store(true)
	if s.cfg.Inherited == 0 {
		select {
		case err := <-failed:
			return fmt.Errorf("downstream: %w", err)
		case <-time.After(s.cfg.AcceptFor):
		}
	} else {
		// The socket belongs to the platform: new clients wait in its queue for the successor, which already
		// serves. Idle connections without a request in transit are closed now, so that their clients connect
		// to the successor.
		s.gate.closeIdle(silentConnWait)
	}
	s.gate.stop(s.cfg.Inherited != 0)
	if err := <-failed; !errors.Is(err, errStopped) {
		return fmt.Errorf("downstream: %w", err)
	}
	s.drainConnections()
	<-ctx.Done() // after a handover the platform still ends this process with SIGTERM
	s.recordTermination()
	if s.cfg.Waiting { // attempts of jobs without a connection may still end
		ctx, cancel := context.WithDeadline(context.Background(), s.answerDeadline(s.killTime()))
		defer cancel()
		s.loop.Idle(ctx)
	}
	return nil
}

const (
	silentConnWait    = 500 * time.Millisecond // how long a connection may stay silent during a shutdown
	drainPollInterval = 5 * time.Millisecond
	killWriteMargin   = 100 * time.Millisecond // before the platform's kill: answers that are not written by then are lost
)

// drainConnections waits until no connection awaits an answer or has a partly read request, and closes all others. On
// a socket of our own it ends shortly before the platform's kill at the latest. net/http's Shutdown is not used: it
// closes connections that it considers idle even if their next request has just been read. Such a request would run
// here, and its client would send it again.
func (s *Server) drainConnections() {
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for s.gate.closeIdle(silentConnWait) > 0 {
		if at := s.killTime(); !at.IsZero() && time.Until(at) < killWriteMargin {
			slog.Warn("closing the remaining connections before the platform's kill; all accepted requests are answered")
			break
		}
		<-tick.C
	}
	s.http.Close()
}

// Handover reports that a successor serves on the inherited socket, see Serve. It may be called more than once.
func (s *Server) Handover() { s.handoverOnce.Do(func() { close(s.handover) }) }

// recordTermination records that SIGTERM has been received.
func (s *Server) recordTermination() {
	if s.killTimeNanos.CompareAndSwap(0, time.Now().Add(s.cfg.KilledAfter).UnixNano()) {
		s.notifyShutdown()
	}
}

// killTime is when the platform kills the process; zero before SIGTERM.
func (s *Server) killTime() time.Time {
	if at := s.killTimeNanos.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}
