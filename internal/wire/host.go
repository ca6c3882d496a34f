// Package wire translates between the simulator's text protocol and the decision module. It decides nothing. One Host
// serves many instances; they share only the numbered worker lists, which the protocol sends once for all.
package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"gaugeslip/internal/settings"
	"gaugeslip/policy"
)

// maxLists is the number of worker lists that the protocol can number.
const maxLists = 16

// listEntry is one line of a numbered list. Its zone and kind names are not yet resolved for an instance.
type listEntry struct {
	worker     policy.Worker
	zone, kind string
}

type instance struct {
	id       int
	settings *settings.Settings
	d        *policy.Dispatcher
	events   []policy.Event
	queued   bool
}

// Host serves the instances of one process.
type Host struct {
	in          *bufio.Reader
	out         *bufio.Writer
	now         time.Duration
	current     *instance
	instances   map[int]*instance
	batch       []*instance
	lists       [maxLists][]listEntry
	listKnown   [maxLists]bool
	itemsLeft   int // ITEM lines still expected, for the list currentList
	currentList int
	actions     []policy.Action
	parts       []string
	buf         []byte
	longLine    []byte
	inBatch     bool // between SYNC and OVER_TO_YOU
}

// NewHost returns a host that reads batches from r and writes replies to w.
func NewHost(r io.Reader, w io.Writer) *Host {
	return &Host{in: bufio.NewReaderSize(r, 1<<16), out: bufio.NewWriterSize(w, 1<<16), instances: map[int]*instance{}}
}

// Run answers batches until the end of input. A message that violates the protocol is an error, and nothing of its
// batch is answered.
func (h *Host) Run() error {
	for {
		line, err := h.line()
		if err == io.EOF && line == "" && !h.inBatch {
			return nil
		}
		if err == io.EOF {
			return fmt.Errorf("wire: input ends within a batch, at %q", truncate(line))
		}
		if err != nil {
			return fmt.Errorf("wire: %v", err)
		}
		done, err := h.message(line)
		if err != nil {
			return fmt.Errorf("wire: %w", err)
		}
		if done {
			if err := h.reply(); err != nil {
				return fmt.Errorf("wire: %w", err)
			}
		}
	}
}

// line reads one line of any length and returns it without its newline.
func (h *Host) line() (string, error) {
	h.longLine = h.longLine[:0]
	for {
		part, err := h.in.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			h.longLine = append(h.longLine, part...)
			continue
		}
		if err == nil {
			part = part[:len(part)-1]
		}
		if len(h.longLine) > 0 {
			part = append(h.longLine, part...)
		}
		return string(part), err
	}
}

// truncate shortens a text for use in an error message.
func truncate(s string) string {
	if len(s) > 60 {
		return s[:60] + "..."
	}
	return s
}

// messageFields parses the values of one message and keeps the first error.
type messageFields struct {
	name  string
	parts []string
	err   error
}

func (f *messageFields) bad(field, value string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: %s: bad value %q", f.name, field, truncate(value))
	}
}

func (f *messageFields) uint(i int, field string, limit uint64) uint64 {
	v, err := strconv.ParseUint(f.parts[i], 10, 64)
	if err != nil || v > limit {
		f.bad(field, f.parts[i])
	}
	return v
}

