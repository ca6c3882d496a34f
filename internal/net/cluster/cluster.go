// Package cluster follows the list of upstream hosts that discovery serves.
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

// StallTimeout is how long a watch may stay silent before it counts as broken. Discovery sends a line every 2 s and a
// call may wait 3 s for its turn. Discovery counts a change as delivered after 6 s even if it never arrives, or after 4
// s if the service has moved.
const StallTimeout = 3500 * time.Millisecond

const (
	maxLine     = 1 << 20
	dialTimeout = 1500 * time.Millisecond // longer than 1 s, after which a lost first packet is sent again
)

// Source provides the list of upstream hosts.
type Source interface {
	// Watch passes on all changes after a version until the watch breaks or ctx ends. The returned error is never nil.
	Watch(ctx context.Context, after uint64, each func(dispatch.HostList)) error
}

// hostEntry is one host of the list.
type hostEntry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS float64 `json:"born_ms"`
}

type hostList struct {
	Seq   uint64      `json:"seq"`
	Whole bool        `json:"whole"`
	Hosts []hostEntry `json:"hosts"`
}

var healthStates = map[string]policy.State{"in_service": policy.Ready, "terminating": policy.Draining,
	"terminated": policy.Gone}

// Decode reads one list, either whole or of changes. An invalid entry is an error, since skipping it could mean missing
// a drain.
func Decode(text []byte, s *settings.Settings) (dispatch.HostList, error) {
	var l hostList
	if err := json.Unmarshal(text, &l); err != nil {
		return dispatch.HostList{}, fmt.Errorf("cluster: %w", err)
	}
	out := dispatch.HostList{Version: l.Seq, Whole: l.Whole, Hosts: make([]dispatch.Host, 0, len(l.Hosts))}
	for _, e := range l.Hosts {
		state, ok := healthStates[e.Health]
		if !ok || e.Host == "" {
			return dispatch.HostList{}, fmt.Errorf("cluster: host %q: health: unknown %q", e.Host, e.Health)
		}
		out.Hosts = append(out.Hosts, dispatch.Host{Name: e.Host, Addr: e.Dial,
			Zone: settings.IndexOf(s.Zones, e.Site), Kind: settings.IndexOf(s.Kinds, e.Class), Cell: e.Block,
			State: state, Scale: e.Share, StartedAt: settings.Millis(e.BornMS)})
	}
	return out, nil
}

// DecodeKnown reads the list of the configuration, which may be out of date. Without one the cluster is empty.
func DecodeKnown(text []byte, s *settings.Settings) (dispatch.HostList, error) {
	if len(text) == 0 {
		text = []byte("{}")
	}
	l, err := Decode(text, s)
	l.Whole, l.Stale = true, true
	return l, err
}

// Discovery is the Source that uses discovery's HTTP interface.
type Discovery struct {
	Addr         string
	StallTimeout time.Duration // how long a watch may stay silent, see StallTimeout
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
	// The deadline applies to each list, not to each read: a machine that vanishes leaves a silent connection open, and
	// one that sends byte by byte makes no progress either.
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
	var text objectReader
	for lines.Scan() {
		whole, err := text.add(lines.Bytes())
		if err != nil {
			return errors.Join(err, lines.Err())
		}
		if !text.started() { // an empty line
			alive()
		}
		if !whole {
			continue
		}
		alive()
		l, err := Decode(text.take(), d.Settings)
		if err != nil { // an error in the last list may be due to a watch that broke within it
			return errors.Join(err, lines.Err())
		}
		each(l)
	}
	return errors.Join(errors.New("cluster: the watch ended"), lines.Err())
}

// objectReader collects the lines of one JSON object, which may be indented.
type objectReader struct {
	text   []byte
	depth  int
	quoted bool // within a string
	escape bool // after a backslash in a string
}

// add appends a line and reports whether the object is complete.
func (o *objectReader) add(line []byte) (whole bool, err error) {
	if !o.started() && len(bytes.TrimSpace(line)) == 0 {
		return false, nil
	}
	if len(o.text)+len(line) >= maxLine {
		return false, errors.New("cluster: host list is too long")
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

// started reports whether part of an object has been read.
func (o *objectReader) started() bool { return len(o.text) > 0 }

// take returns the complete object and starts a new one. The slice is valid until the next add.
func (o *objectReader) take() []byte {
	t := o.text
	*o = objectReader{text: o.text[:0]}
	return t
}
