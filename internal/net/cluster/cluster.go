// Package cluster follows discovery's list of upstream hosts.
package cluster

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"gaugeslip/internal/dispatch"
	"gaugeslip/internal/settings"
	"gaugeslip/policy"
)

// StallTimeout is how long a watch may stay silent: it sends a line every 2 s, a call may wait 3 s for its turn,
// and what there is to tell counts as told 6 s later though it never arrives, 4 s after a move of the service.
const StallTimeout = 3500 * time.Millisecond

const (
	maxLine     = 1 << 20
	dialTimeout = 1500 * time.Millisecond // a lost first packet is sent again after 1 s
)

// Source is where the list of upstream hosts comes from.
type Source interface {
	// Watch passes on all changes after a version until the watch breaks or ctx ends; it never returns nil.
	Watch(ctx context.Context, after uint64, each func(dispatch.HostList)) error
}

// entry is one host of the list.
type entry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS float64 `json:"born_ms"`
}

type list struct {
	Seq   uint64  `json:"seq"`
	Whole bool    `json:"whole"`
	Hosts []entry `json:"hosts"`
}

var states = map[string]policy.State{"in_service": policy.Ready, "terminating": policy.Draining,
	"terminated": policy.Gone}

// Decode reads one list, whole or of changes. An entry that makes no sense is an error: to skip it could
// be to miss a drain.
func Decode(text []byte, s *settings.Settings) (dispatch.HostList, error) {
	var l list
	if err := json.Unmarshal(text, &l); err != nil {
		return dispatch.HostList{}, fmt.Errorf("cluster: %w", err)
	}
	out := dispatch.HostList{Version: l.Seq, Whole: l.Whole, Hosts: make([]dispatch.Host, 0, len(l.Hosts))}
	for _, e := range l.Hosts {
		state, ok := states[e.Health]
		if !ok || e.Host == "" {
			return dispatch.HostList{}, fmt.Errorf("cluster: host %q: health: unknown %q", e.Host, e.Health)
		}
		out.Hosts = append(out.Hosts, dispatch.Host{Name: e.Host, Addr: e.Dial,
			Zone: settings.IndexOf(s.Zones, e.Site), Kind: settings.IndexOf(s.Kinds, e.Class), Cell: e.Block,
			State: state, Scale: e.Share, StartedAt: settings.Millis(e.BornMS)})
	}
	return out, nil
}

// DecodeKnown reads the list that the configuration holds, which may be old; with none there the cluster is empty.
func DecodeKnown(text []byte, s *settings.Settings) (dispatch.HostList, error) {
	if len(text) == 0 {
		text = []byte("{}")
	}
	l, err := Decode(text, s)
	l.Whole, l.Stale = true, true
	return l, err
}

// Discovery is the Source that speaks HTTP.
type Discovery struct {
	Addr         string
	StallTimeout time.Duration // how long it may stay silent, see StallTimeout
	Settings     *settings.Settings
}

// Watch opens the stream of changes and follows it.
func (d *Discovery) Watch(ctx context.Context, after uint64, each func(dispatch.HostList)) error {
	dialer := net.Dialer{Timeout: min(d.StallTimeout, dialTimeout), KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", d.Addr)
	if err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	// Each line has its own limit: a machine that vanishes leaves the connection open and silent, and one that trickles
	// tells nothing either.
	alive := func() { conn.SetDeadline(time.Now().Add(d.StallTimeout)) }
	alive()
	req := "GET /discovery/hosts?stream=1&index=" + strconv.FormatUint(after, 10) +
		" HTTP/1.1\r\nHost: " + d.Addr + "\r\n\r\n"
	if _, err := io.WriteString(conn, req); err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("cluster: status %d", resp.StatusCode)
	}
	alive()
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, 4096), maxLine)
	var text object
	for lines.Scan() {
		whole, err := text.add(lines.Bytes())
		if err != nil {
			return errors.Join(err, lines.Err())
		}
		if !text.begun() { // an empty line
			alive()
		}
		if !whole {
			continue
		}
		alive()
		l, err := Decode(text.take(), d.Settings)
		if err != nil { // of the last line it may be that the watch broke within it
			return errors.Join(err, lines.Err())
		}
		each(l)
	}
	return errors.Join(errors.New("cluster: the watch ended"), lines.Err())
}

// object gathers the lines of one JSON object, which may be indented.
type object struct {
	text   []byte
	depth  int
	quoted bool // in a string
	escape bool // after a backslash in one
}

// add takes a line, and tells whether the object is whole with it.
func (o *object) add(line []byte) (whole bool, err error) {
	if !o.begun() && len(bytes.TrimSpace(line)) == 0 {
		return false, nil
	}
	if len(o.text)+len(line) >= maxLine {
		return false, errors.New("cluster: a list is too long")
	}
	o.text = append(append(o.text, line...), '\n')
	for _, b := range line {
		switch {
		case o.escape:
			o.escape = false
		case b == '\\' && o.quoted:
			o.escape = true
		case b == '"':
			o.quoted = !o.quoted
		case o.quoted:
		case b == '{' || b == '[':
			o.depth++
		case b == '}' || b == ']':
			o.depth--
		}
	}
	return o.depth <= 0, nil
}

// begun tells whether some of an object is there.
func (o *object) begun() bool { return len(o.text) > 0 }

// take returns the whole object, valid until the next add.
func (o *object) take() []byte {
	t := o.text
	*o = object{text: o.text[:0]}
	return t
}