// num parses a number; an absent one is def.
func (f *messageFields) num(i int, field string, def float64) float64 {
	s := f.parts[i]
	if s == "-" {
		return def
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(v) || math.Abs(v) > 1e12 {
		f.bad(field, s)
		return def
	}
	return v
}

func (f *messageFields) ms(i int, field string) time.Duration {
	return settings.Millis(f.num(i, field, 0))
}

func (f *messageFields) bool(i int, field string) bool {
	switch f.parts[i] {
	case "1":
		return true
	case "0", "-":
	default:
		f.bad(field, f.parts[i])
	}
	return false
}

// lookup maps a name to its value; an absent name is def.
func lookup[T any](f *messageFields, i int, field string, m map[string]T, def T) T {
	if f.parts[i] == "-" {
		return def
	}
	v, ok := m[f.parts[i]]
	if !ok {
		f.bad(field, f.parts[i])
	}
	return v
}

// valueCounts is the number of values of each message.
var valueCounts = map[string]int{"SYNC": 1, "OVER_TO_YOU": 0, "ABOUT": 1, "INIT": 2, "MANIFEST": 2, "ITEM": 7,
	"MEMBERS": 3, "SUBMIT": 11, "TIMED_OUT_CLIENT": 1, "REPLY": 8, "NOTICE": 5, "FIRST": 4, "SHUTDOWN": 0,
	"INBOX": 2, "HEALTH": 4, "ALARM": 1}

var outcomes = map[string]policy.Result{"delivered": policy.OK, "app_error": policy.AppError, "shed": policy.Full,
	"expired": policy.TimedOut, "dial_failed": policy.ConnectFailed, "dropped": policy.ConnectionLost,
	"revoked": policy.Cancelled, "unused": policy.NeverSent}

var states = map[string]policy.State{"Ready": policy.Ready, "Terminating": policy.Draining, "Gone": policy.Gone}

const maxID, maxWorker = 1<<52 - 1, 1<<32 - 1

// message processes one line; true ends the batch.
func (h *Host) message(line string) (bool, error) {
	name, rest, more := strings.Cut(line, "\t")
	want, ok := valueCounts[name]
	if !ok {
		return false, fmt.Errorf("unknown message %q", truncate(name))
	}
	parts := h.parts[:0]
	for more && len(parts) < want-1 {
		var part string
		if part, rest, more = strings.Cut(rest, "\t"); true {
			parts = append(parts, part)
		}
	}
	if more {
		parts = append(parts, rest)
	}
	if h.parts = parts; len(parts) != want || want == 0 && more {
		return false, fmt.Errorf("%s: %d values where %d belong, in %q", name, len(parts), want, truncate(line))
	}
	f := &messageFields{name: name, parts: parts}
	if (h.itemsLeft > 0) != (name == "ITEM") {
		return false, fmt.Errorf("%s: hosts: %d list entries are missing or too many", name, h.itemsLeft)
	}
	if h.inBatch == (name == "SYNC") {
		return false, fmt.Errorf("%s: not in its place, in %q", name, truncate(line))
	}
	switch name {
	case "SYNC":
		h.now, h.inBatch, h.current = f.ms(0, "clock"), true, nil
		return false, f.err
	case "OVER_TO_YOU":
		h.inBatch = false
		return true, nil
	case "ABOUT":
		id := int(f.uint(0, "scheduler-id", maxWorker))
		if h.current = h.instances[id]; h.current == nil && f.err == nil {
			h.current = &instance{id: id}
			h.instances[id] = h.current
		}
		return false, f.err
	case "MANIFEST":
		h.currentList = int(f.uint(0, "set-id", maxLists-1))
		if h.itemsLeft = int(f.uint(1, "hosts", 1<<20)); f.err == nil {
			h.lists[h.currentList], h.listKnown[h.currentList] = nil, true
		}
		return false, f.err
	case "ITEM":
		h.itemsLeft--
		e := listEntry{zone: parts[1], kind: parts[6]}
		e.worker = policy.Worker{Since: f.ms(0, "up-since"), ID: uint32(f.uint(2, "worker", maxWorker)),
			State: lookup(f, 3, "state", states, policy.Ready), Cell: int(f.num(4, "group", 0)),
			Scale: f.num(5, "scale", 0)}
		h.lists[h.currentList] = append(h.lists[h.currentList], e)
		return false, f.err
	}
	in := h.current
	if in == nil {
		return false, fmt.Errorf("%s: no instance named before it", name)
	}
	if in.d == nil && name != "INIT" && name != "SHUTDOWN" {
		return false, fmt.Errorf("%s: scheduler-id: instance %d has not been started", name, in.id)
	}
	if !in.queued {
		in.queued = true
		h.batch = append(h.batch, in)
	}
	switch name {
	case "INIT":
		seed := f.uint(0, "entropy", math.MaxUint64)
		n, err := settings.Parse([]byte(parts[1]))
		if err == nil {
			in.settings = n
			in.d, err = policy.New(n.Policy, seed)
		}
		if err != nil && f.err == nil {
			f.err = fmt.Errorf("INIT env: %w", err)
		}
	case "SHUTDOWN":
		in.d, in.events = nil, in.events[:0]
	default:
		e, use, err := h.event(in, f)
		if err != nil {
			return false, err
		}
		if use {
			in.events = append(in.events, e)
		}
	}
	return false, f.err
}

// event converts a message about an instance into a policy event.
func (h *Host) event(in *instance, f *messageFields) (e policy.Event, use bool, err error) {
	n := in.settings
	switch f.name {
	case "SUBMIT":
		e = policy.Event{Kind: policy.JobArrived, Job: f.uint(0, "xid", maxID), Tenant: -1,
			Class: lookup(f, 1, "qos", n.Classes, -1), Budget: f.ms(4, "budget"), Size: f.ms(5, "estimate"),
			Slots: int(f.num(6, "cores-needed", 1)), Retry: f.bool(8, "retry")}
		if f.parts[2] != "0" {
			e.Tenant = lookup(f, 2, "realm", n.Tenants, -1)
		}
		if e.Class < 0 {
			f.bad("qos", "-")
		}
		f.num(7, "mem", 0)
		f.bool(9, "update")
		f.bool(10, "returned")
	case "TIMED_OUT_CLIENT":
		e = policy.Event{Kind: policy.ClientGone, Job: f.uint(0, "xid", maxID)}
	case "REPLY":
		e = policy.Event{Kind: policy.AttemptEnded, Job: f.uint(0, "xid", maxID),
			Attempt: int(f.uint(2, "n", maxWorker)), Finished: f.bool(3, "last"),
			Result: lookup(f, 4, "outcome", outcomes, policy.AppError), Took: f.ms(5, "wait-time"),
			Worker: uint32(f.uint(6, "worker", maxWorker))}
		e.HasLoad, e.Load = load(n, f, 7)
	case "NOTICE":
		e = policy.Event{Kind: policy.JobStarted, Job: f.uint(0, "xid", maxID),
			Attempt: int(f.uint(1, "n", maxWorker)), Worker: uint32(f.uint(2, "worker", maxWorker))}
		switch what := f.num(3, "what", 0); what {
		case 1:
		case 2:
			e.Kind, e.Share = policy.JobProgress, f.num(4, "level", 0)
		default:
			return e, false, f.err // unknown notices are ignored
		}
	case "FIRST":
		e = policy.Event{Kind: policy.AnswerBegun, Job: f.uint(0, "xid", maxID),
			Attempt: int(f.uint(1, "n", maxWorker)), Worker: uint32(f.uint(2, "worker", maxWorker)),
			Took: f.ms(3, "wait-time")}
	case "HEALTH":
		e = policy.Event{Kind: policy.ProbeEnded, Worker: uint32(f.uint(0, "worker", maxWorker)),
			Result: lookup(f, 1, "outcome", outcomes, policy.AppError), Took: f.ms(2, "wait-time")}
		e.HasLoad, e.Load = load(n, f, 3)
	case "ALARM":
		e = policy.Event{Kind: policy.TimerFired, Timer: f.uint(0, "cookie", math.MaxUint64)}
	case "INBOX": // instances share nothing
		f.uint(0, "author", maxWorker)
		return e, false, f.err
	case "MEMBERS":
		e = policy.Event{Kind: policy.WorkerList}
		f.num(0, "epoch", 0)
		switch kind := f.parts[2]; kind {
		case "lost":
			e.Kind = policy.ListLost
			return e, true, f.err
		case "incr":
		case "total":
			e.Whole = true
		case "warm_copy":
			e.Whole, e.Stale = true, true
		default:
			f.bad("kind", kind)
		}
		set := f.uint(1, "set-id", maxLists-1)
		if f.err != nil || !h.listKnown[set] {
			f.bad("set-id", f.parts[1])
			return e, false, f.err
		}
		e.Workers = make([]policy.Worker, 0, len(h.lists[set]))
		for _, x := range h.lists[set] {
			w := x.worker
			w.Zone, w.Kind = settings.IndexOf(n.Zones, x.zone), settings.IndexOf(n.Kinds, x.kind)
			e.Workers = append(e.Workers, w)
		}
	}
	return e, true, f.err
}

// load parses a load report, whose values have the order of the settings' fields.
func load(n *settings.Settings, f *messageFields, i int) (bool, policy.Load) {
	l := settings.NoLoad()
	rest := f.parts[i]
	if rest == "-" || rest == "" {
		return false, l
	}
	for k := 0; rest != ""; k++ {
		var s string
		s, rest, _ = strings.Cut(rest, ",")
		v, err := strconv.ParseFloat(s, 64)
		if s == "-" {
			continue
		}
		if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
			f.bad("telemetry", f.parts[i])
			return false, l
		}
		if k < len(n.Fields) {
			n.SetLoad(&l, n.Fields[k], v)
		}
	}
	return true, l
}

