package upstream

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"gaugeslip/policy"
)

// Probe asks a host for its load.
func (p *Pool) Probe(ctx context.Context, addr string) Outcome {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.ProbeTimeout)
	defer cancel()
	start := time.Now()
	c, err := p.get(ctx, addr)
	if err != nil {
		return Outcome{Result: policy.ConnectFailed, Took: time.Since(start)}
	}
	stop := p.interrupt(ctx, c)
	defer stop()
	resp, body, err := c.probe(addr)
	o := Outcome{Result: policy.OK, Took: time.Since(start)}
	switch {
	case err != nil && ctx.Err() != nil:
		o.Result = policy.TimedOut
	case err != nil:
		o.Result = policy.ConnectionLost
	case resp.StatusCode == http.StatusServiceUnavailable:
		o.Result = policy.Full
	case resp.StatusCode != http.StatusOK:
		o.Result = policy.AppError
	default:
		if o.Load = ParseLoad(string(body)); o.Load == nil {
			o.Load = headerLoad(resp.Header)
		}
	}
	if err != nil {
		p.discard(c)
		return o
	}
	p.recycle(ctx, c, resp, stop, false)
	return o
}

func (c *conn) probe(addr string) (*http.Response, []byte, error) {
	if _, err := io.WriteString(c, "GET /metrics/load HTTP/1.1\r\nHost: "+addr+"\r\n\r\n"); err != nil {
		return nil, nil, err
	}
	resp, err := c.head(http.MethodGet)
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxProbe))
	return resp, body, err
}

func headerLoad(h http.Header) Report {
	if v := h.Get("Endpoint-Load-Metrics"); v != "" {
		return ParseLoad(v)
	}
	return nil
}

// ParseLoad parses a load report, "TEXT name=value, name=value" or "JSON {...}"; the first word is optional. It skips
// values that are not numbers and returns nil if none is left.
func ParseLoad(s string) Report {
	s = strings.TrimSpace(s)
	s = strings.TrimSpace(strings.TrimPrefix(strings.TrimPrefix(s, "TEXT "), "JSON "))
	r := Report{}
	if strings.HasPrefix(s, "{") {
		var all map[string]any
		if json.Unmarshal([]byte(s), &all) != nil {
			return nil
		}
		for k, v := range all {
			if f, ok := v.(float64); ok {
				r[k] = f
			}
		}
	} else {
		for _, part := range strings.Split(s, ",") {
			k, v, _ := strings.Cut(strings.TrimSpace(part), "=")
			if f, err := strconv.ParseFloat(v, 64); err == nil && f-f == 0 {
				r[k] = f
			}
		}
	}
	if len(r) == 0 {
		return nil
	}
	return r
}
