// Package cluster follows discovery's list of upstream hosts.
package cluster

import (
	"bufio"
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

// StallAfter is how long a watch may stay silent: it sends a line every 2 s, a call may wait 3 s for its turn,
// and what there is to tell counts as told 6 s later though it never arrives, 4 s after a move of the service.
const StallAfter = 3500 * time.Millisecond

const (
	maxLine     = 1 << 20
	dialTimeout = 1500 * time.Millisecond // a lost first packet is sent again after 1 s
)

// Source is where the list of upstream hosts comes from.
type Source interface {
	// Watch passes on all changes after a version until the watch breaks or ctx ends; it never returns nil.
	Watch(ctx context.Context, after uint64, each func(dispatch.Listed)) error
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
func Decode(text []byte, s *settings.Settings) (dispatch.Listed, error) {
	var l list
	if err := json.Unmarshal(text, &l); err != nil {
		return dispatch.Listed{}, fmt.Errorf("cluster: %w", err)
	}
	out := dispatch.Listed{Version: l.Seq, Whole: l.Whole, Hosts: make([]dispatch.Host, 0, len(l.Hosts))}
	for _, e := range l.Hosts {
		state, ok := states[e.Health]
		if !ok || e.Host == "" {
			return dispatch.Listed{}, fmt.Errorf("cluster: host %q: health: unknown %q", e.Host, e.Health)
		}
		out.Hosts = append(out.Hosts, dispatch.Host{Name: e.Host, Addr: e.Dial,
			Zone: settings.Find(s.Zones, e.Site), Kind: settings.Find(s.Kinds, e.Class), Cell: e.Block,
			State: state, Scale: e.Share, Born: settings.Millis(e.BornMS)})
	}
	return out, nil
}

// Known reads the list that the configuration holds, which may be old; with none there the cluster is empty.
func Known(text []byte, s *settings.Settings) (dispatch.Listed, error) {
	if len(text) == 0 {
		text = []byte("{}")
	}
	l, err := Decode(text, s)
	l.Whole, l.Stale = true, true
	return l, err
}

// Discovery is the Source that speaks HTTP.
type Discovery struct {
	Addr     string
	Stall    time.Duration // how long it may stay silent, see StallAfter
	Settings *settings.Settings
}

// Watch opens the stream of changes and follows it.
func (d *Discovery) Watch(ctx context.Context, after uint64, each func(dispatch.Listed)) error {
	dialer := net.Dialer{Timeout: min(d.Stall, dialTimeout), KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", d.Addr)
	if err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	// Each read has its own limit: a machine that vanishes leaves the connection open and silent.
	live := &limited{conn, d.Stall}
	req := "GET /discovery/hosts?stream=1&index=" + strconv.FormatUint(after, 10) +
		" HTTP/1.1\r\nHost: " + d.Addr + "\r\n\r\n"
	if _, err := io.WriteString(live, req); err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(live), nil)
	if err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("cluster: status %d", resp.StatusCode)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, 4096), maxLine)
	for lines.Scan() {
		if len(lines.Bytes()) == 0 {
			continue
		}
		l, err := Decode(lines.Bytes(), d.Settings)
		if err != nil {
			return err
		}
		each(l)
	}
	return errors.Join(errors.New("cluster: the watch ended"), lines.Err())
}

// limited gives each read and the write before it a time limit of its own.
type limited struct {
	net.Conn
	limit time.Duration
}

func (l *limited) Read(b []byte) (int, error) {
	if err := l.SetDeadline(time.Now().Add(l.limit)); err != nil {
		return 0, err
	}
	return l.Conn.Read(b)
}