// reply lets each instance with events decide and writes the actions.
func (h *Host) reply() error {
	b := h.buf[:0]
	for _, in := range h.batch {
		in.queued = false
		if in.d != nil {
			b = h.step(b, in)
		}
		in.events = in.events[:0]
	}
	h.batch = h.batch[:0]
	b = append(b, "NEXT\n"...)
	h.buf = b
	if _, err := h.out.Write(b); err != nil {
		return err
	}
	return h.out.Flush()
}

func (h *Host) step(b []byte, in *instance) (res []byte) {
	batchStart := len(b)
	b = append(b, "AT\t"...)
	b = append(strconv.AppendInt(b, int64(in.id), 10), '\n')
	start := len(b)
	defer func() {
		if p := recover(); p != nil { // reported as the protocol's EXCEPTION
			text := strings.Map(func(r rune) rune { return max(r, ' ') }, fmt.Sprint(p))
			res = append(b[:start], "EXCEPTION\t"+truncate(text)+"\n"...)
		}
	}()
	h.actions = in.d.Step(h.now, in.events, h.actions[:0])
	if len(h.actions) == 0 {
		return b[:batchStart]
	}
	for i := range h.actions {
		b = appendAction(b, &h.actions[i])
	}
	return b
}

func appendMS(b []byte, d time.Duration) []byte {
	return strconv.AppendFloat(b, float64(d/time.Microsecond)/1000, 'f', -1, 64)
}

func appendAction(b []byte, a *policy.Action) []byte {
	word := func(s string, id uint64) { b = strconv.AppendUint(append(b, s...), id, 10) }
	tab := func() { b = append(b, '\t') }
	switch a.Kind {
	case policy.Send:
		word("TRY\t", a.Job)
		tab()
		b = appendMS(b, a.After)
		word("\t", uint64(a.Worker))
	case policy.Cancel:
		word("WITHDRAW\t", a.Job)
		word("\t", uint64(a.Attempt))
	case policy.Refuse:
		word("TURN_AWAY\t", a.Job)
		tab()
		b = appendMS(b, a.After)
	case policy.Fail:
		word("ERROR\t", a.Job)
	case policy.Probe:
		word("CHECK\t", uint64(a.Worker))
	case policy.Timer:
		b = appendMS(append(b, "ARM\t"...), a.After)
		word("\t", a.Timer)
	case policy.Watch:
		b = append(b, "KEEP_INFORMED\t1"...)
	case policy.Log:
		b = append(append(b, "SAY_LOG\t"...), a.Text...)
	default:
		panic(errors.New("wire: action without a protocol message: " + strconv.Itoa(int(a.Kind))))
	}
	return append(b, '\n')
}
