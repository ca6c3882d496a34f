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

// AcceptFor is how long after the start of a shutdown clients still come: new connections go on for up to
// 0.4 s, and what comes within 0.7 s has to be served. What came later and is still unanswered when the
// platform kills the process counts as lost, so nothing is read beyond that.
const AcceptFor = 700 * time.Millisecond

// KilledAfter is how long after the start of a shutdown the platform leaves a dispatcher to answer: the longest
// deadline of its classes, counted as 3 s where it is longer, and the time for which clients still come. What comes
// during a shutdown is told the module with no more time than that, less a margin: a job that would be cut off is
// refused at once, where its client can still go elsewhere, and not begun.
func KilledAfter(set *settings.Settings) time.Duration {
	longest := time.Duration(0)
	for _, c := range set.Policy.Classes {
		longest = max(longest, c.Deadline)
	}
	return min(longest, 3*time.Second) + AcceptFor
}

// killMargin is how long before the platform's kill the last answer is decided; of short deadlines less.
const killMargin = 300 * time.Millisecond

// answerDeadline is when all that was taken has to be decided, given when the platform kills the process.
func (s *Server) answerDeadline(killed time.Time) time.Time {
	return killed.Add(-min(killMargin, s.cfg.KilledAfter/4))
}

// Listen opens the one address that the dispatcher listens on, or takes over the socket that the platform keeps
// for it. Such a socket outlives the process: a successor accepts on it while this one ends.
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
	defer f.Close() // FileListener holds a copy of its own
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("inherited descriptor %d: %w", s.cfg.Inherited, err)
	}
	return ln, nil
}

// Serve serves until ctx ends, then goes on for as long as clients still come and until all that was taken
// has its answer. On an inherited socket a successor may take over before ctx ends (Handover): this process then
// stops taking connections at once, answers what it has and waits for ctx to end.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	failed := make(chan error, 1)
	go func() { failed <- s.http.Serve(ln) }()
	select {
	case err := <-failed:
		return fmt.Errorf("downstream: %w", err)
	case <-ctx.Done():
	case <-s.handover:
	}
	// The platform's kill comes only after its SIGTERM, which may come after a handover.
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
		// The socket is the platform's: whoever comes now waits in its queue for the successor, which is
		// serving already, and not for a process that ends. Idle connections go now, unless a request is
		// already on its way on them, so that clients open new ones there.
		s.gate.closeIdle(silentConnWait)
	}
	s.gate.stop(s.cfg.Inherited != 0)
	if err := <-failed; !errors.Is(err, errStopped) {
		return fmt.Errorf("downstream: %w", err)
	}
	s.drainConnections()
	<-ctx.Done() // after a handover the platform still ends the process itself
	s.recordTermination()
	if s.cfg.Waiting { // jobs without a connection that are out may still end
		ctx, cancel := context.WithDeadline(context.Background(), s.answerDeadline(s.killTime()))
		defer cancel()
		s.loop.Idle(ctx)
	}
	return nil
}

const (
	silentConnWait    = 500 * time.Millisecond // how long a connection may say nothing at all at an end
	drainPollInterval = 5 * time.Millisecond
	killWriteMargin   = 100 * time.Millisecond // before the platform's kill: what is not written by then never is
)

// drainConnections waits until no connection is owed an answer, or half read, and closes all others; on a socket of our own no
// later than shortly before the platform's kill. net/http's Shutdown closes connections that it holds for idle though
// their next request has just been read: such a request would run, and its client send it once more.
func (s *Server) drainConnections() {
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for s.gate.closeIdle(silentConnWait) > 0 {
		if at := s.killTime(); !at.IsZero() && time.Until(at) < killWriteMargin {
			slog.Warn("connections closed before the platform's kill, all that was taken is answered")
			break
		}
		<-tick.C
	}
	s.http.Close()
}

// Handover tells that a successor serves on the inherited socket: see Serve. It may be called more than once.
func (s *Server) Handover() { s.handoverOnce.Do(func() { close(s.handover) }) }

// recordTermination notes that SIGTERM has come.
func (s *Server) recordTermination() {
	if s.killTimeNanos.CompareAndSwap(0, time.Now().Add(s.cfg.KilledAfter).UnixNano()) {
		s.notifyShutdown()
	}
}

// killTime is when the platform ends the process; zero: no SIGTERM has come.
func (s *Server) killTime() time.Time {
	if at := s.killTimeNanos.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}
